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
	"weak"

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
	// A dripping endpoint sends dripBytes every dripPause.
	dripBytes = 3
	dripPause = 5 * time.Millisecond
	// abandonAfter is how long an attempt may wait for data before it is abandoned.
	abandonAfter = 100 * time.Millisecond
	// deadlineAfter is the time of a request that no other endpoint may serve, and
	// the bound of every other request here.
	deadlineAfter = 300 * time.Millisecond
	testTimeout   = 1200 * time.Millisecond
	// mutePath is the path of requests that an endpoint does not answer at all.
	mutePath = "/mute"
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
	drips    bool
	// closed receives how long after the request each connection was closed.
	closed chan time.Duration
}

func startEndless(t *testing.T, answer endlessAnswer, drips bool) *endlessEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endlessEndpoint{listener: listener, answer: answer, drips: drips, closed: make(chan time.Duration, 64)}
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
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	start := time.Now()
	if request.URL.Path != mutePath {
		go e.write(conn)
	}
	_, _ = reader.ReadByte()
	e.closed <- time.Since(start)
}

// write sends the answer until the connection is closed.
func (e *endlessEndpoint) write(conn net.Conn) {
	_, err := io.WriteString(conn, e.answer.start)
	for at := 0; err == nil; {
		if !e.drips {
			_, err = conn.Write(e.answer.block)
			continue
		}
		time.Sleep(dripPause)
		end := min(at+dripBytes, len(e.answer.block))
		_, err = conn.Write(e.answer.block[at:end])
		at = end % len(e.answer.block)
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

// movableRequest is a request that is abandoned after abandonAfter without data.
func movableRequest() attempt.Request {
	p := keylessRequest()
	p.InactivityInterval = 20 * time.Millisecond
	p.OnInactive = func(s attempt.Inactivity) bool { return s.Duration >= abandonAfter }
	return p
}

// sendAndDiscard sends p, reads the answer to its end without keeping it and
// returns the error of the first step that fails.
func sendAndDiscard(sender *attempt.Sender, address string, p attempt.Request, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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
			e := startEndless(t, a, false)
			var sender attempt.Sender
			var err error
			checkAllocated(t, maxAllocatedBytes, func() {
				err = sendAndDiscard(&sender, e.address(), keylessRequest(), testTimeout)
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
		endpoints = append(endpoints, startEndless(t, answers[i%len(answers)], false))
	}
	var sender attempt.Sender
	checkAllocated(t, connections*maxAllocatedBytes, func() {
		var attempts sync.WaitGroup
		for _, e := range endpoints {
			attempts.Go(func() {
				if err := sendAndDiscard(&sender, e.address(), keylessRequest(), testTimeout); err == nil {
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

func TestDrippingHeadHoldsARequestThatMayMove(t *testing.T) {
	for _, a := range endlessHeads() {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startEndless(t, a, true)
			var sender attempt.Sender
			start := time.Now()
			is.True(isLost(sendAndDiscard(&sender, e.address(), movableRequest(), testTimeout)))
			is.True(time.Since(start) >= abandonAfter)
			e.checkClosed(t, abandonAfter+slack)
		})
	}
}

func TestDrippingHeadOutlastsTheFirstByteTimeout(t *testing.T) {
	for _, a := range endlessHeads() {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startEndless(t, a, true)
			var sender attempt.Sender
			p := keylessRequest()
			p.FirstByteTimeout = abandonAfter
			start := time.Now()
			is.True(isLost(sendAndDiscard(&sender, e.address(), p, testTimeout)))
			is.True(time.Since(start) >= abandonAfter)
			e.checkClosed(t, abandonAfter+slack)
		})
	}
}

func TestDrippingAnswerThatMayNotMoveIsNotAwaited(t *testing.T) {
	for _, a := range append(endlessHeads(), endlessChunkFraming()...) {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startEndless(t, a, true)
			var sender attempt.Sender
			var waits []time.Duration
			p := movableRequest()
			p.OnInactive = func(s attempt.Inactivity) bool {
				waits = append(waits, s.Duration)
				return false
			}
			start := time.Now()
			err := sendAndDiscard(&sender, e.address(), p, deadlineAfter)
			is.True(errors.Is(err, net.ErrClosed))
			is.True(time.Since(start) >= deadlineAfter)
			e.checkClosed(t, deadlineAfter+slack)
			is.True(len(waits) > 2) // the owner is told that no data arrives
			is.True(waits[len(waits)-1] > abandonAfter)
		})
	}
}

func TestDrippingHeadMakesItsEndpointLookAlive(t *testing.T) {
	is := is.New(t)
	e := startEndless(t, endlessHeads()[4], true)
	var sender attempt.Sender
	var attempts sync.WaitGroup
	attempts.Go(func() { _ = sendAndDiscard(&sender, e.address(), keylessRequest(), deadlineAfter) })
	alive := false
	p := movableRequest()
	p.Target = mutePath
	p.OnInactive = func(s attempt.Inactivity) bool {
		alive = alive || s.EndpointAlive
		return s.Duration >= abandonAfter
	}
	is.True(isLost(sendAndDiscard(&sender, e.address(), p, testTimeout)))
	attempts.Wait()
	is.True(!alive)
}

// monitoredRequest is a request whose OnInactive refers to the returned value.
func monitoredRequest() (attempt.Request, weak.Pointer[[1 << 10]byte]) {
	monitor := new([1 << 10]byte)
	p := movableRequest()
	p.OnInactive = func(attempt.Inactivity) bool { return monitor[0] == 1 }
	return p, weak.Make(monitor)
}

func TestIdleConnectionKeepsItsLastRequestInMemory(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, okAnswer("a", "one"), okAnswer("b", "two"))
	var sender attempt.Sender
	p, monitor := monitoredRequest()
	_, err := sendAndRead(t, &sender, s, p)
	is.NoErr(err)
	p = requestOf("b")
	runtime.GC()
	is.True(monitor.Value() == nil)
	_, err = sendAndRead(t, &sender, s, p)
	is.NoErr(err)
	is.Equal(s.connections(), 1) // the connection was idle
}

func TestChunkFramingWithoutEndFillsTheHeap(t *testing.T) {
	for _, a := range endlessChunkFraming() {
		t.Run(a.name, func(t *testing.T) {
			is := is.New(t)
			e := startEndless(t, a, false)
			var sender attempt.Sender
			var err error
			checkAllocated(t, maxAllocatedBytes, func() {
				err = sendAndDiscard(&sender, e.address(), keylessRequest(), testTimeout)
			})
			e.checkClosed(t, slack)
			is.True(err != nil)
			is.True(!errors.Is(err, net.ErrClosed)) // net/http refused it before the deadline
		})
	}
}

func TestDrippingChunkFramingHoldsARequestThatMayMove(t *testing.T) {
	for _, a := range endlessChunkFraming() {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startEndless(t, a, true)
			var sender attempt.Sender
			start := time.Now()
			err := sendAndDiscard(&sender, e.address(), movableRequest(), testTimeout)
			is.True(time.Since(start) >= abandonAfter)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), "no data within the time limit"))
			e.checkClosed(t, abandonAfter+slack)
		})
	}
}

