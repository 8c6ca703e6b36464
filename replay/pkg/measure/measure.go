// Package measure produces the figures of docs/MEASURES.md and docs/CAPACITY.md
// by running real processes on the local machine.
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
	// maxSample is the largest value that the histograms record, in nanoseconds.
	maxSample     = int64(time.Minute)
	significant   = 3
	callTimeout   = 5 * time.Second
	megabyte      = 1 << 20
	kilobyteFloat = 1024.0
)

// Setting is the configuration of a measurement: the folder of the programs, the
// folder for output files and the writer for the figures.
type Setting struct {
	Bin   string
	Out   string
	Print io.Writer
	// Only lists the measurements of Path to run; empty runs all.
	Only []string
}

// Short is the error for targets that were not met, listed by name.
type Short struct{ Names []string }

func (e *Short) Error() string {
	return fmt.Sprintf("targets short: %v; see docs/MEASURES.md", e.Names)
}

// report prints figures and targets and records the targets that were not met.
type report struct {
	out   io.Writer
	short []string
}

func (r *report) figure(name, format string, values ...any) {
	fmt.Fprintf(r.out, "%-44s %s\n", name, fmt.Sprintf(format, values...))
}

// target prints the result of one target. The target is met if measured is not
// above bound.
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

// running is a started deployment that is being measured.
type running struct {
	*deployment.Deployment
	fleet *fleet.Fleet
	line  *deployment.Timeline
}

func start(ctx context.Context, s Setting, name string, plan deployment.Plan) (*running, error) {
	out := filepath.Join(s.Out, name)
	if err := os.RemoveAll(out); err != nil {
		return nil, errors.Wrap(err, "remove the output folder")
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the output folder")
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
			return nil, errors.Newf("only %d of %d hosts became ready in time; see their logs", balancer.Ready(), plan.Hosts)
		}
	}
	return r, nil
}

func (r *running) stop() {
	r.fleet.Stop()
	// The audit does not read the timeline of a measurement, so a failed write
	// is harmless.
	_ = r.line.Close()
}

// calls are the call counters of the key-value stand-in.
type calls struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

func (r *running) calls() (calls, error) {
	var c calls
	err := getJSON(r.KeyValue+"/calls", &c)
	return c, err
}

// counter is the JSON form of one counter in the metrics of a host.
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
		return errors.Wrap(err, "request a figure from a host or a stand-in")
	}
	defer response.Body.Close()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "decode a figure of a host or a stand-in")
}
