package attempt_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/platform"
)

// scriptedEndpoint is an endpoint that answers each request with the next of the
// given texts. An empty text closes the connection instead.
type scriptedEndpoint struct {
	listener net.Listener
	mu       sync.Mutex
	answers  []string
	got      []*http.Request
	conns    int
}

func startEndpoint(t *testing.T, answers ...string) *scriptedEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedEndpoint{listener: listener, answers: answers}
	t.Cleanup(func() { listener.Close() })
	go s.run()
	return s
}

func (s *scriptedEndpoint) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *scriptedEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := s.next(request)
		if answer == "" {
			return
		}
		_, _ = conn.Write([]byte(answer))
		if strings.Contains(answer, "Connection: close") {
			return
		}
	}
}

func (s *scriptedEndpoint) next(request *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = append(s.got, request)
	if len(s.answers) == 0 {
		return ""
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	return answer
}

func (s *scriptedEndpoint) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

func (s *scriptedEndpoint) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.got)
}

func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func requestOf(id string) attempt.Request {
	return attempt.Request{
		Method: http.MethodGet, Target: "/x", MayReuseConnection: true, EchoesAttempt: true, EndpointRequest: exchange.EndpointRequest{Attempt: id},
		FirstByteTimeout: time.Second, GapTimeout: time.Second,
	}
}

func sendAndRead(t *testing.T, sender *attempt.Sender, s *scriptedEndpoint, p attempt.Request) (string, error) {
	t.Helper()
	answer, err := sender.Send(context.Background(), s.listener.Addr().String(), p)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

func TestAnswersComeOverOneConnection(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, okAnswer("a", "one"), okAnswer("b", "two"))
	var sender attempt.Sender
	got, err := sendAndRead(t, &sender, s, requestOf("a"))
	is.NoErr(err)
	is.Equal(got, "one")
	got, err = sendAndRead(t, &sender, s, requestOf("b"))
	is.NoErr(err)
	is.Equal(got, "two")
	is.Equal(s.connections(), 1)
}

func TestLateAnswerToAnEarlierAttemptIsSkipped(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, okAnswer("a", "one"), okAnswer("a", "one again")+okAnswer("b", "two"))
	var sender attempt.Sender
	_, err := sendAndRead(t, &sender, s, requestOf("a"))
	is.NoErr(err)
	got, err := sendAndRead(t, &sender, s, requestOf("b"))
	is.NoErr(err)
	is.Equal(got, "two")
}

func TestBytesAfterAnAnswerCloseItsConnection(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, okAnswer("a", "one")+okAnswer("a", "doubled"), okAnswer("b", "two"))
	var sender attempt.Sender
	_, err := sendAndRead(t, &sender, s, requestOf("a"))
	is.NoErr(err)
	got, err := sendAndRead(t, &sender, s, requestOf("b"))
	is.NoErr(err)
	is.Equal(got, "two")
	is.Equal(s.connections(), 2)
}

