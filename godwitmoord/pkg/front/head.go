package front

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/godwitmoord/pkg/budget"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	// headLimitSlack is how much the HTTP server reads of a head beyond its limit before it
	// refuses it.
	headLimitSlack = 4 << 10
	// maxHeadBytes is the most that is gathered of a head. The server refuses a head that
	// is not complete by then.
	maxHeadBytes = boundedHeaderBytes + headLimitSlack
	// minHeadBuffer is the first size of the buffer for a head that comes in pieces.
	minHeadBuffer = 1 << 10
	// headRefusal answers a request for whose head there is no room. Its status promises
	// that the request does not run.
	headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// headRefusalTime bounds the write of headRefusal.
	headRefusalTime = 100 * time.Millisecond
)

// headReader passes the bytes of a caller's connection on to the HTTP server, but those of
// a request's head only once all of it has arrived. Until then a head takes no more room
// than its bytes; the server will hold many times as much. That is charged before the
// head is passed on, and a request for whose head there is no room is refused.
type headReader struct {
	conn *callerConn
	// inHead is set from the end of a request until the next head is passed on.
	inHead bool
	// buffer holds what has arrived and was not passed on.
	buffer []byte
	// scanned is how much of the buffer has been searched for the end of the head.
	scanned int
}

// begin prepares for the head of the next request.
func (h *headReader) begin() { h.inHead, h.scanned = true, 0 }

// end records that the server has the head of a request. It may have got all of it before
// it answered the request before.
func (h *headReader) end() { h.inHead = false }

// Read returns bytes of the connection, those of a head once it is complete.
func (h *headReader) Read(into []byte) (int, error) {
	if !h.inHead {
		return h.pass(into)
	}
	if len(h.buffer) == 0 {
		n, err := h.conn.Conn.Read(into)
		if n == 0 {
			return 0, err
		}
		// Most heads arrive at once and need no buffer.
		if !isLineEnd(into[0]) && h.findEnd(into[:n]) {
			if err := h.complete(into[:n]); err != nil {
				return 0, err
			}
			return n, nil
		}
		h.buffer = append(make([]byte, 0, max(minHeadBuffer, n)), into[:n]...)
	}
	h.conn.headStarted(len(h.buffer))
	// The server tolerates some empty lines before a request. They may also be the end of
	// a head whose beginning it has.
	if isLineEnd(h.buffer[0]) {
		return h.pass(into[:1])
	}
	if err := h.gather(); err != nil {
		return 0, err
	}
	if err := h.complete(h.buffer); err != nil {
		return 0, err
	}
	return h.pass(into)
}

// complete ends the wait for the head that data begins with. It returns io.EOF if the
// request is refused.
func (h *headReader) complete(data []byte) error {
	h.inHead = false
	head := data[:h.scanned]
	if h.scanned == 0 {
		head = data // without an end
	}
	items := bytes.Count(head, []byte{'\n'}) + bytes.Count(head, []byte{','})
	if h.conn.chargeHead(budget.HeadBytes(len(head), items)) {
		return nil
	}
	h.buffer = nil
	h.conn.refuseHead()
	return io.EOF
}

// gather waits until the head in the buffer is complete, too long, or ends with the
// connection.
func (h *headReader) gather() error {
	for !h.findEnd(h.buffer) && len(h.buffer) < maxHeadBytes {
		if len(h.buffer) == cap(h.buffer) {
			size := min(max(2*len(h.buffer), minHeadBuffer), maxHeadBytes)
			h.buffer = append(make([]byte, 0, size), h.buffer...)
		}
		n, err := h.conn.Conn.Read(h.buffer[len(h.buffer):cap(h.buffer)])
		h.buffer = h.buffer[:len(h.buffer)+n]
		switch {
		case n > 0:
		case errors.Is(err, io.EOF):
			return nil
		default:
			return err
		}
	}
	return nil
}

// findEnd reports whether the end of the head is in data, which begins with what it was
// when this was called last.
func (h *headReader) findEnd(data []byte) bool {
	for {
		length := bytes.IndexByte(data[h.scanned:], '\n')
		if length < 0 {
			return false
		}
		line := data[h.scanned : h.scanned+length]
		h.scanned += length + 1
		if len(line) == 0 || (len(line) == 1 && line[0] == '\r') {
			return true
		}
	}
}

func isLineEnd(b byte) bool { return b == '\r' || b == '\n' }

// pass returns what is in the buffer, or else what arrives.
func (h *headReader) pass(into []byte) (int, error) {
	if len(h.buffer) == 0 {
		h.buffer = nil
		return h.conn.Conn.Read(into)
	}
	n := copy(into, h.buffer)
	h.buffer = h.buffer[n:]
	return n, nil
}

// headBytes returns what is held for the head of a request beyond what is charged with its
// connection.
func headBytes(r *http.Request) int64 {
	length, items := len(r.RequestURI), len(r.Trailer)
	for name, values := range r.Header {
		items += len(values)
		for _, value := range values {
			length += len(name) + len(value)
			// Lists are held by their entries, too.
			items += strings.Count(value, ",")
		}
	}
	return budget.HeadBytes(length, items)
}

// chargeHead charges the head of the request. That was done when the head was passed on,
// but for what the server had of it before it answered the request before.
func (b *callerBody) chargeHead() *rejection {
	if b.conn == nil || b.conn.chargeHead(headBytes(b.request)) {
		return nil
	}
	// The server keeps the request until its connection is closed.
	b.request.Header = nil
	return &rejection{status: http.StatusServiceUnavailable, reason: text.HostFull, retryAfter: noRoomRetry}
}
