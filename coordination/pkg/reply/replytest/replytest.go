// Package replytest serves HTTP responses that never end, for tests of clients.
//
// # Usage
//
//	for _, e := range replytest.Endless(`{"Items":[]}`) {
//		server := e.Start(t, 0)
//		… // call server.URL
//		server.AwaitClosed(t)
//	}
package replytest

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// maxSent ends the response to a client that reads without a limit.
	maxSent      = 64 << 20
	pieceBytes   = 1 << 10
	closeTimeout = 5 * time.Second
)

// Response is one kind of response without an end: a first part, followed by a
// part that is repeated.
type Response struct {
	Name string
	// Header is true if the header has no end, false if the body has none.
	Header bool

	first, repeated string
}

// Endless returns all kinds of responses without an end. Their bodies begin with
// body, a complete reply.
func Endless(body string) []Response {
	const status = "HTTP/1.1 200 OK\r\n"
	const chunked = status + "Transfer-Encoding: chunked\r\n\r\n"
	filler := strings.Repeat("a", pieceBytes)
	space := strings.Repeat(" ", pieceBytes)
	firstChunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	return []Response{
		{"header fields", true, status, "X-Filler: " + filler + "\r\n"},
		{"header line", true, status + "X-Filler: ", filler},
		{"interim responses", true, "", "HTTP/1.1 103 Early Hints\r\nX-Filler: " + filler + "\r\n\r\n"},
		{"body", false, status + "\r\n" + body, space},
		{"chunks", false, chunked + firstChunk, fmt.Sprintf("%x\r\n%s\r\n", len(space), space)},
		{"chunk extension", false, chunked + firstChunk + "1;", filler},
		{"trailer", false, chunked + firstChunk + "0\r\n", "X-Filler: " + filler + "\r\n"},
	}
}

// Server sends one Response on each of its connections.
type Server struct {
	URL, Address string

	response Response
	pause    time.Duration
	listener net.Listener
	open     atomic.Int64
}

// Start starts a server that waits for pause between the repeated parts of the
// response.
func (r Response) Start(t testing.TB, pause time.Duration) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	address := listener.Addr().String()
	s := &Server{URL: "http://" + address, Address: address, response: r, pause: pause, listener: listener}
	go s.run()
	return s
}

func (s *Server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.open.Add(1)
		c := &connection{server: s, conn: conn}
		go c.run()
	}
}

// connection is one accepted connection of a server.
type connection struct {
	server *Server
	conn   net.Conn
}

func (c *connection) run() {
	defer c.server.open.Add(-1)
	defer func() { _ = c.conn.Close() }()
	request := make([]byte, pieceBytes)
	if _, err := c.conn.Read(request); err != nil {
		return
	}
	next := []byte(c.server.response.first)
	repeated := []byte(c.server.response.repeated)
	for sent := 0; sent < maxSent; next = repeated {
		n, err := c.conn.Write(next)
		if err != nil {
			return
		}
		sent += n
		time.Sleep(c.server.pause)
	}
}

// AwaitClosed waits until the clients have closed all connections.
func (s *Server) AwaitClosed(t testing.TB) {
	t.Helper()
	for end := time.Now().Add(closeTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.open.Load() == 0 {
			return
		}
	}
	t.Errorf("%s: %d connections are still open", s.response.Name, s.open.Load())
}

// Allocated returns how many bytes the process allocated during call, freed ones
// included.
func Allocated(call func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc - before.TotalAlloc)
}
