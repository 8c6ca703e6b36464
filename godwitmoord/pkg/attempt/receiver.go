package attempt

import (
	"fmt"
	"net"
)

// maxHeadBytes bounds the head of an answer together with the interim answers
// before it. Short fields need many times their size in memory, and widespread
// proxies allow no more.
const maxHeadBytes = 16 << 10

// HeadTooLongError reports that an endpoint sent more bytes than the head of an
// answer may have, and the head did not end.
type HeadTooLongError struct {
	Address string
	Limit   int
}

func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("the head of an answer from %s did not end within %d bytes; check what answers there, or shorten its header fields", e.Address, e.Limit)
}

// receiver reads from a connection for its buffered reader and bounds the size of
// a head.
type receiver struct {
	address string
	conn    net.Conn
	// inHead is set while a head is read. headBytes is how many bytes were received
	// since it began.
	inHead    bool
	headBytes int
	// err is the error with which the receiver ended the answer. net/http replaces
	// some errors by its own.
	err error
}

// beginHead begins a head.
func (r *receiver) beginHead() { r.inHead, r.headBytes = true, 0 }

// endHead ends a head. A body follows, which has no size limit.
func (r *receiver) endHead() { r.inHead = false }

func (r *receiver) Read(into []byte) (int, error) {
	if r.inHead && r.headBytes >= maxHeadBytes {
		r.err = &HeadTooLongError{Address: r.address, Limit: maxHeadBytes}
	}
	if r.err != nil {
		return 0, r.err
	}
	if r.inHead {
		into = into[:min(len(into), maxHeadBytes-r.headBytes)]
	}
	n, err := r.conn.Read(into)
	r.headBytes += n
	return n, err
}
