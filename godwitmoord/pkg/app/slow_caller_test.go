package app_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"godwitmoor.example/platform/platformtest"
)

// endlessWorker is a worker that answers with a stream that does not end.
type endlessWorker struct {
	// ended receives a value when the request of an answer has ended.
	ended chan struct{}
}

func (w *endlessWorker) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	writer.Header().Set("Godwitmoor-Attempt-Id", r.Header.Get("Godwitmoor-Attempt-Id"))
	writer.Header().Set("Content-Type", "text/event-stream")
	for id := 1; r.Context().Err() == nil; id++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", id, benchEventText); err != nil {
			break
		}
	}
	w.ended <- struct{}{}
}

// A caller that read nothing kept the slot of its endpoint until the deadline of its
// request.
func TestCallerThatReadsNothingDoesNotKeepItsEndpoint(t *testing.T) {
	s := newPlatformDeployment(t)
	s.terms = []string{"pressure"}
	const timeout = 10 * waitTimeout
	s.extraRoutes = []platformtest.Route{{Name: "endless", Kind: "streaming", Service: "pool", Timeout: timeout}}
	s.writeConfiguration()
	worker := &endlessWorker{ended: make(chan struct{}, 1)}
	server := httptest.NewServer(worker)
	t.Cleanup(server.Close)
	s.store.SetWorker("pool-3", "pool", strings.TrimPrefix(server.URL, "http://"), false)
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	conn, err := net.Dial("tcp", s.frontAddress)
	s.is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /endless/7 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: good-key\r\nGodwitmoor-Deadline-Ms: %d\r\nGodwitmoor-Attempt-Id: %s\r\n\r\n", timeout.Milliseconds(), uuid.NewString())
	s.is.NoErr(err)
	select {
	case <-worker.ended:
	case <-time.After(waitTimeout):
		t.Fatal("the endpoint still serves a caller that reads nothing")
	}
	s.is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	answer, err := io.ReadAll(conn)
	s.is.True(err != nil) // a reset, no orderly end
	s.is.True(len(answer) > 0)
	s.is.True(!strings.HasSuffix(string(answer), "\r\n0\r\n\r\n"))
}

const (
	// unreadCallers is more callers than an endpoint of these tests has slots.
	unreadCallers = 12
	unreadTimeout = time.Second
)

// endlessOrUsualWorker is a worker whose answers to one route do not end.
type endlessOrUsualWorker struct {
	endless endlessWorker
	usual   platformtest.Worker
}

func (w *endlessOrUsualWorker) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/endless/") {
		w.endless.ServeHTTP(writer, r)
		return
	}
	w.usual.ServeHTTP(writer, r)
}

// Callers that read nothing kept the slots of a service for as long as they kept their
// connections, and nobody else was served.
func TestCallersThatReadNothingKeepNoSlotsBeyondTheirTime(t *testing.T) {
	s := newPlatformDeployment(t)
	s.extraRoutes = []platformtest.Route{{Name: "endless", Kind: "streaming", Service: "pool", Timeout: unreadTimeout}}
	s.writeConfiguration()
	worker := &endlessOrUsualWorker{
		endless: endlessWorker{ended: make(chan struct{}, unreadCallers)},
		usual:   platformtest.Worker{ID: "pool-3", EventCount: 6},
	}
	server := httptest.NewServer(worker)
	t.Cleanup(server.Close)
	s.store.SetWorker("pool-3", "pool", strings.TrimPrefix(server.URL, "http://"), false)
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	var callers []net.Conn
	for range unreadCallers {
		conn, err := net.Dial("tcp", s.frontAddress)
		s.is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "GET /endless/7 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: good-key\r\nGodwitmoor-Deadline-Ms: 9000\r\nGodwitmoor-Attempt-Id: %s\r\n\r\n", uuid.NewString())
		s.is.NoErr(err)
		callers = append(callers, conn)
	}
	s.eventually("an ordinary stream is answered beside them", func() bool {
		answer := s.send("/plan/7", "good-key")
		return answer.Err == nil && answer.Status == http.StatusOK && len(worker.endless.ended) > 0
	})
	resets := 0
	for _, conn := range callers {
		s.is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && answer.StatusCode != http.StatusOK {
			continue // it found no slot
		}
		if err == nil {
			_, err = io.ReadAll(answer.Body)
		}
		s.is.True(errors.Is(err, syscall.ECONNRESET)) // no orderly end
		resets++
	}
	s.is.True(resets > 0)
}
