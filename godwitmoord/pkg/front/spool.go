package front

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/godwitmoord/pkg/budget"
)

const (
	// blockedTime is how long a write may wait for its caller before the rest of it is
	// spooled.
	blockedTime = 30 * time.Millisecond
	// maxSpoolBytes bounds what is spooled for one connection. hostSpoolBytes bounds
	// what is spooled for all, and so does a fraction of what the host may hold, as
	// spoolDivisor.
	maxSpoolBytes  = 64 << 10
	hostSpoolBytes = 16 << 20
	spoolDivisor   = 8
	// spoolPieceBytes is the most that is sent from a spool at once.
	spoolPieceBytes = 16 << 10
	unreadTime      = 10 * time.Second
	// Endpoints cut off answers that are not read for several seconds, so a full spool
	// must have room again before that.
	fullTime = 2 * time.Second
)

// errUnread ends a connection whose caller does not read its answer.
var errUnread = errors.New("the caller does not read its answer")

// spool holds what the caller of one connection has not read in time, and sends it on in
// a goroutine that runs only while there is something to send. So an endpoint whose
// answer is complete is free, although the caller reads slowly. A connection whose spool
// fails is reset, so that its answer can't look complete.
type spool struct {
	conn *callerConn
	// room has a value when there may be room again.
	room chan struct{}

	mu sync.Mutex
	// data is what waits to be sent, size its length and that of what is being sent.
	data []byte
	size int
	// running is set while the goroutine runs, closing if it closes the connection at
	// its end, and failed once the connection was reset.
	running, closing, failed bool
}

// Write sends data to the caller. It returns once the data is sent or spooled.
func (c *callerConn) Write(data []byte) (int, error) {
	if c.spool.isRunning() {
		return c.spool.add(data)
	}
	if !c.spools.Load() {
		return c.Conn.Write(data)
	}
	n := c.tryWrite(data)
	if n == len(data) {
		return n, nil
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(blockedTime))
	more, err := c.Conn.Write(data[n:])
	n += more
	_ = c.Conn.SetWriteDeadline(time.Time{})
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	more, err = c.spool.add(data[n:])
	return n + more, err
}

// SetWriteDeadline sets no deadline where a connection spools: the deadlines of the spool
// apply, and the HTTP server clears the deadline after each request.
func (c *callerConn) SetWriteDeadline(deadline time.Time) error {
	if c.listener.spools {
		return nil
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// tryWrite writes what can be written without waiting. It returns zero after an error,
// which the next write meets again.
func (c *callerConn) tryWrite(data []byte) int {
	c.trying, c.tried = data, 0
	err := c.raw.Write(c.tryFunc)
	c.trying = nil
	if err != nil {
		return 0
	}
	return max(c.tried, 0)
}

func (c *callerConn) try(fd uintptr) bool {
	c.tried, _ = syscall.Write(int(fd), c.trying)
	return true
}

// isRunning reports whether data must go through the spool: there is some in it, or the
// connection was reset.
func (s *spool) isRunning() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running || s.failed
}

// closeLater makes the goroutine close the connection at its end, and reports whether it
// runs.
func (s *spool) closeLater() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = s.closing || s.running
	return s.running
}

// add spools data. It waits for room, and fails if none comes in time. While nothing of
// the connection is spooled and the host has no room, it sends the data itself.
func (s *spool) add(data []byte) (int, error) {
	added := 0
	var full <-chan time.Time
	for {
		n, err := s.put(data[added:])
		if n == 0 && err == nil && !s.isRunning() {
			n, err = s.send(data[added:])
		}
		added += n
		if err != nil || added == len(data) {
			return added, err
		}
		if n > 0 || full == nil {
			full = time.After(s.conn.listener.fullTime)
		}
		select {
		case <-s.room:
		case <-full:
			s.fail(budget.SpoolFull)
			return added, errUnread
		}
	}
}

// send sends data without spooling it, and fails if the caller reads none of it in time.
func (s *spool) send(data []byte) (int, error) {
	_ = s.conn.Conn.SetWriteDeadline(time.Now().Add(s.conn.listener.fullTime))
	n, err := s.conn.Conn.Write(data)
	_ = s.conn.Conn.SetWriteDeadline(time.Time{})
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n == 0 {
		s.fail(budget.SpoolFull)
		return 0, errUnread
	}
	return n, nil
}

// put spools as much of data as there is room for, and starts the goroutine if it does
// not run.
func (s *spool) put(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed || s.closing {
		return 0, errUnread
	}
	n := min(len(data), maxSpoolBytes-s.size)
	if n <= 0 || !s.conn.listener.reserveSpool(n) {
		return 0, nil
	}
	s.data = append(s.data, data[:n]...)
	s.size += n
	if !s.running {
		s.running = true
		s.conn.listener.spooling.Add(1)
		go s.run()
	}
	return n, nil
}

// run sends what is spooled until nothing is left.
func (s *spool) run() {
	defer s.conn.listener.spooling.Add(-1)
	for {
		data := s.take()
		if data == nil {
			return
		}
		for len(data) > 0 {
			piece := data[:min(len(data), spoolPieceBytes)]
			_ = s.conn.Conn.SetWriteDeadline(time.Now().Add(s.conn.listener.unreadTime))
			n, err := s.conn.Conn.Write(piece)
			data = data[n:]
			s.sent(n)
			if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
				s.fail(budget.CallerUnread)
				return
			}
		}
	}
}

// take returns what waits to be sent; nil at the end, when the connection is closed if
// that was asked for.
func (s *spool) take() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := s.data
	s.data = nil
	if data != nil {
		return data
	}
	s.running = false
	_ = s.conn.Conn.SetWriteDeadline(time.Time{})
	if s.closing {
		_ = s.conn.closeNow()
	}
	return nil
}

// sent returns the charge of n bytes that the caller has got.
func (s *spool) sent(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return
	}
	s.size -= n
	s.conn.listener.releaseSpool(n)
	select {
	case s.room <- struct{}{}:
	default:
	}
}

// fail resets the connection and returns the charge of what is left.
func (s *spool) fail(reason budget.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed {
		return
	}
	s.conn.listener.shortages.Report(reason)
	if tcp, isTCP := s.conn.Conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(lingerReset)
	}
	_ = s.conn.closeNow()
	s.conn.listener.releaseSpool(s.size)
	s.data, s.size = nil, 0
	s.failed, s.running = true, false
}

// reserveSpool charges n bytes for a spool, and reports whether there is room.
func (l *boundedListener) reserveSpool(n int) bool {
	limit := int64(hostSpoolBytes)
	if l.account != nil {
		limit = min(limit, l.account.Limit()/spoolDivisor)
	}
	if l.spooled.Add(int64(n)) <= limit && l.account.Reserve(int64(n)) {
		return true
	}
	l.spooled.Add(int64(-n))
	return false
}

// releaseSpool returns the charge of n bytes of a spool.
func (l *boundedListener) releaseSpool(n int) {
	l.spooled.Add(int64(-n))
	l.account.Add(int64(-n))
}
