// Package measure gives the figures of docs/MEASURES.md and docs/CAPACITY.md
// from real processes on this machine.
//
// # Usage
//
//	err := measure.Path(ctx, measure.Setting{Bin: "bin", Out: "out/measure", Print: os.Stdout})
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"godwitmoor.example/replay/pkg/audit"
	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/replay/pkg/deployment"
	"godwitmoor.example/replay/pkg/fleet"
)

const (
	readyTimeout = 60 * time.Second
	readyPause   = 100 * time.Millisecond
	// maxSample bounds what the histograms hold, in nanoseconds.
	maxSample     = int64(time.Minute)
	significant   = 3
	callTimeout   = 5 * time.Second
	megabyte      = 1 << 20
	kilobyteFloat = 1024.0
)

// Setting says where the programs are and where files and figures go.
type Setting struct {
	Bin   string
	Out   string
	Print io.Writer
	// Only names the measurements to make; none means all.
	Only []string
}

// Short lists the targets that were not met.
type Short struct{ Names []string }

func (e *Short) Error() string {
	return fmt.Sprintf("targets short: %v; see docs/MEASURES.md", e.Names)
}

// report prints figures and targets and remembers those that are short.
type report struct {
	out   io.Writer
	short []string
}

func (r *report) figure(name, format string, values ...any) {
	fmt.Fprintf(r.out, "%-44s %s\n", name, fmt.Sprintf(format, values...))
}

// target prints a target's line; measured must not be above the bound.
func (r *report) target(name string, measured, bound float64, unit string) {
	word := "met"
	if measured > bound {
		word = "short"
		r.short = append(r.short, name)
	}
	fmt.Fprintf(r.out, "target: %s measured %.3f%s bound %.3f%s %s\n", name, measured, unit, bound, unit, word)
}

func (r *report) err() error {
	if len(r.short) > 0 {
		return &Short{Names: r.short}
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxSample, significant) }

// running is a deployment under measurement.
type running struct {
	*deployment.Deployment
	fleet *fleet.Fleet
	line  *deployment.Timeline
}

func start(ctx context.Context, s Setting, name string, plan deployment.Plan) (*running, error) {
	out := filepath.Join(s.Out, name)
	if err := os.RemoveAll(out); err != nil {
		return nil, errors.Wrap(err, "empty the output folder")
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return nil, errors.Wrap(err, "make the output folder")
	}
	f := fleet.New(s.Bin, out)
	line, err := deployment.NewTimeline(f.Path(audit.TimelineFile))
	if err != nil {
		return nil, err
	}
	d, err := deployment.Deploy(f, plan, line)
	r := &running{Deployment: d, fleet: f, line: line}
	if err != nil {
		r.stop()
		return nil, err
	}
	balancer := caller.NewBalancer(d.Callers())
	balancing, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer.Start(balancing)
	for end := time.Now().Add(readyTimeout); balancer.Ready() < plan.Hosts; time.Sleep(readyPause) {
		if time.Now().After(end) {
			r.stop()
			return nil, errors.Newf("%d of %d hosts are ready", balancer.Ready(), plan.Hosts)
		}
	}
	return r, nil
}

func (r *running) stop() {
	r.fleet.Stop()
	// The timeline of a measurement is not judged.
	_ = r.line.Close()
}

// calls is what the key-value stand-in counted.
type calls struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

func (r *running) calls() (calls, error) {
	var c calls
	err := getJSON(r.KeyValue+"/calls", &c)
	return c, err
}

// counter is one counter of a host's metrics.
type counter struct {
	Count int64 `json:"count"`
}

type hostMetrics struct {
	PeerBytes counter `json:"peer.bytes"`
	PeerCalls counter `json:"peer.calls"`
}

func metricsOf(h *deployment.Host) (hostMetrics, error) {
	var m hostMetrics
	err := getJSON("http://"+h.Status+"/metrics", &m)
	return m, err
}

func getJSON(url string, into any) error {
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Get(url)
	if err != nil {
		return errors.Wrap(err, "read a figure")
	}
	defer response.Body.Close()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "read a figure")
}
