package serving

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/attempt"
)

const (
	readBufferSize = 2 << 10
	// maxEventBytes bounds one server-sent event, in bytes.
	maxEventBytes = 256 << 10
	eventStream   = "text/event-stream"
)

// The reasons why an answer was taken as complete, as they are logged.
const (
	endOfBody     = "end of body"
	endInEvent    = "end of body inside an event"
	endFinalEvent = "final event"
)

// errCallerDisconnected reports that the answer cannot be written to the caller
// any more.
var errCallerDisconnected = errors.New("the caller has disconnected")

// errStreamIncomplete reports that a stream of events ended before its final event.
var errStreamIncomplete = errors.New("the stream ended before its final event")

// relay forwards the answer of one request to its caller. A stream of events may
// come from several attempts. Only whole events are forwarded, so that the next
// attempt can resume after the last of them.
type relay struct {
	caller Caller
	answer *attempt.Answer
	// streams is set if an answer may be a stream of events. hasFinalEvent is set
	// if the stream ends with a final "data: [DONE]" event; otherwise it ends
	// with its body.
	streams       bool
	hasFinalEvent bool
	// headSent is set once the head of the answer was sent to the caller.
	headSent bool
	// status and contentType are those of the first answer.
	status      int
	contentType string
	// events is the number of events forwarded, lastEvent the id of the last one
	// that has an id.
	events    int
	lastEvent string
	// firstEvent is the id of the first event that the current attempt returned;
	// empty if that event has none.
	firstEvent string
	// end says why the answer was taken as complete; empty until then.
	end string
	// storedBody holds the body, which is stored to answer a repeated key. A body
	// longer than storeLimit bytes is not stored, and exceedsLimit is set.
	storedBody   bytes.Buffer
	storeLimit   int
	exceedsLimit bool
	// firstByteAt is when the current attempt returned the first byte of its body.
	firstByteAt time.Time
	// onFirstByte, if set, is called when an attempt returns its first byte.
	onFirstByte func()
	// readsToEnd says that the answer is read to its end even if the caller
	// disconnects; callerGone is set when that happens.
	readsToEnd bool
	callerGone bool
}

// forward sends one answer to the caller up to its end. An error other than
// errCallerDisconnected means that the answer is incomplete.
func (r *relay) forward(a *attempt.Answer) error {
	r.answer = a
	if r.streams && strings.HasPrefix(a.Header.Get("Content-Type"), eventStream) {
		return r.forwardEvents(a.Body)
	}
	return r.forwardBytes(a.Body)
}

// sendHead sends the head of the answer if it was not sent yet. It is called only
// when the first part of the body, or its end, has arrived: until then another
// endpoint can still answer instead.
func (r *relay) sendHead() {
	if r.headSent {
		return
	}
	a := r.answer
	header := exchange.EndToEnd(a.Header)
	r.status, r.contentType = a.Status, a.Header.Get("Content-Type")
	r.caller.WriteHead(a.Status, header)
	r.headSent = true
}

// forwardBytes forwards a body as it arrives.
func (r *relay) forwardBytes(body io.Reader) error {
	buffer := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := r.writePart(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			r.sendHead()
			r.end = endOfBody
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// forwardEvents forwards the whole events of a stream and counts them.
func (r *relay) forwardEvents(body io.Reader) error {
	partial := make([]byte, 0, readBufferSize)
	done, begun := false, false
	for {
		// The same buffer holds the incomplete last event and the next data.
		partial = slices.Grow(partial, readBufferSize/2)
		n, err := body.Read(partial[len(partial):cap(partial)])
		partial = partial[:len(partial)+n]
		end := bytes.LastIndex(partial, []byte("\n\n"))
		if end >= 0 {
			events := partial[:end+2]
			if !begun {
				begun = true
				r.firstEvent = firstEventID(events)
			}
			done = done || (r.hasFinalEvent && bytes.Contains(events, []byte("data: [DONE]")))
			if err := r.writePart(events); err != nil {
				return err
			}
			r.events += bytes.Count(events, []byte("\n\n"))
			r.recordLastEvent(events)
			partial = append(partial[:0], partial[end+2:]...)
		}
		switch {
		case done:
			r.end = endFinalEvent
			return nil
		case errors.Is(err, io.EOF) && r.hasFinalEvent:
			return errStreamIncomplete
		case errors.Is(err, io.EOF):
			return r.forwardRest(partial)
		case err != nil:
			return err
		case len(partial) > maxEventBytes:
			return errors.New("an event of the stream is too long")
		}
	}
}

// forwardRest forwards the data after the last whole event of a complete body.
func (r *relay) forwardRest(rest []byte) error {
	if len(rest) > 0 {
		r.end = endInEvent
		return r.writePart(rest)
	}
	r.sendHead()
	r.end = endOfBody
	return nil
}

// recordLastEvent records the id of the last event that has one.
func (r *relay) recordLastEvent(events []byte) {
	if id := lastEventID(events); id != "" {
		r.lastEvent = id
	}
}

// writePart sends a part of the body to the caller and stores it if the answer is
// to be stored.
func (r *relay) writePart(data []byte) error {
	r.sendHead()
	if r.firstByteAt.IsZero() {
		r.firstByteAt = time.Now()
		if r.onFirstByte != nil {
			r.onFirstByte()
		}
	}
	if r.storeLimit > 0 && !r.exceedsLimit {
		r.exceedsLimit = r.storedBody.Len()+len(data) > r.storeLimit
		if !r.exceedsLimit {
			r.storedBody.Write(data)
		}
	}
	if r.callerGone {
		return nil
	}
	if err := r.caller.WritePart(data); err != nil {
		if !r.readsToEnd {
			return errCallerDisconnected
		}
		r.callerGone = true
	}
	return nil
}

// finalEvents returns the number of events that carry no token: one in a
// stream that ends with a final event.
func (r *relay) finalEvents() int {
	if r.hasFinalEvent {
		return 1
	}
	return 0
}

// usage returns the tokens and times of an attempt that began at start, when
// previousEvents events were already forwarded by earlier attempts.
func (r *relay) usage(request Request, start time.Time, previousEvents int) permit.Usage {
	if r.firstByteAt.IsZero() {
		return permit.Usage{}
	}
	u := permit.Usage{FirstByte: r.firstByteAt.Sub(start), Total: time.Since(start)}
	if request.Streams {
		u.PromptTokens = request.PromptTokens
		u.AnswerTokens = max(r.events-previousEvents-r.finalEvents(), 0)
	}
	return u
}
