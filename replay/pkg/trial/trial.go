// Package trial runs a trace against a deployment of real processes on loopback
// and audits the files of the run.
//
// # Usage
//
//	report, err := trial.Trial{Trace: t, Bin: "bin", Out: "out/try"}.Run(ctx, os.Stderr)
package trial

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/replay/pkg/audit"
	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/replay/pkg/deployment"
	"godwitmoor.example/replay/pkg/fleet"
	"godwitmoor.example/replay/pkg/trace"
)

const (
	readyTimeout   = 20 * time.Second
	readyInterval  = 50 * time.Millisecond
	observeTimeout = time.Second
	stopTimeout    = 90 * time.Second
)

// Trial is one run of one trace.
type Trial struct {
	Trace trace.Trace
	// Seed determines the requests that are generated from the trace.
	Seed uint64
	// Policy names a baseline policy by which callers send requests directly to
	// the endpoints. If it is empty, they send them to the hosts.
	Policy caller.Policy
	// Bin is the folder of the programs. Out is the folder for the files of the
	// run; Run empties it first.
	Bin string
	Out string
}

// Run runs the trace and returns the audit of its files. All processes that it
// started have ended when it returns.
func (t Trial) Run(ctx context.Context, progress io.Writer) (audit.Judgement, error) {
	if err := os.RemoveAll(t.Out); err != nil {
		return audit.Judgement{}, errors.Wrap(err, "empty the output folder")
	}
	if err := os.MkdirAll(t.Out, 0o755); err != nil {
		return audit.Judgement{}, errors.Wrap(err, "create the output folder")
	}
	if err := t.play(ctx, progress); err != nil {
		return audit.Judgement{}, err
	}
	evidence, err := audit.Read(t.Out)
	if err != nil {
		return audit.Judgement{}, err
	}
	return audit.Judge(evidence), nil
}

func (t Trial) play(ctx context.Context, progress io.Writer) error {
	f := fleet.New(t.Bin, t.Out)
	defer f.Stop()
	line, err := deployment.NewTimeline(f.Path(audit.TimelineFile))
	if err != nil {
		return err
	}
	log, err := os.Create(f.Path(audit.CallersFile))
	if err != nil {
		return errors.Wrap(err, "create the callers' log")
	}
	defer log.Close()
	plan := deployment.Today(t.Trace.Deployment, t.Trace.Hosts)
	plan.Record = true
	plan.GoodputWeight = t.Trace.GoodputWeight
	d, err := deployment.Deploy(f, plan, line)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer := caller.NewBalancer(d.Callers())
	balancer.Start(ctx)
	if err := awaitReady(ctx, balancer, t.Trace.Hosts); err != nil {
		return err
	}
	fmt.Fprintf(progress, "%s: %d hosts are ready\n", t.Trace.Name, t.Trace.Hosts)
	o := deployment.NewObserver(d)
	o.Start(ctx)
	start := time.Now()
	j := &faults{target: d, list: t.Trace.Faults, start: start, progress: progress}
	j.open.Add(1)
	go j.run(ctx)
	requests := t.Trace.Requests(t.Seed)
	picker, err := t.picker(ctx, d, balancer)
	if err != nil {
		return err
	}
	caller.New(picker, d.Token, log).Send(ctx, requests, start, func(sent int) {
		fmt.Fprintf(progress, "%5.1fs  %d of %d requests sent\n", time.Since(start).Seconds(), sent, len(requests))
	})
	j.open.Wait()
	cancel()
	o.Wait()
	return errors.CombineErrors(j.failed, line.Close())
}

func (t Trial) picker(ctx context.Context, d *deployment.Deployment, balancer *caller.Balancer) (caller.Picker, error) {
	if t.Policy == "" {
		return balancer, nil
	}
	baseline, err := caller.NewBaseline(t.Policy, t.Seed, d.Services())
	if err != nil {
		return nil, err
	}
	baseline.Start(ctx)
	return baseline, nil
}

func awaitReady(ctx context.Context, b *caller.Balancer, hosts int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for b.Ready() < hosts {
		select {
		case <-ctx.Done():
			return errors.Newf("%d of %d hosts are ready after %v; see their logs", b.Ready(), hosts, readyTimeout)
		case <-time.After(readyInterval):
		}
	}
	return nil
}

// faults injects the faults of a trace into the deployment at their times.
type faults struct {
	target   *deployment.Deployment
	list     []trace.Fault
	start    time.Time
	progress io.Writer
	open     sync.WaitGroup

	mu     sync.Mutex
	failed error
}

func (f *faults) run(ctx context.Context) {
	defer f.open.Done()
	for _, fault := range f.list {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(f.start.Add(fault.At.Std()))):
		}
		fmt.Fprintf(f.progress, "%5.1fs  %s %s\n", time.Since(f.start).Seconds(), fault.Kind, fault.Target)
		if err := f.carryOut(fault); err != nil {
			f.fail(errors.Wrapf(err, "fault %s %s", fault.Kind, fault.Target))
		}
	}
}

func (f *faults) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = errors.CombineErrors(f.failed, err)
}

