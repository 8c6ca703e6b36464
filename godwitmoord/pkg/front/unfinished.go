package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Values of net.TCPConn.SetLinger.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// connectionKey is the key of a caller's connection in the contexts of its requests.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// resetUnfinished makes the connection of an HTTP/1.0 caller end with a reset if it
// is closed before the returned function is called, be it by an abort, at the end of
// a stop or with the process. An HTTP/1.0 answer has no chunks: without a
// Content-Length its body ends where the connection is closed in order.
func resetUnfinished(r *http.Request) (finished func()) {
	if r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	if bounded, isBounded := r.Context().Value(connectionKey{}).(*callerConn); isBounded {
		// What is spooled at the end of the process would be missing without a sign.
		bounded.spools.Store(false)
	}
	c := tcpConnection(r)
	if c == nil {
		return func() {}
	}
	// An error means that the connection is closed already.
	_ = c.SetLinger(lingerReset)
	return func() { _ = c.SetLinger(lingerDefault) }
}

// tcpConnection returns the TCP connection of a request; nil if there is none.
func tcpConnection(r *http.Request) *net.TCPConn {
	conn := r.Context().Value(connectionKey{})
	if bounded, isBounded := conn.(*callerConn); isBounded {
		conn = bounded.Conn
	}
	c, _ := conn.(*net.TCPConn)
	return c
}

// unreadGuard ends the writes of an answer when the time of its request is over, so that
// a caller that reads nothing keeps neither its endpoint nor its connection. A nil guard
// does nothing.
type unreadGuard struct {
	conn  *net.TCPConn
	timer *time.Timer

	mu sync.Mutex
	// ended is set once the request has ended, and cut once its writes were ended.
	ended, cut bool
}

// guardUnread ends the writes of a request at a time. Answers that are spooled have bounds
// of their own.
func guardUnread(r *http.Request, at time.Time) *unreadGuard {
	bounded, isBounded := r.Context().Value(connectionKey{}).(*callerConn)
	c := tcpConnection(r)
	if c == nil || (isBounded && bounded.spools.Load()) {
		return nil
	}
	g := &unreadGuard{conn: c}
	g.timer = time.AfterFunc(time.Until(at), g.run)
	return g
}

// run ends the writes. The connection then ends with a reset, so that its answer can't
// look complete.
func (g *unreadGuard) run() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	g.cut = true
	_ = g.conn.SetLinger(lingerReset)
	_ = g.conn.SetWriteDeadline(time.Unix(0, 1))
}

// end ends the guard of a request that has its answer. What is left of that may be
// written, also if it comes late.
func (g *unreadGuard) end() {
	if g.abort() {
		_ = g.conn.SetLinger(lingerDefault)
		_ = g.conn.SetWriteDeadline(time.Time{})
	}
}

// abort ends the guard of a request whose answer is broken off, and reports whether its
// writes were ended.
func (g *unreadGuard) abort() bool {
	if g == nil {
		return false
	}
	g.timer.Stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	return g.cut
}
