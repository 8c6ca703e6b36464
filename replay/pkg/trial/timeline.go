package trial

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

const observeInterval = 200 * time.Millisecond

// timeline writes what happened and when.
type timeline struct {
	mu     sync.Mutex
	out    *os.File
	failed error
}

func newTimeline(file string) (*timeline, error) {
	out, err := os.Create(file)
	if err != nil {
		return nil, errors.Wrap(err, "make the timeline")
	}
	return &timeline{out: out}, nil
}

func (t *timeline) add(e audit.Event) {
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

func (t *timeline) close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return errors.CombineErrors(t.failed, t.out.Close())
}

// observer notes which configuration each host has in force.
type observer struct {
	deployment *deployment
	client     *http.Client
	ended      chan struct{}
}

type observedStatus struct {
	Version int64 `json:"version"`
}

func (o *observer) run(ctx context.Context) {
	defer close(o.ended)
	for ctx.Err() == nil {
		for _, m := range o.deployment.members {
			o.observe(m)
		}
		time.Sleep(observeInterval)
	}
}

func (o *observer) observe(m *member) {
	response, err := o.client.Get("http://" + m.status + "/status")
	if err != nil {
		return
	}
	defer response.Body.Close()
	var status observedStatus
	if err := json.NewDecoder(response.Body).Decode(&status); err == nil && status.Version > 0 {
		o.deployment.timeline.add(audit.Event{Kind: audit.Observed, Target: m.name, Version: status.Version})
	}
}
