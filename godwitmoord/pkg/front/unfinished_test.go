package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
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
