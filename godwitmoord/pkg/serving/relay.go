package serving

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/budget"
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
	endFinalEvent = "final event"
)

// errCallerDisconnected reports that the answer cannot be written to the caller
// any more.
var errCallerDisconnected = errors.New("the caller has disconnected")

// errStreamIncomplete reports that a stream of events ended before its final event,
// inside an event, or with its connection before any event.
var errStreamIncomplete = errors.Wrap(io.ErrUnexpectedEOF, "the stream ended inside an event or before its final event")

// errForeignText reports that a stream of events goes on with something else, such as
// the error that its endpoint met.
var errForeignText = errors.Wrap(io.ErrUnexpectedEOF, "the stream goes on with lines that are no events")

// NotContinuedError reports that an attempt's answer does not go on where the
// stream broke off that the caller already receives.
type NotContinuedError struct {
	// Position says where the stream broke off, Got with what the answer went on.
	Position, Got string
}

func (e *NotContinuedError) Error() string {
	return fmt.Sprintf("an answer with %s does not continue the stream after %s; check that the endpoint can resume streams", e.Got, e.Position)
}

// relay forwards the answer of one request to its caller. A stream of events may
// come from several attempts. Only whole events are forwarded, so that the next
// attempt can resume after the last of them, and only an answer that is shown to
// continue there is joined to what the caller already has.
type relay struct {
	caller Caller
	answer *attempt.Answer
	// streams is set if an answer may be a stream of events.
	streams bool
	// resumesByID is set if the endpoints continue a stream after the event whose
	// id they are sent; otherwise they continue it at an offset, which they state
	// in their answer.
	resumesByID bool
	// hasFinalEvent is set if the stream ends with a final "data: [DONE]" event;
	// otherwise it ends with its body.
	hasFinalEvent bool
	// headSent is set once the head of the answer was sent to the caller.
	headSent bool
	// status, contentType and contentEncoding are those of the first answer;
	// streaming is set if that is a stream of events.
	status          int
	contentType     string
	contentEncoding string
	streaming       bool
	// position is the point up to which the caller has the stream. It begins with
	// the event that the caller itself resumes after.
	position streamPosition
	// resumed is set while the current attempt must continue what the caller has.
	resumed bool
	// continues is set while the events of the current attempt must follow the
	// position by their ids. begun is set once it returned an event, and firstEvent
	// is the id of that event, empty if it has none.
	continues  bool
	begun      bool
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
	// lastPartAt is when the current attempt returned the latest part of its body, and
	// longestPause the longest time between two parts of it.
	lastPartAt   time.Time
	longestPause time.Duration
	// onFirstByte, if set, is called when an attempt returns its first byte.
	onFirstByte func()
	// onHeadSent, if set, is called when the head of the answer was sent.
	onHeadSent func()
	// readsToEnd says that the answer is read to its end even if the caller
	// disconnects; callerGone is set when that happens.
	readsToEnd bool
	callerGone bool
	// account is charged for what is held of answers beyond a small buffer, and held is
	// the number of bytes charged.
	account *budget.Account
	held    int64
}

// hold charges n bytes that are held of an answer. They are never refused: the request
// was sent.
func (r *relay) hold(n int) {
	r.account.Add(int64(n))
	r.held += int64(n)
}

// release returns the charge of what was held, at the end of the request.
func (r *relay) release() {
	r.account.Add(-r.held)
	r.held = 0
}

// beginAttempt forgets what was recorded of the attempt before; onFirstByte is for
// the next one.
func (r *relay) beginAttempt(onFirstByte func()) {
	r.firstByteAt, r.begun, r.firstEvent = time.Time{}, false, ""
	r.lastPartAt, r.longestPause = time.Time{}, 0
	r.onFirstByte = onFirstByte
}

// forward sends one answer to the caller up to its end. An error other than
// errCallerDisconnected means that the answer is incomplete, or, if it is a
// *NotContinuedError, that nothing of it was sent.
func (r *relay) forward(a *attempt.Answer) error {
	r.answer, r.resumed = a, r.headSent
	if err := r.checkContinues(a); err != nil {
		return err
	}
	if r.isStream(a) {
		r.continues = r.resumesByID && r.position.lastEvent != ""
		return r.forwardEvents(a.Body)
	}
	return r.forwardBytes(a.Body)
}

// isStream reports whether an answer is a stream of events that can be read. A
// compressed one is forwarded as it comes and cannot be resumed.
func (r *relay) isStream(a *attempt.Answer) bool {
	mediaType, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	isEvents := strings.EqualFold(strings.TrimSpace(mediaType), eventStream)
	return r.streams && isEvents && a.Status == http.StatusOK && a.Header.Get("Content-Encoding") == ""
}

// canContinue reports whether another attempt can continue what the caller already
// has: a stream up to a known position.
func (r *relay) canContinue() bool {
	known := !r.resumesByID || r.position.events == 0 || r.position.lastEvent != ""
	return r.streaming && known
}

