package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	at                    time.Time
	worker, attempt, path string
}

// runLog collects the runs of all workers.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns a copy of the runs.
func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// worker stands in for a sound worker of an application service.
type worker struct {
	id    string
	slots int
	work  time.Duration
	log   *runLog
	busy  chan struct{}
}

func newWorker(id string, slots int, work time.Duration, log *runLog) *worker {
	return &worker{id: id, slots: slots, work: work, log: log, busy: make(chan struct{}, slots)}
}

// entry returns what the worker writes of itself to the store.
func (w *worker) entry(service, address string, born time.Time) string {
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"zone-a","Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,"Sequence":1,"born":%d}`,
		service, address, w.slots, born.UnixMilli())
}

// serve serves the worker on a listener.
func (w *worker) serve(l net.Listener) { _ = http.Serve(l, w) }

// ServeHTTP runs one request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	header := rw.Header()
	header.Set("Godwitmoor-Instance-Id", w.id)
	if r.URL.Path == "/healthz" {
		return
	}
	attempt := r.Header.Get("Godwitmoor-Attempt-Id")
	header.Set("Godwitmoor-Attempt-Id", attempt)
	if expected := r.Header.Get("Godwitmoor-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case w.busy <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.busy }()
	w.log.add(newRun(w.id, r))
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	answer := answerOf(w.id, attempt)
	header.Set("Godwitmoor-Server-Stamp", stampOf(w.id, attempt))
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(rw, answer)
}

// newRun returns the run of a request.
func newRun(worker string, r *http.Request) run {
	return run{at: time.Now(), worker: worker, attempt: r.Header.Get("Godwitmoor-Attempt-Id"), path: r.URL.RequestURI()}
}

// answerOf and stampOf return the body and the signature of a worker's answer.
func answerOf(worker, attempt string) string {
	return "answer to " + attempt + " " + strings.Repeat("x", 700)
}
func stampOf(worker, attempt string) string { return worker + "." + attempt }
