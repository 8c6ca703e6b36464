package app_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"godwitmoor.example/platform/platformtest"
)

// repeatingEndpoint rejects its first request and runs all others. Beside the
// second one, it sends the rejection again on the connection of the first.
type repeatingEndpoint struct {
	listener net.Listener

	mu       sync.Mutex
	rejected net.Conn
	runs     int
}

func startRepeatingEndpoint(t *testing.T) *repeatingEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &repeatingEndpoint{listener: listener}
	go e.run()
	return e
}

func (e *repeatingEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		s := &repeatingConn{endpoint: e, conn: conn}
		go s.run()
	}
}

// repeatingConn is a connection to a repeatingEndpoint.
type repeatingConn struct {
	endpoint *repeatingEndpoint
	conn     net.Conn
}

func (c *repeatingConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		c.answer(request.Header.Get("Godwitmoor-Attempt-Id"))
	}
}

func (c *repeatingConn) answer(id string) {
	e := c.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	rejection := fmt.Sprintf("HTTP/1.1 503 Full\r\nGodwitmoor-Attempt-Id: %s\r\nGodwitmoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	if e.rejected == nil {
		e.rejected = c.conn
		fmt.Fprint(c.conn, rejection)
		return
	}
	e.runs++
	if e.runs == 1 {
		fmt.Fprint(e.rejected, rejection)
		// The repetition arrives before the answer to the request that runs.
		time.Sleep(20 * time.Millisecond)
	}
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nGodwitmoor-Attempt-Id: %s\r\nGodwitmoor-Server-Stamp: s\r\nContent-Length: 4\r\n\r\ndone", id)
}

func TestRepeatedRejectionOfAnEarlierAttemptDoesNotRunAnOrderTwice(t *testing.T) {
	s := newPlatformDeployment(t)
	endpoint := startRepeatingEndpoint(t)
	s.workerAddresses["desk-1"] = endpoint.listener.Addr().String()
	s.writeConfiguration()
	s.registerWorker("desk-1", false)
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	r := s.send("/order/7", "good-key")
	s.is.Equal(r.Status, http.StatusOK)
	s.is.Equal(r.Body, "done")
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	s.is.Equal(endpoint.runs, 1)
}

// repetitions are the ways in which the workers of one test repeat a rejection.
var repetitions = []platformtest.Repetition{
	{Status: "503 Full", When: "before", ID: "new"},
	{Status: "503 Full", When: "instead", ID: "new"},
	{Status: "429 Too Many", When: "before", ID: "none", Apart: true},
	{Status: "421 Misdirected", When: "instead", ID: "none", Invented: true},
	{Status: "503 Full", When: "before", ID: "new", Invented: true},
	{Status: "503 Full", When: "after", ID: "old", Apart: true},
}

func TestRepeatedRejectionTellsACallerToRepeatAnOrderThatRunsOrRunsItTwice(t *testing.T) {
	for _, repetition := range repetitions {
		t.Run(repetition.String(), func(t *testing.T) {
			s := newPlatformDeployment(t)
			workers := map[string]*platformtest.RejectingWorker{}
			for _, name := range []string{"desk-1", "desk-2"} {
				worker, err := platformtest.StartRejectingWorker(repetition)
				s.is.NoErr(err)
				t.Cleanup(worker.Close)
				workers[name], s.workerAddresses[name] = worker, worker.Address()
				s.registerWorker(name, false)
			}
			s.writeConfiguration()
			s.startHost()
			s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
			for range 8 {
				id := uuid.NewString()
				r := platformtest.Call(s.frontAddress, "shop.example", "/short/7", "good-key", id)
				runs := slices.Concat(workers["desk-1"].Runs(), workers["desk-2"].Runs())
				runs = slices.DeleteFunc(runs, func(run string) bool { return run != id })
				s.is.True(len(runs) <= 1)
				s.is.True(len(runs) == 0 || !slices.Contains(promises, r.Status))
				s.is.True(r.Status != http.StatusOK || strings.Contains(r.Body, id))
			}
		})
	}
}

// promises are the statuses that tell a caller that its request did not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
