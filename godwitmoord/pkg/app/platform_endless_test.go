package app_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"godwitmoor.example/platform/platformtest"
)

const (
	// endlessCallers is how many callers meet endpoints that send without end at once.
	endlessCallers = 16
	// maxEndlessHeap bounds the heap that their requests may take together, in bytes:
	// less than a tenth of the memory of a small host.
	maxEndlessHeap = 16 << 20
	// maxEndlessWait is how long such a caller may wait for its refusal: the timeout of
	// its route and a quarter of a second.
	maxEndlessWait = 3250 * time.Millisecond
	heapInterval   = 10 * time.Millisecond
	dripInterval   = 50 * time.Millisecond
)

// endlessEndpoint answers each request with a beginning and then the same part again
// and again, until the connection is closed.
type endlessEndpoint struct {
	listener net.Listener
	begin    string
	part     string
	interval time.Duration
	open     atomic.Int32
}

func startEndlessEndpoint(t *testing.T, begin, part string, interval time.Duration) *endlessEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &endlessEndpoint{listener: listener, begin: begin, part: part, interval: interval}
	go e.run()
	return e
}

func (e *endlessEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		s := &endlessConn{endpoint: e, conn: conn}
		go s.run()
	}
}

type endlessConn struct {
	endpoint *endlessEndpoint
	conn     net.Conn
}

func (c *endlessConn) run() {
	defer c.conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(c.conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	c.endpoint.open.Add(1)
	defer c.endpoint.open.Add(-1)
	_, err = fmt.Fprintf(c.conn, c.endpoint.begin, request.Header.Get("Godwitmoor-Attempt-Id"))
	part := []byte(c.endpoint.part)
	for err == nil {
		time.Sleep(c.endpoint.interval)
		_, err = c.conn.Write(part)
	}
}

// heapWatch records the largest heap until it is stopped.
type heapWatch struct {
	stop    chan struct{}
	stopped chan struct{}
	largest uint64
}

func (w *heapWatch) run() {
	defer close(w.stopped)
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		w.largest = max(w.largest, m.HeapAlloc)
		select {
		case <-w.stop:
			return
		case <-time.After(heapInterval):
		}
	}
}

func TestEndpointsThatSendWithoutEndCostLittleMemoryAndTime(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nGodwitmoor-Attempt-Id: %s\r\n"
	const failed = "HTTP/1.1 500 Failed\r\nGodwitmoor-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name, begin, part string
		interval          time.Duration
	}{
		{"fields", head, "A: b\r\n", 0},
		{"fields slowly", head, "A: b\r\n", dripInterval},
		{"interim answers", "HTTP/1.1 102 Wait\r\nA: %s\r\n\r\n", "HTTP/1.1 102 Wait\r\n\r\n", 0},
		{"error body", failed, "5\r\nerror\r\n", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newPlatformDeployment(t)
			endpoints := make([]*endlessEndpoint, 2)
			for i, name := range []string{"desk-1", "desk-2"} {
				endpoints[i] = startEndlessEndpoint(t, test.begin, test.part, test.interval)
				s.workerAddresses[name] = endpoints[i].listener.Addr().String()
			}
			s.writeConfiguration()
			s.registerWorker("desk-1", false)
			s.registerWorker("desk-2", false)
			s.startHost()
			s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			watch := &heapWatch{stop: make(chan struct{}), stopped: make(chan struct{})}
			go watch.run()
			answers := make([]platformtest.Answer, endlessCallers)
			var callers sync.WaitGroup
			start := time.Now()
			for i := range answers {
				callers.Go(func() { answers[i] = s.send("/lookup/7", "good-key") })
			}
			callers.Wait()
			took := time.Since(start)
			close(watch.stop)
			<-watch.stopped
			for _, r := range answers {
				s.is.NoErr(r.Err) // a refusal, no broken answer
				s.is.True(r.Status >= http.StatusBadGateway)
				s.is.Equal(r.Stamp, "")
			}
			t.Logf("heap %d KiB, %v", (int64(watch.largest)-int64(before.HeapAlloc))>>10, took)
			s.is.True(int64(watch.largest)-int64(before.HeapAlloc) < maxEndlessHeap)
			s.is.True(took < maxEndlessWait)
			s.eventually("all connections are closed", func() bool { return endpoints[0].open.Load()+endpoints[1].open.Load() == 0 })
		})
	}
}

// Guards against answers without end that a host keeps in memory until their callers close.
func TestAnswersWithoutEndCostLittleMemoryWhileTheirCallersWait(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nGodwitmoor-Attempt-Id: %s\r\n"
	text := strings.Repeat("a", 1<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	for _, test := range []struct{ name, path, begin, part string }{
		{"chunks", "/lookup/7", head + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		{"up to the end of the connection", "/lookup/7", head + "Connection: close\r\n\r\n", text},
		{"an event", "/chat/7", head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		{"trailers", "/lookup/7", head + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newPlatformDeployment(t)
			var endpoints []*endlessEndpoint
			for _, name := range []string{"desk-1", "desk-2", "pool-1", "pool-2"} {
				endpoint := startEndlessEndpoint(t, test.begin, test.part, 0)
				endpoints = append(endpoints, endpoint)
				s.workerAddresses[name] = endpoint.listener.Addr().String()
			}
			s.writeConfiguration()
			for _, name := range []string{"desk-1", "desk-2", "pool-1", "pool-2"} {
				s.registerWorker(name, false)
			}
			s.startHost()
			s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
			before := liveMemory()
			callers := make([]net.Conn, endlessCallers)
			for i := range callers {
				callers[i] = s.sendAndReadNothing(test.path)
			}
			for range 4 {
				time.Sleep(heapInterval * 25)
				kept := liveMemory() - before
				t.Logf("%d KiB kept", kept>>10)
				s.is.True(kept < maxEndlessHeap)
			}
			for _, conn := range callers {
				conn.Close()
			}
			s.eventually("all connections are closed", func() bool {
				return !slices.ContainsFunc(endpoints, func(e *endlessEndpoint) bool { return e.open.Load() > 0 })
			})
		})
	}
}

// sendAndReadNothing sends a request whose answer is not read.
func (s *platformDeployment) sendAndReadNothing(path string) net.Conn {
	conn, err := net.Dial("tcp", s.frontAddress)
	s.is.NoErr(err)
	s.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nGodwitmoor-Attempt-Id: %s\r\nGodwitmoor-Deadline-Ms: 9000\r\nX-Api-Key: good-key\r\nContent-Length: 0\r\n\r\n", path, uuid.NewString())
	s.is.NoErr(err)
	return conn
}
