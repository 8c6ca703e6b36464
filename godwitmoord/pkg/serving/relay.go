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
	readSize = 2 << 10
	// maxEvent bounds one server-sent event, in bytes.
	maxEvent    = 256 << 10
	eventStream = "text/event-stream"
)

// idLine starts the line that holds an event's id, if that is not the first line.
var idLine = []byte("\nid:")

// errCallerGone reports that the answer cannot be written to the caller any more.
var errCallerGone = errors.New("the caller has disconnected")

// errShort reports that a stream of events ended before its final event.
var errShort = errors.New("the stream ended before its final event")

// relay forwards the answer of one request to its caller. A stream of events may
// come from several attempts. Only whole events are forwarded, so that the next
// attempt can resume after the last of them.
type relay struct {
	caller Caller
	answer *attempt.Answer
	// streams is set if an answer may be a stream of events. marked is set if the
	// stream ends with a final "data: [DONE]" event; otherwise it ends with its
	// body.
	streams bool
	marked  bool
	// begun is set once the head of the answer was sent to the caller.
	begun bool
	// status and contentType are those of the first answer.
	status      int
	contentType string
	// events is the number of events forwarded, lastEvent the id of the last one
	// that has an id.
	events    int
	lastEvent string
	// kept holds the body, which is stored to answer a repeated key. A body longer
	// than keepLimit bytes is not stored, and tooLong is set.
	kept      bytes.Buffer
	keepLimit int
	tooLong   bool
	// firstByte is when the current attempt returned the first byte of its body.
	firstByte time.Time
	// onFirst, if set, is called when an attempt returns its first byte.
	onFirst func()
	// detached says that the answer is read to its end even if the caller
	// disconnects; gone is set when that happens.
	detached bool
	gone     bool
}

// pass forwards one answer up to its end. An error other than errCallerGone means
// that the answer is incomplete.
func (l *relay) pass(a *attempt.Answer) error {
	l.answer = a
	if l.streams && strings.HasPrefix(a.Header.Get("Content-Type"), eventStream) {
		return l.passEvents(a.Body)
	}
	return l.passBytes(a.Body)
}

// begin sends the head of the answer if it was not sent yet. It is called only
// when the first part of the body, or its end, has arrived: until then another
// endpoint can still answer instead.
func (l *relay) begin() {
	if l.begun {
		return
	}
	a := l.answer
	header := exchange.EndToEnd(a.Header)
	l.status, l.contentType = a.Status, a.Header.Get("Content-Type")
	l.caller.Begin(a.Status, header)
	l.begun = true
}

// passBytes forwards a body as it arrives.
func (l *relay) passBytes(body io.Reader) error {
	buffer := make([]byte, readSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := l.give(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			l.begin()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// passEvents forwards the whole events of a stream and counts them.
func (l *relay) passEvents(body io.Reader) error {
	partial := make([]byte, 0, readSize)
	done := false
	for {
		// The same buffer holds the incomplete last event and the next data.
		partial = slices.Grow(partial, readSize/2)
		n, err := body.Read(partial[len(partial):cap(partial)])
		partial = partial[:len(partial)+n]
		whole := bytes.LastIndex(partial, []byte("\n\n"))
		if whole >= 0 {
			events := partial[:whole+2]
			done = done || (l.marked && bytes.Contains(events, []byte("data: [DONE]")))
			if err := l.give(events); err != nil {
				return err
			}
			l.events += bytes.Count(events, []byte("\n\n"))
			l.noteLast(events)
			partial = append(partial[:0], partial[whole+2:]...)
		}
		switch {
		case done:
			return nil
		case errors.Is(err, io.EOF) && l.marked:
			return errShort
		case errors.Is(err, io.EOF):
			return l.finishEvents(partial)
		case err != nil:
			return err
		case len(partial) > maxEvent:
			return errors.New("an event of the stream is too long")
		}
	}
}

// finishEvents forwards the data after the last whole event of a complete body.
func (l *relay) finishEvents(rest []byte) error {
	if len(rest) > 0 {
		return l.give(rest)
	}
	l.begin()
	return nil
}

// noteLast records the id of the last event that has one.
func (l *relay) noteLast(events []byte) {
	at := bytes.LastIndex(events, idLine)
	switch {
	case at >= 0:
		events = events[at+len(idLine):]
	case bytes.HasPrefix(events, idLine[1:]):
		events = events[len(idLine)-1:]
	default:
		return
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	l.lastEvent = string(bytes.TrimSpace(line))
}

// give sends a part of the body to the caller and stores it if the answer is to
// be stored.
func (l *relay) give(data []byte) error {
	l.begin()
	if l.firstByte.IsZero() {
		l.firstByte = time.Now()
		if l.onFirst != nil {
			l.onFirst()
		}
	}
	if l.keepLimit > 0 && !l.tooLong {
		l.tooLong = l.kept.Len()+len(data) > l.keepLimit
		if !l.tooLong {
			l.kept.Write(data)
		}
	}
	if l.gone {
		return nil
	}
	if err := l.caller.Part(data); err != nil {
		if !l.detached {
			return errCallerGone
		}
		l.gone = true
	}
	return nil
}

// unitEvents returns the number of events that carry no token: one in a marked
// stream, for its final event.
func (l *relay) unitEvents() int {
	if l.marked {
		return 1
	}
	return 0
}

// usage returns the tokens and times of an attempt that began at start, when from
// events were already forwarded by earlier attempts.
func (l *relay) usage(r Request, start time.Time, from int) permit.Usage {
	if l.firstByte.IsZero() {
		return permit.Usage{}
	}
	u := permit.Usage{FirstByte: l.firstByte.Sub(start), Total: time.Since(start)}
	if r.Streams {
		u.PromptTokens = r.PromptTokens
		u.AnswerTokens = max(l.events-from-l.unitEvents(), 0)
	}
	return u
}
