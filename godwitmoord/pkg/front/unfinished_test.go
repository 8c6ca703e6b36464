package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/release"
)

func TestAnswerCutOffByAServerThatClosesIsNotWholeForAnHTTP10Caller(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &http.Server{ConnContext: withConnection}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		finished := resetUnfinished(r)
		fmt.Fprint(w, "part of an answer")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/cut" {
			<-r.Context().Done()
		}
		finished()
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	whole, err := io.ReadAll(openHTTP10(t, listener.Addr(), "/whole"))
	is.NoErr(err)
	is.Equal(string(whole), "part of an answer")
	cut := openHTTP10(t, listener.Addr(), "/cut")
	is.NoErr(s.Close())
	_, err = io.ReadAll(cut)
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(<-served, http.ErrServerClosed)
}

// openHTTP10 sends a request as an HTTP/1.0 caller, waits for the head of its answer
// and returns the body.
func openHTTP10(t *testing.T, address net.Addr, path string) io.Reader {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address.String())
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.0\r\n\r\n", path)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	t.Cleanup(func() { response.Body.Close() })
	return response.Body
}

// pipeListener accepts one connection.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A caller that sends requests and reads no refusals held its connection for ever.
func TestCallerThatReadsNoRefusalDoesNotKeepItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe() // a pipe has no buffer, as a connection whose buffers are full
		l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		l.conns <- near
		s := New(&common.Common{})
		s.release = &release.Service{}
		server := &http.Server{Handler: http.HandlerFunc(s.serve), ConnContext: withConnection}
		go func() { _ = server.Serve(l) }()
		_, err := fmt.Fprint(far, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		time.Sleep(lastWriteTime + time.Second)
		_, err = far.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.NoErr(server.Close())
	})
}

// An answer that a busy host gives late must not be cut as one that nobody reads, also on
// a connection that is kept.
func TestAnswerThatComesLateIsWritten(t *testing.T) {
	for _, spools := range []bool{false, true} {
		is := is.New(t)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		l := &boundedListener{Listener: inner, spools: spools, open: map[*callerConn]struct{}{}}
		s := &http.Server{ConnContext: withConnection, ConnState: recordPhase}
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			finished := resetUnfinished(r)
			guard := guardUnread(r, time.Now())
			is.True(guard != nil)
			for !guard.wasCut() {
				time.Sleep(time.Millisecond)
			}
			guard.end()
			w.Header().Set("Content-Length", "4")
			fmt.Fprint(w, "late")
			finished()
		})
		go func() { _ = s.Serve(l) }()
		conn, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		reader := bufio.NewReader(conn)
		for range 2 {
			// Of HTTP/1.0, as other answers are spooled and have no guard.
			_, err = fmt.Fprint(conn, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
			is.NoErr(err)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "late")
		}
		conn.Close()
		is.NoErr(s.Close())
	}
}

func (g *unreadGuard) wasCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}
