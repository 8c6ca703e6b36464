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
func (t Trial) Run(ctx context.Context, progress io.Writer) (audit.Report, error) {
	if err := os.RemoveAll(t.Out); err != nil {
		return audit.Report{}, errors.Wrap(err, "empty the output folder")
	}
	if err := os.MkdirAll(t.Out, 0o755); err != nil {
		return audit.Report{}, errors.Wrap(err, "create the output folder")
	}
	if err := t.runTrace(ctx, progress); err != nil {
		return audit.Report{}, err
	}
	evidence, err := audit.Read(t.Out)
	if err != nil {
		return audit.Report{}, err
	}
	return audit.Check(evidence), nil
}

func (t Trial) runTrace(ctx context.Context, progress io.Writer) error {
	f := fleet.New(t.Bin, t.Out)
	defer f.Stop()
	timeline, err := deployment.NewTimeline(f.Path(audit.TimelineFile))
	if err != nil {
		return err
	}
	outcomes, err := os.Create(f.Path(audit.CallersFile))
	if err != nil {
		return errors.Wrap(err, "create the callers' log")
	}
	defer outcomes.Close()
	plan := deployment.CurrentSizePlan(t.Trace.Deployment, t.Trace.Hosts)
	plan.Record = true
	plan.GoodputWeight = t.Trace.GoodputWeight
	d, err := deployment.Deploy(f, plan, timeline)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer := caller.NewBalancer(d.HostDestinations())
	balancer.Start(ctx)
	if err := awaitReady(ctx, balancer, t.Trace.Hosts); err != nil {
		return err
	}
	fmt.Fprintf(progress, "%s: %d hosts are ready\n", t.Trace.Name, t.Trace.Hosts)
	observer := deployment.NewObserver(d)
	observer.Start(ctx)
	start := time.Now()
	injector := &faultInjector{deployment: d, faults: t.Trace.Faults, start: start, progress: progress}
	injector.pending.Add(1)
	go injector.run(ctx)
	requests := t.Trace.Requests(t.Seed)
	picker, err := t.picker(ctx, d, balancer)
	if err != nil {
		return err
	}
	caller.New(picker, d.Token, outcomes).Send(ctx, requests, start, func(sent int) {
		fmt.Fprintf(progress, "%5.1fs  %d of %d requests sent\n", time.Since(start).Seconds(), sent, len(requests))
	})
	injector.pending.Wait()
	cancel()
	observer.Wait()
	return errors.CombineErrors(injector.err, timeline.Close())
}

func (t Trial) picker(ctx context.Context, d *deployment.Deployment, balancer *caller.Balancer) (caller.Picker, error) {
	if t.Policy == "" {
		return balancer, nil
	}
	baseline, err := caller.NewBaseline(t.Policy, t.Seed, d.EndpointsByService())
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

// faultInjector injects the faults of a trace into the deployment, each at its time.
type faultInjector struct {
	deployment *deployment.Deployment
	faults     []trace.Fault
	start      time.Time
	progress   io.Writer
	pending    sync.WaitGroup

	mu  sync.Mutex
	err error
}

func (f *faultInjector) run(ctx context.Context) {
	defer f.pending.Done()
	for _, fault := range f.faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(f.start.Add(fault.At.Std()))):
		}
		fmt.Fprintf(f.progress, "%5.1fs  %s %s\n", time.Since(f.start).Seconds(), fault.Kind, fault.Target)
		if err := f.inject(fault); err != nil {
			f.addError(errors.Wrapf(err, "fault %s %s", fault.Kind, fault.Target))
		}
	}
}

func (f *faultInjector) addError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = errors.CombineErrors(f.err, err)
}

