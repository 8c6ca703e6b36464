package deployment

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/replay/pkg/audit"
)

const (
	observeInterval = 200 * time.Millisecond
	observeTimeout  = time.Second
)

// Timeline writes the events of a run, with their times, to a file of JSON lines
// that the audit reads.
type Timeline struct {
	mu       sync.Mutex
	out      *os.File
	writeErr error
}

// NewTimeline creates the file and returns a Timeline that writes to it.
func NewTimeline(file string) (*Timeline, error) {
	out, err := os.Create(file)
	if err != nil {
		return nil, errors.Wrap(err, "create the timeline file")
	}
	return &Timeline{out: out}, nil
}

// Add writes one event. An event without a time gets the current time. A
// failed write is reported by Close.
func (t *Timeline) Add(e audit.Event) {
	if e.At.IsZero() {
		e.At = time.Now()
	}
	data, err := json.Marshal(e)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		_, err = t.out.Write(append(data, '\n'))
	}
	t.writeErr = errors.CombineErrors(t.writeErr, err)
}

// Close closes the file and returns the first error of writing or closing it.
func (t *Timeline) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return errors.CombineErrors(t.writeErr, t.out.Close())
}

// Observer polls the hosts for the configuration version that each has in force
// and adds it to the timeline.
type Observer struct {
	deployment *Deployment
	client     *http.Client
	done       chan struct{}
}

// NewObserver returns an Observer of the hosts of d. Start begins the polling.
func NewObserver(d *Deployment) *Observer {
	return &Observer{deployment: d, client: &http.Client{Timeout: observeTimeout}, done: make(chan struct{})}
}

// Start polls the hosts in the background until ctx ends.
func (o *Observer) Start(ctx context.Context) { go o.run(ctx) }

// Wait blocks until the polling has ended.
func (o *Observer) Wait() { <-o.done }

type observedStatus struct {
	Version int64 `json:"version"`
}

func (o *Observer) run(ctx context.Context) {
	defer close(o.done)
	for ctx.Err() == nil {
		for _, h := range o.deployment.Hosts {
			o.observe(h)
		}
		time.Sleep(observeInterval)
	}
}

func (o *Observer) observe(h *Host) {
	response, err := o.client.Get("http://" + h.Status + "/status")
	if err != nil {
		return
	}
	defer response.Body.Close()
	var status observedStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err == nil && status.Version > 0 {
		o.deployment.Timeline.Add(audit.Event{Kind: audit.Observed, Target: h.Name, Version: status.Version})
	}
}