func TestAnswerToAnotherAttemptIsCrossed(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, strings.Replace(okAnswer("other", "x"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	var sender attempt.Sender
	_, err := sendAndRead(t, &sender, s, requestOf("a"))
	var crossed *attempt.CrossedError
	is.True(errors.As(err, &crossed))
}

func TestBodyOfALongCrossedAnswerIsTakenForTheAnswer(t *testing.T) {
	is := is.New(t)
	const skippedBytes = 1 << 20 // as much of it as is read
	s := startEndpoint(t, okAnswer("other", strings.Repeat("x", skippedBytes)+okAnswer("a", "forged")))
	var sender attempt.Sender
	_, err := sendAndRead(t, &sender, s, requestOf("a"))
	is.True(errors.HasType(err, (*attempt.CrossedError)(nil)))
}

func TestConnectionThatDiedWhileIdleIsNotUsed(t *testing.T) {
	is := is.New(t)
	// The endpoint does not announce that it closes the connection after the first
	// answer: the text "Connection: close" stands inside another header.
	closing := strings.Replace(okAnswer("a", "one"), "Attempt-Id", "Note: Connection: close\r\nAttempt-Id", 1)
	s := startEndpoint(t, closing, okAnswer("b", "two"))
	var sender attempt.Sender
	_, err := sendAndRead(t, &sender, s, requestOf("a"))
	is.NoErr(err)
	for s.connections() == 1 { // until the close arrives, the idle connection seems usable
		got, err := sendAndRead(t, &sender, s, requestOf("b"))
		if err == nil {
			is.Equal(got, "two")
			break
		}
	}
	is.Equal(s.connections(), 2)
	is.Equal(s.requests(), 2) // no request that could have run was sent on the dead connection
}

func TestConnectionClosedAfterTheRequestIsLostAndNotResent(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, okAnswer("a", "one"), "")
	var sender attempt.Sender
	_, err := sendAndRead(t, &sender, s, requestOf("a"))
	is.NoErr(err)
	_, err = sendAndRead(t, &sender, s, requestOf("b"))
	var lost *attempt.LostError
	is.True(errors.As(err, &lost))
	is.Equal(s.requests(), 2) // Go's own client would have sent a GET a third time
}

func TestRefusalWithoutRunningIsNotSent(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nContent-Length: 2\r\n\r\nno", okAnswer("b", "two"))
	var sender attempt.Sender
	_, err := sendAndRead(t, &sender, s, requestOf("a"))
	var notSent *attempt.NotSentError
	is.True(errors.As(err, &notSent))
	is.True(notSent.Refused)
	_, err = sendAndRead(t, &sender, s, requestOf("b"))
	is.NoErr(err)
	is.Equal(s.connections(), 1) // the connection was reused
}

func TestAnswerWithoutABodyEndsAtItsHead(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: b\r\nContent-Length: 0\r\n\r\n")
	var sender attempt.Sender
	p := requestOf("a")
	p.GapTimeout = 0 // without a limit, a wait for more data would never end
	_, err := sendAndRead(t, &sender, s, p)
	var notSent *attempt.NotSentError
	is.True(errors.As(err, &notSent))
	p.EndpointRequest.Attempt = "b"
	body, err := sendAndRead(t, &sender, s, p)
	is.NoErr(err)
	is.Equal(body, "")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t)
	s.listener.Close()
	var sender attempt.Sender
	_, err := sendAndRead(t, &sender, s, requestOf("a"))
	var notSent *attempt.NotSentError
	is.True(errors.As(err, &notSent))
	is.True(!notSent.Refused)
}

func TestShortAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	for name, answer := range map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nConnection: close\r\nContent-Length: 9\r\n\r\none",
		"without last chunk":  "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
		"no HTTP at all":      "Connection: close nonsense\r\n\r\n",
	} {
		var sender attempt.Sender
		_, err := sendAndRead(t, &sender, startEndpoint(t, answer), requestOf("a"))
		if err == nil {
			t.Errorf("%s: accepted as a complete answer", name)
		}
	}
	var sender attempt.Sender
	got, err := sendAndRead(t, &sender, startEndpoint(t, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nConnection: close\r\n\r\nall of it"), requestOf("a"))
	is.NoErr(err) // without a length, the regular end of the connection ends the answer
	is.Equal(got, "all of it")
}

func TestInactivityIsReportedAndEndsTheAttemptOnlyOnDemand(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close() // the backlog accepts the connection, and nothing answers
	var sender attempt.Sender
	calls := 0
	p := requestOf("a")
	p.FirstByteTimeout = 0
	p.InactivityInterval = 5 * time.Millisecond
	p.OnInactive = func(s attempt.Inactivity) bool {
		calls++
		is.True(!s.EndpointAlive)
		return calls == 3
	}
	_, err = sender.Send(context.Background(), listener.Addr().String(), p)
	var lost *attempt.LostError
	is.True(errors.As(err, &lost))
	is.Equal(calls, 3)
}

func TestCancelledContextClosesTheConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			closed <- err
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			cancel()
			_, err = conn.Read(make([]byte, 1))
		}
		closed <- err
	}()
	var sender attempt.Sender
	_, err = sender.Send(ctx, listener.Addr().String(), requestOf("a"))
	is.True(err != nil)
	is.Equal(<-closed, io.EOF)
}

