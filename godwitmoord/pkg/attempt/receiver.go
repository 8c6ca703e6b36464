package attempt

import (
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
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

// errUnresponsive ends an attempt whose endpoint sent no data within the time
// limit.
var errUnresponsive = errors.New("the endpoint sent no data within the time limit")

// waitLimits limits one wait for data of an endpoint.
type waitLimits struct {
	// longest is the longest wait; zero means no limit.
	longest time.Duration
	// onInactive is called whenever the wait has lasted for another interval, and
	// reports whether to end it.
	interval   time.Duration
	onInactive func(Inactivity) bool
}

// receiver reads from a connection for its buffered reader. It waits for one unit
// of an answer at a time: its head, or the next data of its body. Bytes that do
// not complete the unit, such as part of a head, of a chunk's length or of a
// trailer, do not end the wait.
type receiver struct {
	sender  *Sender
	address string
	conn    net.Conn
	limits  waitLimits
	// The wait began at start. It ends at deadline, and onInactive is called next
	// at checkAt; a zero time means never.
	start, deadline, checkAt time.Time
	// inHead is set while a head is read. headBytes is how many bytes were received
	// since it began.
	inHead    bool
	headBytes int
	// err is the error that ended the wait. net/http replaces some errors by its own.
	err error
}

// beginWait begins the wait for the next unit.
func (r *receiver) beginWait(limits waitLimits) {
	r.limits, r.start = limits, time.Now()
	r.deadline, r.checkAt = time.Time{}, time.Time{}
	if limits.longest > 0 {
		r.deadline = r.start.Add(limits.longest)
	}
	if limits.interval > 0 && limits.onInactive != nil {
		r.checkAt = r.start.Add(limits.interval)
	}
}

// beginHead begins the wait for a head.
func (r *receiver) beginHead(limits waitLimits) {
	r.beginWait(limits)
	r.inHead, r.headBytes = true, 0
}

// endHead ends a head. A body follows, which has no size limit.
func (r *receiver) endHead() { r.inHead = false }

// release releases what the wait refers to, before the connection becomes idle.
func (r *receiver) release() { r.limits = waitLimits{} }

// Read reads the next bytes within the limits of the wait.
func (r *receiver) Read(into []byte) (int, error) {
	if r.inHead && r.headBytes >= maxHeadBytes {
		r.err = &HeadTooLongError{Address: r.address, Limit: maxHeadBytes}
	}
	if r.inHead {
		into = into[:min(len(into), maxHeadBytes-r.headBytes)]
	}
	for r.err == nil {
		if r.err = r.checkWait(); r.err != nil {
			continue
		}
		n, err := r.conn.Read(into)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if n == 0 && !errors.Is(err, io.EOF) {
			r.err = err
		}
		r.headBytes += n
		return n, err
	}
	return 0, r.err
}

// checkWait ends the wait if its limits say so, and otherwise sets until when the
// next read may last.
func (r *receiver) checkWait() error {
	now := time.Now()
	if !r.deadline.IsZero() && !now.Before(r.deadline) {
		return errUnresponsive
	}
	if !r.checkAt.IsZero() && !now.Before(r.checkAt) {
		if r.limits.onInactive(Inactivity{Duration: now.Sub(r.start), EndpointAlive: r.sender.hasDataSince(r.address, r.start)}) {
			return errUnresponsive
		}
		r.checkAt = time.Now().Add(r.limits.interval)
	}
	until := r.deadline
	if until.IsZero() || (!r.checkAt.IsZero() && r.checkAt.Before(until)) {
		until = r.checkAt
	}
	return r.conn.SetReadDeadline(until)
}

// cause returns the error that ended the wait, if net/http returned another one
// because of it, and otherwise err.
func (r *receiver) cause(err error) error {
	if r.err != nil {
		return r.err
	}
	return err
}