func TestDrippingChunkFramingOutlastsTheGapTimeout(t *testing.T) {
	for _, a := range endlessChunkFraming() {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startEndless(t, a, true)
			var sender attempt.Sender
			p := keylessRequest()
			p.GapTimeout = abandonAfter
			start := time.Now()
			is.True(sendAndDiscard(&sender, e.address(), p, testTimeout) != nil)
			is.True(time.Since(start) >= abandonAfter)
			e.checkClosed(t, abandonAfter+slack)
		})
	}
}

// drainTime is how long an attempt may read what it needs only to reuse its
// connection.
const drainTime = 300 * time.Millisecond

func rejectionsWithoutEnd() []endlessAnswer {
	return endlessBodies("HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\n")
}

func crossedAnswersWithoutEnd() []endlessAnswer {
	return endlessBodies("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n")
}

func isRejection(err error) bool {
	var notSent *attempt.NotSentError
	return errors.As(err, &notSent) && notSent.Refused
}

func TestRejectionWithoutEndFillsTheHeap(t *testing.T) {
	for _, a := range rejectionsWithoutEnd() {
		t.Run(a.name, func(t *testing.T) {
			is := is.New(t)
			e := startEndless(t, a, false)
			var sender attempt.Sender
			var err error
			checkAllocated(t, maxAllocatedBytes, func() {
				err = sendAndDiscard(&sender, e.address(), keylessRequest(), testTimeout)
			})
			e.checkClosed(t, drainTime+slack)
			is.True(isRejection(err))
		})
	}
}

func TestDrippingRejectionHoldsTheRequest(t *testing.T) {
	for _, a := range rejectionsWithoutEnd() {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startEndless(t, a, true)
			var sender attempt.Sender
			is.True(isRejection(sendAndDiscard(&sender, e.address(), keylessRequest(), testTimeout)))
			e.checkClosed(t, drainTime+slack)
		})
	}
}

