package attempt_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/attempt"
)

const (
	// maxAllocatedBytes bounds what one attempt may allocate, the test's endpoint
	// included.
	maxAllocatedBytes = 512 << 10
	// headLimit is the longest head that an answer may have, in bytes.
	headLimit = 16 << 10
	// endlessBlockBytes is the size of the text that an endless answer repeats.
	endlessBlockBytes = 64 << 10
	// testTimeout bounds each request.
	testTimeout = 1200 * time.Millisecond
	// slack is how much later than expected an endpoint may see its connection
	// closed on a busy computer.
	slack = 400 * time.Millisecond
)

// endlessAnswer begins with a text and continues with a block that is repeated
// without end.
type endlessAnswer struct {
	name, start string
	block       []byte
}

// repeat returns a block of the numbered texts that format yields.
func repeat(format string) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < endlessBlockBytes; i++ {
		if strings.Contains(format, "%") {
			fmt.Fprintf(&b, format, i)
			continue
		}
		b.WriteString(format)
	}
	return b.Bytes()
}

func endlessHeads() []endlessAnswer {
	return []endlessAnswer{
		{"fields", "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n", repeat("X%x:\r\n")},
		{"one field", "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nLong: ", repeat("a")},
		{"a continued field", "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nLong: a", repeat("\r\n a")},
		{"status line", "HTTP/1.1 200 ", repeat("O")},
		{"interim answers", "", repeat("HTTP/1.1 102 Processing\r\n\r\n")},
		{"interim answers with fields", "", repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")},
	}
}

func endlessBodies(head string) []endlessAnswer {
	return []endlessAnswer{
		{"long body", head + "Content-Length: 1000000000000\r\n\r\n", repeat("a")},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", repeat("3\r\none\r\n")},
		{"one chunk", head + "Transfer-Encoding: chunked\r\n\r\n10000000000\r\n", repeat("a")},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n3;x=", repeat("a")},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n", repeat("X%x: a\r\n")},
		{"body up to the end of the connection", head + "Connection: close\r\n\r\n", repeat("a")},
	}
}

// endlessChunkFraming returns the answers whose body holds three bytes of data and
// then no more.
func endlessChunkFraming() []endlessAnswer {
	return endlessBodies("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n")[3:5]
}

// endlessEndpoint gives every request the same endless answer until its connection
// is closed.
type endlessEndpoint struct {
	listener net.Listener
	answer   endlessAnswer
	// closed receives how long after the request each connection was closed.
	closed chan time.Duration
}

func startEndless(t *testing.T, answer endlessAnswer) *endlessEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endlessEndpoint{listener: listener, answer: answer, closed: make(chan time.Duration, 64)}
	t.Cleanup(func() { listener.Close() })
	go e.run()
	return e
}

func (e *endlessEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *endlessEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	start := time.Now()
	go e.write(conn)
	_, _ = reader.ReadByte()
	e.closed <- time.Since(start)
}

// write sends the answer until the connection is closed.
func (e *endlessEndpoint) write(conn net.Conn) {
	_, err := io.WriteString(conn, e.answer.start)
	for err == nil {
		_, err = conn.Write(e.answer.block)
	}
}

func (e *endlessEndpoint) address() string { return e.listener.Addr().String() }

// checkClosed fails the test unless the endpoint sees its connection closed within
// limit after the request.
func (e *endlessEndpoint) checkClosed(t *testing.T, limit time.Duration) {
	t.Helper()
	select {
	case after := <-e.closed:
		if after > limit {
			t.Errorf("the connection was closed after %v, want at most %v", after, limit)
		}
	case <-time.After(testTimeout):
		t.Errorf("the connection is still open")
	}
}

// checkAllocated calls action and fails the test if it allocates more than limit
// bytes.
func checkAllocated(t *testing.T, limit uint64, action func()) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	action()
	runtime.ReadMemStats(&after)
	if grown := after.TotalAlloc - before.TotalAlloc; grown > limit {
		t.Errorf("%d KiB were allocated, want at most %d KiB", grown>>10, limit>>10)
	}
}

