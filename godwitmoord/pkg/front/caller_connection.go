package front

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"godwitmoor.example/godwitmoord/pkg/budget"
)

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	listener *boundedListener
	// phase is its budget.ConnectionPhase, phaseStart when that began, in Unix
	// nanoseconds.
	phase      atomic.Int32
	phaseStart atomic.Int64
	closeOnce  sync.Once
	head       headReader
	// received is the number of bytes of the head or the body that is being received, and
	// lastByte the time of the last byte of a body, in Unix nanoseconds.
	received, lastByte atomic.Int64
	// leaving is set once the request is displaced. The listener's lock guards it.
	leaving bool
	// spools is set while what the caller doesn't read in time may be spooled.
	spools atomic.Bool
	// raw and tryFunc serve tryWrite, which passes data and result in trying and tried.
	raw     syscall.RawConn
	tryFunc func(fd uintptr) bool
	trying  []byte
	tried   int
	spool   spool

	mu sync.Mutex
	// headBytes is what is charged for the head of the current request, and closed is set
	// once nothing may be.
	headBytes int64
	closed    bool
}

func newCallerConn(l *boundedListener, accepted net.Conn) *callerConn {
	c := &callerConn{Conn: accepted, listener: l}
	c.setPhase(budget.Opened)
	c.head.conn = c
	c.head.begin()
	if tcp, isTCP := accepted.(*net.TCPConn); isTCP && l.spools {
		raw, err := tcp.SyscallConn()
		c.raw, c.tryFunc = raw, c.try
		c.spools.Store(err == nil)
		c.spool.conn, c.spool.room = c, make(chan struct{}, 1)
	}
	return c
}

func (c *callerConn) setPhase(phase budget.ConnectionPhase) {
	c.phaseStart.Store(time.Now().UnixNano())
	c.phase.Store(int32(phase))
}

// state returns the connection as the decision sees it.
func (c *callerConn) state(now time.Time) budget.Connection {
	return budget.Connection{
		Phase: budget.ConnectionPhase(c.phase.Load()), Age: now.Sub(time.Unix(0, c.phaseStart.Load())),
		Received: c.received.Load(), Stalled: now.Sub(time.Unix(0, c.lastByte.Load())) >= budget.StallTime,
	}
}

// Read returns bytes that the caller sent. While memory is bounded, the head of a
// request is returned once it is complete.
func (c *callerConn) Read(into []byte) (int, error) {
	if c.listener.account == nil {
		return c.Conn.Read(into)
	}
	return c.head.Read(into)
}

// headStarted records that a part of a head has arrived. On a connection that was idle,
// the server notices only the whole head, so its time begins here.
func (c *callerConn) headStarted(n int) {
	c.received.Store(int64(n))
	if budget.ConnectionPhase(c.phase.Load()) != budget.Idle {
		return
	}
	c.setPhase(budget.Opened)
	_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
}

// chargeHead makes n bytes the charge for the head of the current request, and reports
// whether there is room for them.
func (c *callerConn) chargeHead(n int64) bool {
	if n == 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	more := n - c.headBytes
	if more <= 0 {
		return true
	}
	if c.closed || !c.listener.account.ReserveLarge(more) {
		c.listener.shortages.Report(budget.HeadWithoutRoom)
		return false
	}
	c.headBytes = n
	return true
}

// releaseHead returns the charge for the head. If the connection is closed, there are no
// more charges.
func (c *callerConn) releaseHead(closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.account.Add(-c.headBytes)
	c.headBytes, c.closed = 0, c.closed || closed
}

// refuseHead answers a request whose head was not passed on.
func (c *callerConn) refuseHead() {
	// The refusal must not get between the parts of an answer.
	if c.spool.isRunning() {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(headRefusalTime))
	_, _ = io.WriteString(c.Conn, headRefusal)
}

// beginBody records that the body of a request is being received. Until endBody the
// request may be displaced. A nil connection is not bounded.
func (c *callerConn) beginBody(now time.Time) {
	if c == nil {
		return
	}
	c.received.Store(0)
	c.lastByte.Store(now.UnixNano())
	c.setPhase(budget.Receiving)
}

// progressed records that n bytes of the body arrived.
func (c *callerConn) progressed(n int, now time.Time) {
	if c == nil {
		return
	}
	c.received.Add(int64(n))
	c.lastByte.Store(now.UnixNano())
}

// endBody records that the body is received or given up, and reports whether the request
// was not displaced.
func (c *callerConn) endBody() bool {
	if c == nil {
		return true
	}
	c.phase.CompareAndSwap(int32(budget.Receiving), int32(budget.Serving))
	return !c.isDisplaced()
}

// isDisplaced reports whether the request was displaced by a new connection.
func (c *callerConn) isDisplaced() bool {
	return c != nil && budget.ConnectionPhase(c.phase.Load()) == budget.Leaving
}

// displace makes the read of the body end, and the request be refused. It reports whether
// the request could still be displaced, and the connections that are leaving are few.
func (c *callerConn) displace() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isOpen := l.open[c]
	if !isOpen || l.leaving >= l.maxLeaving() || !c.phase.CompareAndSwap(int32(budget.Receiving), int32(budget.Leaving)) {
		return false
	}
	c.leaving = true
	l.leaving++
	_ = c.SetReadDeadline(time.Unix(0, 1))
	return true
}

// recordPhase records what a connection does. It is called by the HTTP server.
func recordPhase(conn net.Conn, state http.ConnState) {
	c, isCaller := conn.(*callerConn)
	if !isCaller {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(budget.Serving)
		c.head.end()
	case http.StateIdle:
		c.setPhase(budget.Idle)
		c.releaseHead(false)
		c.head.begin()
	}
}

// Close closes the connection once what is spooled for it is sent.
func (c *callerConn) Close() error {
	if c.spool.closeLater() {
		return nil
	}
	return c.closeNow()
}

func (c *callerConn) closeNow() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.releaseHead(true)
		c.listener.release(c)
	})
	return err
}

// CloseWrite ends the answers of the connection. What is spooled ends with Close.
func (c *callerConn) CloseWrite() error {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP || c.spool.isRunning() {
		return nil
	}
	return tcp.CloseWrite()
}
