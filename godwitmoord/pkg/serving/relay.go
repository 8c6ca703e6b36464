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

// idLine begins the line of an event that holds its id, behind another line.
var idLine = []byte("\nid:")

// errCallerGone ends a relay whose caller takes no more.
var errCallerGone = errors.New("the caller is gone")

// errShort says that a stream of events ended before its last event.
var errShort = errors.New("the stream ended before its last event")

// relay passes answers of one request on to its caller. A stream of events may
// come from several attempts: only whole events are passed, so that the next
// attempt can go on where the last one stopped.
type relay struct {
	caller Caller
	answer *attempt.Answer
	// streams says that answers may be streams of events. Marked ones end with an
	// event that says so; others end with their body.
	streams bool
	marked  bool
	begun   bool
	// status and contentType are those of the first answer.
	status      int
	contentType string
	// events is the number of events passed on, lastEvent the id of the last one.
	events    int
	lastEvent string
	// kept holds the body up to keepLimit bytes, for a repeated key.
	kept      bytes.Buffer
	keepLimit int
	tooLong   bool
	firstByte time.Time
	// onFirst is called with the first byte of each attempt; nil is not.
	onFirst func()
	// detached keeps reading when the caller is gone.
	detached bool
	gone     bool
}

// pass hands one answer on, to its end. An error other than errCallerGone means
// that the answer stopped short.
func (l *relay) pass(a *attempt.Answer) error {
	l.answer = a
	if l.streams && strings.HasPrefix(a.Header.Get("Content-Type"), eventStream) {
		return l.passEvents(a.Body)
	}
	return l.passBytes(a.Body)
}

// begin sends the head of the answer, as late as its first part: until then
// another endpoint can still answer in its place.
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

func (l *relay) passEvents(body io.Reader) error {
	partial := make([]byte, 0, readSize)
	done := false
	for {
		// One buffer serves the reading and what is left of an event.
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

// finishEvents passes on what a whole body ends with.
func (l *relay) finishEvents(rest []byte) error {
	if len(rest) > 0 {
		return l.give(rest)
	}
	l.begin()
	return nil
}

// noteLast remembers the id of the last event that has one.
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

// unitEvents is the number of events that carry no token: the mark of the end.
func (l *relay) unitEvents() int {
	if l.marked {
		return 1
	}
	return 0
}

// usage tells what an attempt that began at start and passed events from the
// given one on has taken.
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