// keylessRequest is a request without time limits of its own, as on the platform.
func keylessRequest() attempt.Request {
	p := requestOf("a")
	p.FirstByteTimeout, p.GapTimeout = 0, 0
	return p
}

// sendAndDiscard sends p, reads the answer to its end without keeping it and
// returns the error of the first step that fails.
func sendAndDiscard(sender *attempt.Sender, address string, p attempt.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := sender.Send(ctx, address, p)
	if err != nil {
		return err
	}
	defer answer.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

func isLost(err error) bool {
	var lost *attempt.LostError
	return errors.As(err, &lost)
}

func TestHeadWithoutEndFillsTheHeap(t *testing.T) {
	for _, a := range endlessHeads() {
		t.Run(a.name, func(t *testing.T) {
			is := is.New(t)
			e := startEndless(t, a)
			var sender attempt.Sender
			var err error
			checkAllocated(t, maxAllocatedBytes, func() {
				err = sendAndDiscard(&sender, e.address(), keylessRequest())
			})
			e.checkClosed(t, slack)
			is.True(isLost(err))
			var tooLong *attempt.HeadTooLongError
			is.True(errors.As(err, &tooLong))
			is.Equal(*tooLong, attempt.HeadTooLongError{Address: e.address(), Limit: headLimit})
		})
	}
}

func TestHeadsWithoutEndAtOnceFillTheHeap(t *testing.T) {
	const connections = 16
	answers := append(endlessHeads(), endlessChunkFraming()...)
	var endpoints []*endlessEndpoint
	for i := range connections {
		endpoints = append(endpoints, startEndless(t, answers[i%len(answers)]))
	}
	var sender attempt.Sender
	checkAllocated(t, connections*maxAllocatedBytes, func() {
		var attempts sync.WaitGroup
		for _, e := range endpoints {
			attempts.Go(func() {
				if err := sendAndDiscard(&sender, e.address(), keylessRequest()); err == nil {
					t.Errorf("%s: accepted as a complete answer", e.answer.name)
				}
			})
		}
		attempts.Wait()
	})
	for _, e := range endpoints {
		e.checkClosed(t, 2*slack)
	}
}

func TestHeadWithinTheLimitIsLost(t *testing.T) {
	is := is.New(t)
	start := "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 9000\r\nLong: "
	end := "\r\n\r\n"
	body := strings.Repeat("b", 9000)
	fits := start + strings.Repeat("a", headLimit-len(start)-len(end)) + end + body
	tooLong := start + strings.Repeat("a", headLimit-len(start)-len(end)+1) + end + body
	var sender attempt.Sender
	got, err := sendAndRead(t, &sender, startEndpoint(t, fits), requestOf("a"))
	is.NoErr(err)
	is.Equal(got, body)
	_, err = sendAndRead(t, &sender, startEndpoint(t, tooLong), requestOf("a"))
	is.True(errors.HasType(err, (*attempt.HeadTooLongError)(nil)))
}

func TestChunkFramingWithoutEndFillsTheHeap(t *testing.T) {
	for _, a := range endlessChunkFraming() {
		t.Run(a.name, func(t *testing.T) {
			is := is.New(t)
			e := startEndless(t, a)
			var sender attempt.Sender
			var err error
			checkAllocated(t, maxAllocatedBytes, func() {
				err = sendAndDiscard(&sender, e.address(), keylessRequest())
			})
			e.checkClosed(t, slack)
			is.True(err != nil)
			is.True(!errors.Is(err, net.ErrClosed)) // net/http refused it before the deadline
		})
	}
}

func TestCrossedAnswersWithoutEndFillTheHeap(t *testing.T) {
	is := is.New(t)
	e := startEndless(t, endlessAnswer{"crossed", "", repeat(okAnswer("other", "no"))})
	var sender attempt.Sender
	var err error
	checkAllocated(t, maxAllocatedBytes, func() {
		err = sendAndDiscard(&sender, e.address(), keylessRequest())
	})
	e.checkClosed(t, slack)
	var crossed *attempt.CrossedError
	is.True(errors.As(err, &crossed))
}