func TestCrossedAnswerWithoutEndFillsTheHeap(t *testing.T) {
	for _, a := range crossedAnswersWithoutEnd() {
		t.Run(a.name, func(t *testing.T) {
			is := is.New(t)
			e := startEndless(t, a, false)
			var sender attempt.Sender
			var err error
			checkAllocated(t, maxAllocatedBytes, func() {
				err = sendAndDiscard(&sender, e.address(), keylessRequest(), testTimeout)
			})
			e.checkClosed(t, drainTime+slack)
			is.True(errors.HasType(err, (*attempt.CrossedError)(nil)))
		})
	}
}

func TestDrippingCrossedAnswerHoldsTheRequest(t *testing.T) {
	for _, a := range crossedAnswersWithoutEnd() {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startEndless(t, a, true)
			var sender attempt.Sender
			err := sendAndDiscard(&sender, e.address(), keylessRequest(), testTimeout)
			is.True(errors.HasType(err, (*attempt.CrossedError)(nil)))
			e.checkClosed(t, drainTime+slack)
		})
	}
}

func TestCrossedAnswersWithoutEndFillTheHeap(t *testing.T) {
	is := is.New(t)
	e := startEndless(t, endlessAnswer{"crossed", "", repeat(okAnswer("other", "no"))}, false)
	var sender attempt.Sender
	var err error
	checkAllocated(t, maxAllocatedBytes, func() {
		err = sendAndDiscard(&sender, e.address(), keylessRequest(), testTimeout)
	})
	e.checkClosed(t, slack)
	is.True(errors.HasType(err, (*attempt.CrossedError)(nil)))
}

func errorAnswersWithoutEnd() []endlessAnswer {
	return endlessBodies("HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a\r\n")
}

// errorBodyLimit and errorBodyTimeout are the limits of an error answer's body.
const (
	errorBodyLimit   = 64 << 10
	errorBodyTimeout = 150 * time.Millisecond
)

// sendAndReadWhole sends p and reads the whole body of its error answer.
func sendAndReadWhole(sender *attempt.Sender, address string, p attempt.Request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := sender.Send(ctx, address, p)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	return answer.ReadWhole(errorBodyLimit, errorBodyTimeout)
}

func TestErrorBodyWithoutEndFillsTheHeap(t *testing.T) {
	for _, a := range errorAnswersWithoutEnd() {
		t.Run(a.name, func(t *testing.T) {
			is := is.New(t)
			e := startEndless(t, a, false)
			var sender attempt.Sender
			var err error
			checkAllocated(t, maxAllocatedBytes, func() {
				_, err = sendAndReadWhole(&sender, e.address(), keylessRequest())
			})
			e.checkClosed(t, errorBodyTimeout+slack)
			is.True(err != nil)
			is.True(!errors.Is(err, net.ErrClosed)) // it failed before the deadline
		})
	}
}

func TestDrippingErrorBodyHoldsTheRequest(t *testing.T) {
	for _, a := range errorAnswersWithoutEnd() {
		t.Run(a.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startEndless(t, a, true)
			var sender attempt.Sender
			_, err := sendAndReadWhole(&sender, e.address(), keylessRequest())
			e.checkClosed(t, errorBodyTimeout+slack)
			var tooSlow *attempt.BodyLimitError
			is.True(errors.As(err, &tooSlow))
			is.Equal(*tooSlow, attempt.BodyLimitError{Address: e.address(), Limit: errorBodyLimit, Timeout: errorBodyTimeout})
		})
	}
}

func TestErrorBodyWithinTheLimitIsLost(t *testing.T) {
	is := is.New(t)
	fits, tooLong := strings.Repeat("e", errorBodyLimit), strings.Repeat("e", errorBodyLimit+1)
	s := startEndpoint(t, okAnswer("a", fits), okAnswer("a", ""), okAnswer("a", tooLong))
	var sender attempt.Sender
	body, err := sendAndReadWhole(&sender, s.listener.Addr().String(), requestOf("a"))
	is.NoErr(err)
	is.Equal(string(body), fits)
	body, err = sendAndReadWhole(&sender, s.listener.Addr().String(), requestOf("a"))
	is.NoErr(err)
	is.Equal(len(body), 0)
	is.Equal(s.connections(), 1) // the connection was reused
	_, err = sendAndReadWhole(&sender, s.listener.Addr().String(), requestOf("a"))
	is.True(errors.HasType(err, (*attempt.BodyLimitError)(nil)))
}
