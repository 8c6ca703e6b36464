package attempt_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/attempt"
)

// cutHeads are heads of answers in the three framings, to the attempt "a".
var cutHeads = map[string]string{
	"length":     "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Type: text/plain\r\nContent-Length: 40\r\n\r\n",
	"chunks":     "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
	"connection": "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Type: text/plain\r\n\r\n",
}

// answerAndClose accepts connections, answers each with text and closes it.
type answerAndClose struct {
	listener net.Listener
	text     string
}

func (a *answerAndClose) run() {
	acceptEach(a.listener, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, a.text)
		}
		_ = conn.Close()
	})
}

// acceptEach calls handle with each connection until the listener is closed.
func acceptEach(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		handle(conn)
	}
}

func TestAnswerWhoseHeadIsCutIsNotWhole(t *testing.T) {
	for name, head := range cutHeads {
		t.Run(name, func(t *testing.T) {
			for cut := range len(head) {
				is := is.New(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				go (&answerAndClose{listener: listener, text: head[:cut]}).run()
				sender := &attempt.Sender{}
				answer, err := sender.Send(context.Background(), listener.Addr().String(), requestOf("a"))
				if err == nil {
					_, err = io.ReadAll(answer.Body)
					answer.Close()
				}
				_ = listener.Close()
				if err == nil {
					t.Errorf("an answer cut after %q is taken as whole", head[:cut])
				}
			}
		})
	}
}