func (f *faultInjector) inject(fault trace.Fault) error {
	d := f.deployment
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
		return f.scheduleEnd(fault, func() error { return f.signal(fault, syscall.SIGCONT) })
	case "leave-by-operator":
		d.Declared = d.Declared.WithEndpointLeaving(fault.Target)
		d.Timeline.Add(audit.Event{Kind: audit.EndpointLeaving, Target: fault.Target, Note: "operator"})
		return d.Apply()
	case "leave-by-report":
		d.Timeline.Add(audit.Event{Kind: audit.EndpointLeaving, Target: fault.Target, Note: "own report"})
		return f.setFault(fault.Target, `{"leaving":true}`)
	case "leave-by-list":
		d.Timeline.Add(audit.Event{Kind: audit.EndpointLeaving, Target: fault.Target, Note: "host list", At: time.Now().Add(2 * time.Second)})
		return d.SetHostListEntry(fault.Target, deployment.HostListEntry{Address: d.Endpoints[fault.Target], Role: "endpoint", State: "leaving"})
	case "leave-by-refusing":
		return f.setFault(fault.Target, `{"refuse":true}`)
	case "freeze-endpoint":
		return f.setFaultFor(fault, `{"freeze":true}`)
	case "slow-endpoint":
		return f.setFaultFor(fault, `{"slow":8}`)
	case "keyvalue-down":
		return f.setFaultFor(fault, `{"down":true}`)
	case "keyvalue-slow":
		return f.setFaultFor(fault, `{"delay-millis":400}`)
	case "keyvalue-lose-replies":
		return f.setFault("keyvalue", `{"lose-replies":20}`)
	default:
		return errors.Newf("unknown fault %q; docs/TRACES.md lists the faults", fault.Kind)
	}
}

func (f *faultInjector) signal(fault trace.Fault, s syscall.Signal) error {
	process := f.deployment.Processes[fault.Target]
	if process == nil {
		return errors.New("the deployment has no process of this name; correct the target in the trace")
	}
	f.deployment.Timeline.Add(audit.Event{Kind: audit.Fault, Target: fault.Target, Note: fault.Kind + " " + s.String()})
	return process.Signal(s)
}

func (f *faultInjector) setFault(target, body string) error {
	url := "http://" + f.deployment.Endpoints[target]
	if target == "keyvalue" {
		url = f.deployment.KeyValue
	}
	return f.deployment.Call(http.MethodPost, url+"/faults", rawJSON(body))
}

// rawJSON is a request body that is already encoded as JSON.
type rawJSON string

// MarshalJSON returns the text unchanged.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }

func (f *faultInjector) setFaultFor(fault trace.Fault, body string) error {
	target := fault.Target
	if target == "" {
		target = "keyvalue"
	}
	f.deployment.Timeline.Add(audit.Event{Kind: audit.Fault, Target: target, Note: fault.Kind})
	if err := f.setFault(target, body); err != nil {
		return err
	}
	return f.scheduleEnd(fault, func() error { return f.setFault(target, `{}`) })
}

// scheduleEnd ends a fault after its duration. It does not block, so that the
// faults that follow are injected on time.
func (f *faultInjector) scheduleEnd(fault trace.Fault, end func() error) error {
	if fault.For <= 0 {
		return nil
	}
	f.pending.Add(1)
	scheduled := &scheduledEnd{injector: f, after: fault.For.Std(), end: end}
	go scheduled.run()
	return nil
}

// scheduledEnd is the scheduled end of a fault.
type scheduledEnd struct {
	injector *faultInjector
	after    time.Duration
	end      func() error
}

func (l *scheduledEnd) run() {
	defer l.injector.pending.Done()
	time.Sleep(l.after)
	if err := l.end(); err != nil {
		l.injector.addError(err)
	}
}

// replaceHost stops a host and starts it again after its process has ended.
func (f *faultInjector) replaceHost(name string) error {
	return f.stopHostThen(name, f.deployment.Restart)
}

func (f *faultInjector) stopHost(name string) error {
	return f.stopHostThen(name, func(*deployment.Host) error { return nil })
}

// stopHostThen asks a host to stop and returns. When the host has exited,
// afterExit runs.
func (f *faultInjector) stopHostThen(name string, afterExit func(*deployment.Host) error) error {
	host, err := f.deployment.Host(name)
	if err != nil {
		return err
	}
	f.deployment.Timeline.Add(audit.Event{Kind: audit.HostStopping, Target: name})
	if err := host.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	f.pending.Add(1)
	exit := &hostExit{injector: f, host: host, afterExit: afterExit}
	go exit.run()
	return nil
}

// hostExit waits for the exit of a stopping host, records it in the timeline and
// then runs afterExit.
type hostExit struct {
	injector  *faultInjector
	host      *deployment.Host
	afterExit func(*deployment.Host) error
}

func (w *hostExit) run() {
	defer w.injector.pending.Done()
	err := w.host.Process.Wait(stopTimeout)
	event := audit.Event{Kind: audit.HostStopped, Target: w.host.Name}
	if err != nil {
		event.ExitStatus = 1
		event.Note = err.Error()
	}
	w.injector.deployment.Timeline.Add(event)
	if err := w.afterExit(w.host); err != nil {
		w.injector.addError(err)
	}
}
