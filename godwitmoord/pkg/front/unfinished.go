package front

import (
	"context"
	"net"
	"net/http"
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
	conn := r.Context().Value(connectionKey{})
	if bounded, isBounded := conn.(*callerConn); isBounded {
		// What is spooled at the end of the process would be missing without a sign.
		bounded.spools.Store(false)
		conn = bounded.Conn
	}
	c, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return func() {}
	}
	// An error means that the connection is closed already.
	_ = c.SetLinger(lingerReset)
	return func() { _ = c.SetLinger(lingerDefault) }
}
