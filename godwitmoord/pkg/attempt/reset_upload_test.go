package attempt_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/attempt"
)

const (
	// longUploadBytes does not fit the buffers of a connection, so that it is still
	// being written while its endpoint does not read it. bufferedUploadBytes fits
	// them, and inlineUploadBytes is written before the answer is read.
	longUploadBytes     = 8 << 20
	bufferedUploadBytes = 32 << 10
	inlineUploadBytes   = 2 << 10
	// resetRounds is how often each timing is played: which of reader and writer of a
	// connection learns of its reset differs from time to time.
	resetRounds = 8
	// settlePause is how long an endpoint leaves the other side to read or write.
	settlePause = 3 * time.Millisecond
)

// The ways in which a resettingEndpoint ends a connection.
type ending uint8

const (
	resets ending = iota
	closes
	// halfCloses ends its own direction only, and reads nothing of the request's body.
	halfCloses
	// readsThenCloses reads the whole request after the answer, and closes.
	readsThenCloses
)

// resettingEndpoint reads the head of each request, answers with the parts at once and
// ends the connection. The first requests of a connection get kept instead.
type resettingEndpoint struct {
	listener net.Listener
	kept     string
	parts    []string
	ending   ending
}

func startResetting(t *testing.T, e *resettingEndpoint) *resettingEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.listener = listener
	t.Cleanup(func() { listener.Close() })
	go e.run()
	return e
}

func (e *resettingEndpoint) run() {
	acceptEach(e.listener, func(conn net.Conn) {
		go (&resettingConn{endpoint: e, conn: conn.(*net.TCPConn)}).run()
	})
}

// resettingConn is one connection to a resettingEndpoint.
type resettingConn struct {
	endpoint *resettingEndpoint
	conn     *net.TCPConn
}

