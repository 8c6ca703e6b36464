package serving

import (
	"bytes"
	"iter"
	"strconv"
)

// finalEventData is the data of the event that ends a stream of the product's own
// interface.
const finalEventData = "[DONE]"

// byteOrderMark may begin a stream.
var byteOrderMark = []byte("\ufeff")

// event is one server-sent event. A comment, which has neither an id nor data, is
// none.
type event struct {
	id      []byte
	hasData bool
	isFinal bool
	// foreign is set if a line has no name of a field, such as a line of a head or of
	// a plain text.
	foreign bool
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
	default:
		e.foreign = e.foreign || !isFieldName(name)
	}
	return e
}

// isFieldName reports whether a line of a stream that begins with name is a field or a
// comment. Fields that are not known are ignored, but their names look like the known.
func isFieldName(name []byte) bool {
	for _, b := range bytes.TrimPrefix(name, byteOrderMark) {
		isLetter := 'a' <= b && b <= 'z'
		isDigit := '0' <= b && b <= '9'
		if !isLetter && !isDigit && b != '-' && b != '_' {
			return false
		}
	}
	return true
}

// isEvent reports whether the lines make up an event rather than a comment.
func (e event) isEvent() bool { return e.hasData || len(e.id) > 0 }

// parseEvents returns the events of a stream's part that ends with a whole event, and
// what stands there and is foreign.
func parseEvents(part []byte) iter.Seq[event] {
	return func(yield func(event) bool) {
		var current event
		for len(part) > 0 {
			var line []byte
			line, part = cutLine(part)
			if len(line) > 0 {
				current = current.withLine(line)
				continue
			}
			if (current.isEvent() || current.foreign) && !yield(current) {
				return
			}
			current = event{}
		}
	}
}

// fromFirstEvent returns a stream's part without the comments before its first event;
// nil if it has only comments.
func fromFirstEvent(part []byte) []byte {
	var current event
	for rest := part; len(rest) > 0; {
		var line []byte
		line, rest = cutLine(rest)
		switch {
		case len(line) > 0:
			current = current.withLine(line)
		case current.isEvent() || current.foreign:
			return part
		default:
			part, current = rest, event{}
		}
	}
	return nil
}

// cutLine returns the first line of data without its end, which is LF, CRLF or CR,
// and the data behind it.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte("\n"))
	at := bytes.IndexByte(line, '\r')
	switch {
	case at < 0:
		return line, rest
	case at == len(line)-1:
		return line[:at], rest
	default:
		return line[:at], data[at+1:]
	}
}

// eventEnds are the line ends that make up the empty line after an event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// maxEventEnd is the length of the longest of eventEnds, in bytes.
const maxEventEnd = 3

// lastEventEnd returns the index behind the last whole event of data; zero if data
// holds none. The first searched bytes are known to hold none.
func lastEventEnd(data []byte, searched int) int {
	from := max(0, searched-maxEventEnd+1)
	hasCR := bytes.IndexByte(data[from:], '\r') >= 0
	end := 0
	for _, eventEnd := range eventEnds {
		if eventEnd[len(eventEnd)-2] == '\r' && !hasCR {
			continue
		}
		if at := bytes.LastIndex(data[from:], eventEnd); at >= 0 {
			end = max(end, from+at+len(eventEnd))
		}
	}
	return end
}

// endsInsideEvent reports whether rest, which follows the last whole event of a
// stream, is the beginning of another event. Empty lines and comments are not.
func endsInsideEvent(rest []byte) bool {
	for len(rest) > 0 {
		var line []byte
		line, rest = cutLine(rest)
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

// precedes reports whether the event with an id can come after the position: ids
// are numbers that increase along a stream.
func (p streamPosition) precedes(id []byte) bool {
	next, err := strconv.ParseUint(string(id), 10, 64)
	last, lastErr := strconv.ParseUint(p.lastEvent, 10, 64)
	return err == nil && lastErr == nil && next > last
}
