package attempt_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"godwitmoor.example/godwitmoord/pkg/attempt"
)

// plainEndpoint answers each request without a body with the same text.
type plainEndpoint struct {
	listener net.Listener
	answer   []byte
}

func (e *plainEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *plainEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > len("\r\n") {
			continue
		}
		if _, err := conn.Write(e.answer); err != nil {
			return
		}
	}
}

func BenchmarkSmallAnswer(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	e := &plainEndpoint{listener: listener, answer: []byte(okAnswer("a", strings.Repeat("x", 1<<10)))}
	go e.run()
	var sender attempt.Sender
	p := requestOf("a")
	b.ReportAllocs()
	for b.Loop() {
		answer, err := sender.Send(context.Background(), listener.Addr().String(), p)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			b.Fatal(err)
		}
		answer.Close()
	}
}
