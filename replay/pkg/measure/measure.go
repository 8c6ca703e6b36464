// Package measure produces the figures of docs/MEASURES.md and docs/CAPACITY.md
// by running real processes on the local machine.
//
// # Usage
//
//	err := measure.Overhead(ctx, measure.Options{Bin: "bin", Out: "out/measure", Writer: os.Stdout})
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
	maxSample         = int64(time.Minute)
	significantDigits = 3
	httpTimeout       = 5 * time.Second
	megabyte          = 1 << 20
	kilobyte          = 1024.0
)

// Options are the options of a measurement: the folder of the programs, the folder
// for output files and the writer for the figures.
type Options struct {
	Bin    string
	Out    string
	Writer io.Writer
	// Only lists the measurements of Overhead to run; empty runs all.
	Only []string
}

// TargetsMissedError is the error for targets that were not met, listed by name.
type TargetsMissedError struct{ Names []string }

func (e *TargetsMissedError) Error() string {
	return fmt.Sprintf("targets short: %v; see docs/MEASURES.md", e.Names)
}

// report prints figures and targets and records the targets that were not met.
type report struct {
	out    io.Writer
	missed []string
}

func (r *report) printFigure(name, format string, values ...any) {
	fmt.Fprintf(r.out, "%-44s %s\n", name, fmt.Sprintf(format, values...))
}

// checkTarget prints whether one target is met and records it if not. A target is
// met if measured is not above bound.
func (r *report) checkTarget(name string, measured, bound float64, unit string) {
	status := "met"
	if measured > bound {
		status = "short"
		r.missed = append(r.missed, name)
	}
	fmt.Fprintf(r.out, "target: %s measured %.3f%s bound %.3f%s %s\n", name, measured, unit, bound, unit, status)
}

func (r *report) err() error {
	if len(r.missed) > 0 {
		return &TargetsMissedError{Names: r.missed}
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxSample, significantDigits) }

// measuredDeployment is a started deployment that is being measured.
type measuredDeployment struct {
	*deployment.Deployment
	fleet    *fleet.Fleet
	timeline *deployment.Timeline
}

func start(ctx context.Context, s Options, name string, plan deployment.Plan) (*measuredDeployment, error) {
	out := filepath.Join(s.Out, name)
	if err := os.RemoveAll(out); err != nil {
		return nil, errors.Wrap(err, "remove the output folder")
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return nil, errors.Wrap(err, "create the output folder")
	}
	f := fleet.New(s.Bin, out)
	timeline, err := deployment.NewTimeline(f.Path(audit.TimelineFile))
	if err != nil {
		return nil, err
	}
	d, err := deployment.Deploy(f, plan, timeline)
	r := &measuredDeployment{Deployment: d, fleet: f, timeline: timeline}
	if err != nil {
		r.stop()
		return nil, err
	}
	balancer := caller.NewBalancer(d.HostDestinations())
	balancerCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer.Start(balancerCtx)
	for end := time.Now().Add(readyTimeout); balancer.Ready() < plan.Hosts; time.Sleep(readyPause) {
		if time.Now().After(end) {
			r.stop()
			return nil, errors.Newf("only %d of %d hosts became ready in time; see their logs", balancer.Ready(), plan.Hosts)
		}
	}
	return r, nil
}

func (r *measuredDeployment) stop() {
	r.fleet.Stop()
	// The audit does not read the timeline of a measurement, so a failed write
	// is harmless.
	_ = r.timeline.Close()
}

// storeCalls are the call counters of the key-value stand-in.
type storeCalls struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

func (c storeCalls) minus(earlier storeCalls) storeCalls {
	return storeCalls{Reads: c.Reads - earlier.Reads, Writes: c.Writes - earlier.Writes}
}

func (r *measuredDeployment) calls() (storeCalls, error) {
	var c storeCalls
	err := getJSON(r.KeyValue+"/calls", &c)
	return c, err
}

// growth returns the difference between samples taken after and before the work.
func growth[T any](sample func() (T, error), minus func(after, before T) T, work func() error) (T, error) {
	var none T
	before, err := sample()
	if err != nil {
		return none, err
	}
	if err := work(); err != nil {
		return none, err
	}
	after, err := sample()
	return minus(after, before), err
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
	client := &http.Client{Timeout: httpTimeout}
	response, err := client.Get(url)
	if err != nil {
		return errors.Wrap(err, "request a figure from a host or a stand-in")
	}
	defer response.Body.Close()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "decode a figure of a host or a stand-in")
}
