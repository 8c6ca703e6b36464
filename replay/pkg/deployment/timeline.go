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

// Timeline writes what happened and when.
type Timeline struct {
	mu     sync.Mutex
	out    *os.File
	failed error
}

// NewTimeline makes the file of a timeline.
func NewTimeline(file string) (*Timeline, error) {
	out, err := os.Create(file)
	if err != nil {
		return nil, errors.Wrap(err, "make the timeline")
	}
	return &Timeline{out: out}, nil
}

// Add writes one event, with the present time if it has none.
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
	t.failed = errors.CombineErrors(t.failed, err)
}

// Close ends the timeline and tells the first failure to write it.
func (t *Timeline) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return errors.CombineErrors(t.failed, t.out.Close())
}

// Observer notes which configuration each host has in force.
type Observer struct {
	deployment *Deployment
	client     *http.Client
	ended      chan struct{}
}

// NewObserver makes an observer; Start sets it to work.
func NewObserver(d *Deployment) *Observer {
	return &Observer{deployment: d, client: &http.Client{Timeout: observeTimeout}, ended: make(chan struct{})}
}

// Start begins to observe, until ctx ends.
func (o *Observer) Start(ctx context.Context) { go o.run(ctx) }

// Wait returns when the observer has ended.
func (o *Observer) Wait() { <-o.ended }

type observedStatus struct {
	Version int64 `json:"version"`
}

func (o *Observer) run(ctx context.Context) {
	defer close(o.ended)
	for ctx.Err() == nil {
		for _, m := range o.deployment.Hosts {
			o.observe(m)
		}
		time.Sleep(observeInterval)
	}
}

func (o *Observer) observe(m *Host) {
	response, err := o.client.Get("http://" + m.Status + "/status")
	if err != nil {
		return
	}
	defer response.Body.Close()
	var status observedStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err == nil && status.Version > 0 {
		o.deployment.Timeline.Add(audit.Event{Kind: audit.Observed, Target: m.Name, Version: status.Version})
	}
}