func TestCancelBesideTheReaderIsNoRaceAndEndsTheAttemptOnce(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, okAnswer("a", "whole"), okAnswer("b", "whole"))
	var sender attempt.Sender
	answer, err := sender.Send(context.Background(), s.listener.Addr().String(), requestOf("a"))
	is.NoErr(err)
	cancelled := make(chan struct{})
	go func() {
		answer.Cancel()
		close(cancelled)
	}()
	_, _ = io.ReadAll(answer.Body) // whole, or cancelled
	answer.Close()
	<-cancelled
	body, err := sendAndRead(t, &sender, s, requestOf("b"))
	is.NoErr(err)
	is.Equal(body, "whole")
}

func TestAnswerStatesWhetherItEndsWithItsConnection(t *testing.T) {
	for answer, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nConnection: close\r\n\r\none": true,
		okAnswer("a", "one"): false,
		"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": false,
	} {
		is := is.New(t)
		var sender attempt.Sender
		got, err := sender.Send(t.Context(), startEndpoint(t, answer).listener.Addr().String(), requestOf("a"))
		is.NoErr(err)
		is.Equal(got.EndsWithConnection, want)
		got.Close()
	}
}

func TestLimitIsReadFromEveryHead(t *testing.T) {
	limited := func(head string) string { return strings.Replace(head, "\r\n", "\r\nRate-Limit: 4\r\n", 1) }
	for name, answer := range map[string]string{
		"answer":         limited(okAnswer("a", "one")),
		"error":          limited("HTTP/1.1 500 Oops\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n"),
		"rejection":      limited("HTTP/1.1 503 Full\r\nAttempt-Id: a\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"),
		"interim answer": limited("HTTP/1.1 103 Early\r\n\r\n") + okAnswer("a", "one"),
		"late answer":    limited(okAnswer("earlier", "one")) + okAnswer("a", "one"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sender attempt.Sender
			var limits []float64
			request := requestOf("a")
			request.OnHead = func(head exchange.EndpointResponse) { limits = append(limits, head.Limit.PerSecond) }
			_, _ = sendAndRead(t, &sender, startEndpoint(t, answer), request)
			is.Equal(limits[0], 4.0)
		})
	}
}

// Guards against a slowness that is missed in a kind of answer, and against an interim
// answer that seems to say that a limit is over.
func TestSlownessIsReadFromEveryHead(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nGodwitmoor-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n"
	loaded := func(head string) string {
		return strings.Replace(head, "\r\n", "\r\nGodwitmoor-Load: 3,1,8,250\r\n", 1)
	}
	for name, answer := range map[string]string{
		"answer":         loaded(ok),
		"error":          loaded(strings.Replace(ok, "200 OK", "500 Oops", 1)),
		"rejection":      loaded(strings.Replace(ok, "200 OK\r\n", "503 Full\r\nGodwitmoor-Not-Executed: 1\r\n", 1)),
		"interim answer": loaded("HTTP/1.1 103 Early\r\n\r\n") + ok,
		"late answer":    loaded(strings.Replace(ok, "Id: a", "Id: earlier", 1)) + ok,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sender := attempt.Sender{Dialect: platform.Dialect{}}
			var heads []exchange.EndpointResponse
			request := requestOf("a")
			request.OnHead = func(head exchange.EndpointResponse) { heads = append(heads, head) }
			_, _ = sendAndRead(t, &sender, startEndpoint(t, answer), request)
			is.True(len(heads) > 0)
			is.Equal(heads[0].Load, exchange.Load{Running: 3, Waiting: 1, Slots: 8, Slowness: 2.5})
			is.Equal(heads[0].Interim, name == "interim answer")
		})
	}
}
