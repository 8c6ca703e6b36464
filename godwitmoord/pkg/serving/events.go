package serving

import "bytes"

// idFieldPrefix starts the line that holds an event's id, if that is not the
// first line.
var idFieldPrefix = []byte("\nid:")

// firstEventID returns the id of the first of some whole events; empty if it has
// none.
func firstEventID(events []byte) string {
	first, _, _ := bytes.Cut(events, []byte("\n\n"))
	return lastEventID(first)
}

// lastEventID returns the id of the last event that has one; empty if none has.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, idFieldPrefix)
	switch {
	case at >= 0:
		events = events[at+len(idFieldPrefix):]
	case bytes.HasPrefix(events, idFieldPrefix[1:]):
		events = events[len(idFieldPrefix)-1:]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
