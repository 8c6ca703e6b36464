package app_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/uuid"
	"godwitmoor.example/platform/platformtest"
)

// uploadBytes does not fit the buffers of a connection, so that a worker can answer and
// reset it while the upload is being written.
const uploadBytes = 8 << 20

const (
	oddAnswerHead = "Godwitmoor-Server-Stamp: s\r\nGodwitmoor-Attempt-Id: %s\r\n"
	earlyHead     = "HTTP/1.1 200 OK\r\n" + oddAnswerHead + "\r\n"
	earlyStream   = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + oddAnswerHead + "\r\n"
	earlyInterim  = "HTTP/1.1 102 Processing\r\n\r\n"
)

// oddRoutes are one route of each kind: unsafe, safe, a stream that may be resumed and one
// that may not.
var oddRoutes = []string{"/order/7", "/lookup/7", "/chat/7", "/plan/7"}

// startOddDeployment starts a deployment both workers of whose services stand at the given
// addresses.
func startOddDeployment(t *testing.T, addresses [2]string) *platformDeployment {
	t.Helper()
	s := newPlatformDeployment(t)
	s.maxBody = 2 * uploadBytes
	s.writeConfiguration()
	for n, address := range addresses {
		for _, service := range []string{"desk-", "pool-"} {
			name := service + string(rune('1'+n))
			s.workerAddresses[name] = address
			s.registerWorker(name, false)
		}
	}
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	return s
}

// Guards against a part of an answer that reaches the caller as a whole one, because its
// worker reset the connection while the upload was being written.
func TestAnswerThatIsResetDuringAnUploadLooksComplete(t *testing.T) {
	for name, parts := range map[string][]string{
		"before the head":        nil,
		"in the head":            {earlyHead[:40]},
		"before the body":        {earlyHead},
		"in the body":            {earlyHead + "the first part"},
		"later in the body":      {earlyHead, "the first part", " and another"},
		"behind interim answers": {earlyInterim, earlyInterim + earlyHead + "the first part"},
		"in a stream":            {earlyStream + "id: 1\ndata: one\n\n", "id: 2\nda"},
		"at an event's end":      {earlyStream + "id: 1\ndata: one\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			worker, err := platformtest.StartResettingWorker(parts...)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(worker.Close)
			s := startOddDeployment(t, [2]string{worker.Address(), worker.Address()})
			for range 3 {
				for _, route := range oddRoutes {
					r := platformtest.Request{
						Address: s.frontAddress, Host: "shop.example", Path: route, APIKey: "good-key", AttemptID: uuid.NewString(),
						Body: make([]byte, uploadBytes),
					}.Send()
					if r.Err == nil && r.Status == http.StatusOK {
						t.Errorf("%s: %q looks complete", route, r.Body)
					}
				}
			}
			s.is.True(worker.Total() > 0)
		})
	}
}

// Guards against an answer with a status that is none of HTTP's final ones and reaches the
// caller as a response.
func TestAnswerWithAnOddStatusReachesTheCaller(t *testing.T) {
	for _, status := range []string{"000", "099", "199", "600", "999", "2x0"} {
		for name, rest := range map[string]string{
			"length":      "Content-Length: 5\r\n\r\nwrong",
			"until close": "\r\nwrong",
			"events":      "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: wrong\n\n",
			"alone":       "\r\n",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				text := "HTTP/1.1 " + status + " Odd\r\n" + oddAnswerHead + rest
				worker, err := platformtest.StartRawWorker(func(r platformtest.RawRequest, w io.Writer) bool {
					_, _ = io.WriteString(w, strings.ReplaceAll(text, "%s", r.ID))
					return false
				})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(worker.Close)
				s := startOddDeployment(t, [2]string{worker.Address(), worker.Address()})
				for _, route := range oddRoutes {
					r := s.send(route, "good-key")
					s.is.NoErr(r.Err)
					s.is.True(r.Status == http.StatusBadGateway || r.Status == http.StatusServiceUnavailable || r.Status == http.StatusGatewayTimeout)
					s.is.True(!strings.Contains(r.Body, "wrong"))
				}
			})
		}
	}
}
