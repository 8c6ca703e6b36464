package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"godwitmoor.example/review/harness/record"
)

// beatInterval is how often a worker writes its entry.
const beatInterval = 1200 * time.Millisecond

// Worker is a sound worker of an application service. It runs Slots requests at a
// time, queues Queue more and rejects the rest.
type Worker struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work returns how long a request takes.
	Work func(r *http.Request) time.Duration
	// Record gets a line for each arrival, run and end.
	Record *record.Record

	address string
	cancel  context.CancelFunc
	store   *Store
	born    int64
	slots   chan struct{}
	mu      sync.Mutex
	present int
	runs    map[string]int
	ended   chan struct{}
	// lastArrival is when the latest request arrived.
	lastArrival time.Time
}

// Start listens on a free loopback port and registers the worker.
func (w *Worker) Start(ctx context.Context, store *Store) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address, w.store, w.born = listener.Addr().String(), store, time.Now().UnixMilli()
	w.slots, w.runs, w.ended = make(chan struct{}, w.Slots), map[string]int{}, make(chan struct{})
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
	go func() { _ = http.Serve(listener, w) }()
	return nil
}

// run writes the worker's entry at every beat until ctx ends.
func (w *Worker) run(ctx context.Context) {
	defer close(w.ended)
	for sequence := 1; ; sequence++ {
		w.store.Set("servers/"+w.ID, map[string]any{
			"Service": w.Service, "Address": w.address, "Zone": w.Zone, "Version": "v1", "Slots": w.Slots,
			"State": "ready", "ColdLeftMs": 0, "Sequence": sequence, "born": w.born,
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatInterval):
		}
	}
}

// Leave removes the worker's entry without a word before, as some workers do, and returns
// when the store acknowledged that. The worker continues to serve.
func (w *Worker) Leave() time.Time {
	w.cancel()
	<-w.ended
	w.store.Remove("servers/" + w.ID)
	return time.Now()
}

// LastArrival returns when the latest request arrived, rejected ones included.
func (w *Worker) LastArrival() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastArrival
}

// Runs returns how often the worker has run a request.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// ServeHTTP serves one request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id, header := r.Header.Get("Godwitmoor-Attempt-Id"), out.Header()
	header.Set("Godwitmoor-Attempt-Id", id)
	if expected := r.Header.Get("Godwitmoor-Expect-Instance"); expected != "" && expected != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	w.lastArrival = arrived
	w.mu.Unlock()
	w.Record.Line("worker %s: %s arrives", w.ID, id)
	if !w.enter() {
		header.Set("Godwitmoor-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		w.Record.Line("worker %s: %s rejected, not run", w.ID, id)
		return
	}
	defer w.leave()
	deadline := deadlineOf(r, arrived)
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-time.After(time.Until(deadline)):
		header.Set("Godwitmoor-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		w.Record.Line("worker %s: %s passed its deadline in the queue, not run", w.ID, id)
		return
	case <-r.Context().Done():
		w.Record.Line("worker %s: %s dropped in the queue, not run", w.ID, id)
		return
	}
	w.execute(out, r, deadline)
}

// execute runs a request and answers it.
func (w *Worker) execute(out http.ResponseWriter, r *http.Request, deadline time.Time) {
	id := r.Header.Get("Godwitmoor-Attempt-Id")
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.Record.Line("worker %s: %s runs", w.ID, id)
	out.Header().Set("Godwitmoor-Server-Stamp", w.ID+"."+id)
	select {
	case <-time.After(w.Work(r)):
		fmt.Fprintf(out, "done %s by %s\n", id, w.ID)
		w.Record.Line("worker %s: %s done, 200", w.ID, id)
	case <-time.After(time.Until(deadline)):
		out.WriteHeader(http.StatusGatewayTimeout)
		w.Record.Line("worker %s: %s stopped at its deadline, 504", w.ID, id)
	case <-r.Context().Done():
		w.Record.Line("worker %s: %s dropped, its connection closed", w.ID, id)
	}
}

// enter counts a request in, and reports whether there is room for it.
func (w *Worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.present >= w.Slots+w.Queue {
		return false
	}
	w.present++
	return true
}

func (w *Worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present--
}

// deadlineOf returns when the worker stops work on a request.
func deadlineOf(r *http.Request, arrived time.Time) time.Time {
	milliseconds, err := strconv.Atoi(r.Header.Get("Godwitmoor-Deadline-Ms"))
	if err != nil {
		return arrived.Add(time.Hour)
	}
	return arrived.Add(time.Duration(milliseconds) * time.Millisecond)
}
