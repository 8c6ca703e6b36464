package serving

import (
	"bytes"
	"iter"
	"strconv"
)

// finalEventData is the data of the event that ends a stream of the product's own
// interface.
const finalEventData = "[DONE]"

// event is one server-sent event. A comment, which has neither an id nor data, is
// none.
type event struct {
	id      []byte
	hasData bool
	isFinal bool
}

// withLine returns the event with one of its lines added.
func (e event) withLine(line []byte) event {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		e.id = bytes.TrimSpace(value)
	case "data":
		e.isFinal = !e.hasData && string(bytes.TrimSpace(value)) == finalEventData
		e.hasData = true
	}
	return e
}

// isEvent reports whether the lines make up an event rather than a comment.
func (e event) isEvent() bool { return e.hasData || len(e.id) > 0 }

// parseEvents returns the events of a stream's part that ends with a whole event.
func parseEvents(part []byte) iter.Seq[event] {
	return func(yield func(event) bool) {
		var current event
		for line := range bytes.Lines(part) {
			line = withoutLineEnd(line)
			if len(line) > 0 {
				current = current.withLine(line)
				continue
			}
			if current.isEvent() && !yield(current) {
				return
			}
			current = event{}
		}
	}
}

func withoutLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// lastEventEnd returns the index behind the last whole event of data; zero if data
// holds none.
func lastEventEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if bytes.IndexByte(data, '\r') < 0 {
		return end
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+len("\r\n\r\n"))
	}
	return end
}

// endsInsideEvent reports whether rest, which follows the last whole event of a
// stream, is the beginning of another event. Empty lines and comments are not.
func endsInsideEvent(rest []byte) bool {
	for line := range bytes.Lines(rest) {
		line = withoutLineEnd(line)
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// streamPosition is the point up to which the caller has a stream.
type streamPosition struct {
	// events is the number of events that were forwarded.
	events int
	// lastEvent is the id of the last event that the caller has; empty if that
	// event has none.
	lastEvent string
}

// withEvent returns the position after one more event.
func (p streamPosition) withEvent(e event) streamPosition {
	return streamPosition{events: p.events + 1, lastEvent: string(e.id)}
}

// precedes reports whether an event with an id can be the next one after the
// position. Ids that are numbers increase along a stream. Of other ids, only a
// repetition of the last one is certain to be wrong.
func (p streamPosition) precedes(id string) bool {
	next, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(p.lastEvent, 10, 64)
	if err != nil || lastErr != nil {
		return id != "" && id != p.lastEvent
	}
	return next > last
}