func (f *faults) carryOut(fault trace.Fault) error {
	d := f.target
	switch fault.Kind {
	case "stop-host":
		return f.stopHost(fault.Target)
	case "replace-host":
		return f.replaceHost(fault.Target)
	case "kill-host", "kill-endpoint":
		return f.signal(fault, syscall.SIGKILL)
	case "freeze-host":
		if err := f.signal(fault, syscall.SIGSTOP); err != nil {
			return err
		}
		return f.later(fault, func() error { return f.signal(fault, syscall.SIGCONT) })
	case "leave-by-operator":
		d.Declared = d.Declared.WithEndpointLeaving(fault.Target)
		d.Timeline.Add(audit.Event{Kind: audit.EndpointLeaving, Target: fault.Target, Note: "operator"})
		return d.Apply()
	case "leave-by-report":
		d.Timeline.Add(audit.Event{Kind: audit.EndpointLeaving, Target: fault.Target, Note: "own report"})
		return f.set(fault.Target, `{"leaving":true}`)
	case "leave-by-list":
		d.Timeline.Add(audit.Event{Kind: audit.EndpointLeaving, Target: fault.Target, Note: "host list", At: time.Now().Add(2 * time.Second)})
		return d.List(fault.Target, deployment.ListedHost{Address: d.Endpoints[fault.Target], Role: "endpoint", State: "leaving"})
	case "leave-by-refusing":
		return f.set(fault.Target, `{"refuse":true}`)
	case "freeze-endpoint":
		return f.setFor(fault, `{"freeze":true}`)
	case "slow-endpoint":
		return f.setFor(fault, `{"slow":8}`)
	case "keyvalue-down":
		return f.setFor(fault, `{"down":true}`)
	case "keyvalue-slow":
		return f.setFor(fault, `{"delay-millis":400}`)
	case "keyvalue-lose-replies":
		return f.set("keyvalue", `{"lose-replies":20}`)
	default:
		return errors.Newf("unknown fault %q; docs/TRACES.md lists the faults", fault.Kind)
	}
}

func (f *faults) signal(fault trace.Fault, s syscall.Signal) error {
	process := f.target.Processes[fault.Target]
	if process == nil {
		return errors.New("the deployment has no process of this name; correct the target in the trace")
	}
	f.target.Timeline.Add(audit.Event{Kind: audit.Fault, Target: fault.Target, Note: fault.Kind + " " + s.String()})
	return process.Signal(s)
}

func (f *faults) set(target, body string) error {
	url := "http://" + f.target.Endpoints[target]
	if target == "keyvalue" {
		url = f.target.KeyValue
	}
	return f.target.Call(http.MethodPost, url+"/faults", rawJSON(body))
}

// rawJSON is a request body that is already encoded as JSON.
type rawJSON string

// MarshalJSON returns the text unchanged.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

func (f *faults) setFor(fault trace.Fault, body string) error {
	target := fault.Target
	if target == "" {
		target = "keyvalue"
	}
	f.target.Timeline.Add(audit.Event{Kind: audit.Fault, Target: target, Note: fault.Kind})
	if err := f.set(target, body); err != nil {
		return err
	}
	return f.later(fault, func() error { return f.set(target, `{}`) })
}

// later ends a fault after its duration. It does not block, so that the faults that
// follow are injected on time.
func (f *faults) later(fault trace.Fault, end func() error) error {
	if fault.For <= 0 {
		return nil
	}
	f.open.Add(1)
	l := &ending{faults: f, after: fault.For.Std(), end: end}
	go l.run()
	return nil
}

// ending is the scheduled end of a fault.
type ending struct {
	faults *faults
	after  time.Duration
	end    func() error
}

func (l *ending) run() {
	defer l.faults.open.Done()
	time.Sleep(l.after)
	if err := l.end(); err != nil {
		l.faults.fail(err)
	}
}

// replaceHost stops a host and starts it again after its process has ended.
func (f *faults) replaceHost(name string) error {
	return f.stopAnd(name, f.target.Restart)
}

func (f *faults) stopHost(name string) error {
	return f.stopAnd(name, func(*deployment.Host) error { return nil })
}

// stopAnd asks a host to stop and, without blocking, runs then after it has exited.
func (f *faults) stopAnd(name string, then func(*deployment.Host) error) error {
	m, err := f.target.Host(name)
	if err != nil {
		return err
	}
	f.target.Timeline.Add(audit.Event{Kind: audit.HostStopping, Target: name})
	if err := m.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	f.open.Add(1)
	w := &exit{faults: f, member: m, then: then}
	go w.run()
	return nil
}

// exit waits for the exit of a stopping host, records it in the timeline and then
// runs then.
type exit struct {
	faults *faults
	member *deployment.Host
	then   func(*deployment.Host) error
}

func (w *exit) run() {
	defer w.faults.open.Done()
	err := w.member.Process.Wait(stopTimeout)
	event := audit.Event{Kind: audit.HostStopped, Target: w.member.Name}
	if err != nil {
		event.ExitStatus = 1
		event.Note = err.Error()
	}
	w.faults.target.Timeline.Add(event)
	if err := w.then(w.member); err != nil {
		w.faults.fail(err)
	}
}
