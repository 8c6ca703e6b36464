package measure

import (
	"context"
	"fmt"
	"time"

	"godwitmoor.example/replay/pkg/deployment"
)

const (
	settleDelay  = 8 * time.Second
	idleDuration = 10 * time.Second
	// Upper bounds of what one host may use for control, from the users'
	// requirements: percent of a core, MB of resident memory, KB/s of traffic.
	cpuBound     = 2.6
	memoryBound  = 32.0
	trafficBound = 21.0
)

// Capacity measures the processor time, memory and network traffic that an idle
// host uses for control, for each deployment size in sizes.
func Capacity(ctx context.Context, s Options, sizes []int) error {
	r := &report{out: s.Writer}
	for _, size := range sizes {
		if err := measureIdle(ctx, s, r, size); err != nil {
			return err
		}
	}
	return r.err()
}

// resourceUsage is what the hosts use for control: the sum over all hosts as
// sampleUsage returns it, or the rates and means computed from two samples.
type resourceUsage struct {
	cpu      float64
	resident float64
	bytes    float64
	calls    float64
}

func (u resourceUsage) minus(earlier resourceUsage) resourceUsage {
	return resourceUsage{
		cpu:      u.cpu - earlier.cpu,
		resident: u.resident - earlier.resident,
		bytes:    u.bytes - earlier.bytes,
		calls:    u.calls - earlier.calls,
	}
}

func measureIdle(ctx context.Context, s Options, r *report, size int) error {
	plan := deployment.Plan{Kind: "hsu", Hosts: size, Engines: 1, Desks: 1, Generations: deployment.Generations}
	run, err := start(ctx, s, fmt.Sprintf("idle-%d", size), plan)
	if err != nil {
		return err
	}
	defer run.stop()
	time.Sleep(settleDelay)
	before, err := run.sampleUsage()
	if err != nil {
		return err
	}
	callsBefore, err := run.calls()
	if err != nil {
		return err
	}
	time.Sleep(idleDuration)
	after, err := run.sampleUsage()
	if err != nil {
		return err
	}
	callsAfter, err := run.calls()
	if err != nil {
		return err
	}
	seconds, hosts := idleDuration.Seconds(), float64(size)
	mean := resourceUsage{
		cpu:      100 * (after.cpu - before.cpu) / seconds / hosts,
		resident: after.resident / hosts / megabyte,
		bytes:    (after.bytes - before.bytes) / seconds / hosts / kilobyte,
		calls:    float64(callsAfter.Reads-callsBefore.Reads) / seconds,
	}
	name := fmt.Sprintf("idle, %d hosts: ", size)
	r.checkTarget(name+"share of a core", mean.cpu, cpuBound, "%")
	r.checkTarget(name+"resident memory", mean.resident, memoryBound, " MB")
	r.checkTarget(name+"calls made to peers", mean.bytes, trafficBound/2, " KB/s")
	r.printFigure(name+"key-value reads, all hosts", "%.1f/s", mean.calls)
	return nil
}

func (r *measuredDeployment) sampleUsage() (resourceUsage, error) {
	var sum resourceUsage
	for _, h := range r.Hosts {
		u, err := usageOf(h.Process.Pid())
		if err != nil {
			return sum, err
		}
		m, err := metricsOf(h)
		if err != nil {
			return sum, err
		}
		sum.cpu += u.cpu.Seconds()
		sum.resident += float64(u.resident)
		sum.bytes += float64(m.PeerBytes.Count)
		sum.calls += float64(m.PeerCalls.Count)
	}
	return sum, nil
}
