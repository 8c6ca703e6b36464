package deployment

import (
	"context"
	"syscall"
	"time"

	"godwitmoor.example/review/harness/fleet"
)

const (
	// MemoryMB is MemoryMb of the sheet: a process that exceeds it is killed.
	MemoryMB = 284
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay  = time.Second
	watchInterval = 20 * time.Millisecond
)

// MemoryWatch does with each process what the platform does: it kills one that exceeds
// MemoryMB, and starts one again that ended.
type MemoryWatch struct {
	deployment *Deployment
	cancel     context.CancelFunc
	ended      chan struct{}
	ends       map[string]int
	largest    int
}

// WatchMemory begins to watch the processes of all hosts.
func (d *Deployment) WatchMemory() *MemoryWatch {
	ctx, cancel := context.WithCancel(d.ctx)
	w := &MemoryWatch{deployment: d, cancel: cancel, ended: make(chan struct{}), ends: map[string]int{}}
	go w.run(ctx)
	return w
}

func (w *MemoryWatch) run(ctx context.Context) {
	defer close(w.ended)
	startAt := map[*fleet.Host]time.Time{}
	for ctx.Err() == nil {
		for _, h := range w.deployment.Fleet.Hosts {
			w.check(h, startAt)
		}
		time.Sleep(watchInterval)
	}
}

// check does what is due for one host.
func (w *MemoryWatch) check(h *fleet.Host, startAt map[*fleet.Host]time.Time) {
	d := w.deployment
	if at, waits := startAt[h]; waits {
		if time.Now().After(at) {
			delete(startAt, h)
			err := d.Fleet.StartHost(h)
			d.Record.Line("platform: %s started again, error %v", h.Name, err)
		}
		return
	}
	used := h.MemoryMB()
	w.largest = max(w.largest, used)
	if used <= MemoryMB {
		return
	}
	h.Signal(syscall.SIGKILL)
	<-h.Exited()
	w.ends[h.Name]++
	startAt[h] = time.Now().Add(restartDelay)
	d.Record.Line("platform: %s killed at %d MB, over the limit of %d MB, for the %d. time", h.Name, used, MemoryMB, w.ends[h.Name])
}

// Stop ends the watch. It returns how often the process of each host exceeded its
// memory, and the largest memory seen in MB.
func (w *MemoryWatch) Stop() (ends map[string]int, largest int) {
	w.cancel()
	<-w.ended
	return w.ends, w.largest
}

// IsFault reports whether processes ended by themselves three times on a tenth of the
// machines, two at least.
func IsFault(ends map[string]int, machines int) bool {
	const timesEach = 3
	affected := 0
	for _, times := range ends {
		if times >= timesEach {
			affected++
		}
	}
	return affected >= max(2, (machines+9)/10)
}
