package app_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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