func (c *resettingConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	request, err := http.ReadRequest(reader)
	if err == nil && c.endpoint.kept != "" {
		_, _ = io.WriteString(c.conn, c.endpoint.kept)
		request, err = http.ReadRequest(reader)
	}
	if err != nil {
		return
	}
	time.Sleep(settlePause)
	for _, part := range c.endpoint.parts {
		_, _ = io.WriteString(c.conn, part)
		time.Sleep(settlePause)
	}
	switch c.endpoint.ending {
	case resets:
		_ = c.conn.SetLinger(0)
	case closes:
	case halfCloses:
		_ = c.conn.CloseWrite()
		time.Sleep(time.Second)
	case readsThenCloses:
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// upload sends a request with a body and returns the answer's body.
func (e *resettingEndpoint) upload(sender *attempt.Sender, bytes int) (string, error) {
	p := requestOf("a")
	p.Method, p.Body, p.RunsOnce = http.MethodPost, make([]byte, bytes), true
	answer, err := sender.Send(context.Background(), e.listener.Addr().String(), p)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

const (
	untilCloseHead  = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n"
	untilCloseKept  = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nConnection: keep-alive\r\n\r\n"
	untilCloseEvent = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Type: text/event-stream\r\n\r\n"
	lengthHead      = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 40\r\n\r\n"
	chunkedHead     = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	interimHead     = "HTTP/1.1 102 Processing\r\n\r\n"
)

// resetTimings are the parts of an answer after which the connection ends.
var resetTimings = map[string][]string{
	"before the head":         nil,
	"after an interim answer": {interimHead},
	"in the status line":      {untilCloseHead[:12]},
	"in the head":             {untilCloseHead[:24]},
	"in a late head":          {untilCloseHead[:12], untilCloseHead[12:30]},
	"before the body":         {untilCloseHead},
	"in the body":             {untilCloseHead + "the first part"},
	"later in the body":       {untilCloseHead, "the first part", " and another"},
	"behind interim answers":  {interimHead, interimHead + untilCloseHead + "the first part"},
	"with keep-alive":         {untilCloseKept + "the first part"},
	"in a stream":             {untilCloseEvent + "id: 1\ndata: one\n\n", "id: 2\n"},
	"at the end of a stream":  {untilCloseEvent + "id: 1\ndata: one\n\n"},
	"in a stated length":      {lengthHead + "the first part"},
	"in a chunk":              {chunkedHead + "e\r\nthe first"},
	"between chunks":          {chunkedHead + "e\r\nthe first part\r\n"},
}

// Guards against a part of an answer that is taken as whole: the goroutine that writes the
// request learns of the reset, and the one that reads the answer then sees its end.
func TestAnswerThatIsResetDuringALongUploadIsNotWhole(t *testing.T) {
	for _, end := range []ending{resets, closes, halfCloses} {
		for name, parts := range resetTimings {
			t.Run(name, func(t *testing.T) {
				e := startResetting(t, &resettingEndpoint{parts: parts, ending: end})
				rounds := resetRounds
				if end == halfCloses {
					rounds = 1
				}
				whole := 0
				for range rounds {
					if _, err := e.upload(&attempt.Sender{}, longUploadBytes); err == nil {
						whole++
					}
				}
				if whole > 0 {
					t.Errorf("taken as whole %d times in %d, ending %d", whole, rounds, end)
				}
			})
		}
	}
}

// Guards against the same for a request that was written before the reset.
func TestAnswerThatIsResetAfterAShortUploadIsNotWhole(t *testing.T) {
	for _, bytes := range []int{bufferedUploadBytes, inlineUploadBytes, 0} {
		for name, parts := range resetTimings {
			t.Run(name, func(t *testing.T) {
				e := startResetting(t, &resettingEndpoint{parts: parts, ending: resets})
				for range resetRounds {
					if _, err := e.upload(&attempt.Sender{}, bytes); err == nil {
						t.Fatal("taken as whole")
					}
				}
			})
		}
	}
}

// Guards against the same on a connection that carried another request before.
func TestAnswerThatIsResetDuringALongUploadOnAKeptConnectionIsNotWhole(t *testing.T) {
	for name, parts := range resetTimings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startResetting(t, &resettingEndpoint{kept: okAnswer("a", "one"), parts: parts, ending: resets})
			for range resetRounds {
				sender := &attempt.Sender{}
				first, err := e.upload(sender, 0)
				is.NoErr(err)
				is.Equal(first, "one")
				if _, err := e.upload(sender, longUploadBytes); err == nil {
					t.Fatal("taken as whole")
				}
			}
		})
	}
}

// Guards against the loss of answers that are whole although they came before the end of
// the upload.
func TestEarlyAnswerIsWholeOnceTheUploadIsWritten(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{untilCloseHead, untilCloseKept} {
		for _, bytes := range []int{0, inlineUploadBytes, bufferedUploadBytes, longUploadBytes} {
			e := startResetting(t, &resettingEndpoint{parts: []string{head + "the whole"}, ending: readsThenCloses})
			got, err := e.upload(&attempt.Sender{}, bytes)
			is.NoErr(err)
			is.Equal(got, "the whole")
		}
	}
}

// Guards against the loss of an early answer whose end is stated and which arrived whole
// before its endpoint closed the connection unread.
func TestEarlyAnswerOfStatedLengthIsWholeWithoutTheUpload(t *testing.T) {
	is := is.New(t)
	text := "HTTP/1.1 413 Too Large\r\nAttempt-Id: a\r\nConnection: close\r\nContent-Length: 8\r\n\r\ntoo long"
	e := startResetting(t, &resettingEndpoint{parts: []string{text}, ending: halfCloses})
	got, err := e.upload(&attempt.Sender{}, longUploadBytes)
	is.NoErr(err)
	is.Equal(got, "too long")
}

// Guards against a reset that is reported as a request that did not run.
func TestResetDuringALongUploadLeavesOpenWhetherTheRequestRan(t *testing.T) {
	is := is.New(t)
	e := startResetting(t, &resettingEndpoint{parts: []string{untilCloseHead[:12]}, ending: resets})
	_, err := e.upload(&attempt.Sender{}, longUploadBytes)
	is.True(errors.HasType(err, (*attempt.LostError)(nil)))
}