// checkContinues checks the head of an answer that must continue what the caller
// already has. Where events have ids, checkEvent completes the check.
func (r *relay) checkContinues(a *attempt.Answer) error {
	switch {
	case !r.resumed:
		return nil
	case !r.canContinue() || !r.isStream(a):
		return r.notContinued(fmt.Sprintf("status %d and content type %q", a.Status, a.Header.Get("Content-Type")))
	case !r.resumesByID && a.Offset != r.position.events:
		return r.notContinued(fmt.Sprintf("offset %d", a.Offset))
	default:
		return nil
	}
}

// checkEvent checks that an event of the current attempt follows position, if it
// must.
func (r *relay) checkEvent(position streamPosition, e event) error {
	if !r.begun {
		r.begun, r.firstEvent = true, string(e.id)
	}
	if r.continues && !position.precedes(e.id) {
		return r.notContinued(fmt.Sprintf("event %q", e.id))
	}
	return nil
}

func (r *relay) notContinued(got string) error {
	position := fmt.Sprintf("%d events", r.position.events)
	if r.position.lastEvent != "" {
		position = fmt.Sprintf("event %q", r.position.lastEvent)
	}
	return &NotContinuedError{Position: position, Got: got}
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
	r.status, r.streaming = a.Status, r.isStream(a)
	r.contentType, r.contentEncoding = a.Header.Get("Content-Type"), a.Header.Get("Content-Encoding")
	r.caller.WriteHead(a.Status, header)
	r.headSent = true
	if r.onHeadSent != nil {
		r.onHeadSent()
	}
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
	for {
		// The same buffer holds the incomplete last event and the next data.
		before := cap(partial)
		partial = slices.Grow(partial, readBufferSize/2)
		if cap(partial) > before {
			r.hold(cap(partial) - before)
		}
		n, err := body.Read(partial[len(partial):cap(partial)])
		partial = partial[:len(partial)+n]
		if end := lastEventEnd(partial, len(partial)-n); end > 0 {
			if err := r.forwardWhole(partial[:end]); err != nil {
				return err
			}
			partial = append(partial[:0], partial[end:]...)
		}
		switch {
		case r.end == endFinalEvent:
			return nil
		case errors.Is(err, io.EOF):
			return r.forwardRest(partial)
		case err != nil:
			return err
		case len(partial) > maxEventBytes:
			return errors.New("an event of the stream is too long")
		}
	}
}

// forwardWhole forwards a part of a stream that ends with a whole event.
func (r *relay) forwardWhole(part []byte) error {
	position, isFinal := r.position, false
	if r.resumed && !r.begun {
		// What precedes the first event of an answer that may not continue the stream.
		part = fromFirstEvent(part)
	}
	for e := range parseEvents(part) {
		if e.foreign {
			return errForeignText
		}
		if err := r.checkEvent(position, e); err != nil {
			return err
		}
		position = position.withEvent(e)
		isFinal = isFinal || (r.hasFinalEvent && e.isFinal)
	}
	if len(part) == 0 {
		return nil
	}
	if err := r.writePart(part); err != nil {
		return err
	}
	r.position = position
	if isFinal {
		r.end = endFinalEvent
	}
	return nil
}

// forwardRest forwards the data after the last whole event of a complete body. The
// beginning of an event is not forwarded: the stream is incomplete then.
func (r *relay) forwardRest(rest []byte) error {
	if r.hasFinalEvent || endsInsideEvent(rest) {
		return errStreamIncomplete
	}
	if r.resumed && !r.begun {
		return r.notContinued("no event")
	}
	if r.answer.EndsWithConnection && !r.begun {
		// An endpoint that crashes before its first event ends the connection too.
		return errStreamIncomplete
	}
	r.end = endOfBody
	if len(rest) > 0 {
		return r.writePart(rest)
	}
	r.sendHead()
	return nil
}

// writePart sends a part of the body to the caller and stores it if the answer is
// to be stored.
func (r *relay) writePart(data []byte) error {
	r.sendHead()
	r.recordPart()
	if !r.exceedsLimit {
		r.exceedsLimit = r.storedBody.Len()+len(data) > r.storeLimit
		if !r.exceedsLimit {
			r.storedBody.Write(data)
			r.hold(len(data))
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

// recordPart records the arrival of a part of the body.
func (r *relay) recordPart() {
	now := time.Now()
	if !r.firstByteAt.IsZero() {
		r.longestPause = max(r.longestPause, now.Sub(r.lastPartAt))
		r.lastPartAt = now
		return
	}
	r.firstByteAt, r.lastPartAt = now, now
	if r.onFirstByte != nil {
		r.onFirstByte()
	}
}

// begunAnswer reports whether the current attempt has begun a successful answer.
func (r *relay) begunAnswer() bool {
	return !r.firstByteAt.IsZero() && r.answer.Status >= http.StatusOK && r.answer.Status < http.StatusMultipleChoices
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
	u := permit.Usage{FirstByte: r.firstByteAt.Sub(start), Total: time.Since(start), Begun: r.begunAnswer()}
	if request.Streams {
		u.PromptTokens = request.PromptTokens
		u.AnswerTokens = max(r.position.events-previousEvents-r.finalEvents(), 0)
		u.LongestPause = r.longestPause
	}
	return u
}
