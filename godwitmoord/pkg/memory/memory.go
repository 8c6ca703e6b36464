// Package memory sets how far the heap may grow between two collections.
//
// A share of the live heap alone does not suit a host: while it holds little, a
// small share means a collection every few requests; while it holds thousands
// of streams, the usual share doubles its memory. So the heap may grow by a
// fixed room, or by a small share where that is more.
package memory

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// room is the growth, in bytes, that is always allowed.
	room = 8 << 20
	// leastPercent is the growth allowed for a large heap.
	leastPercent = 30
	mostPercent  = 800
	interval     = time.Second
	liveMetric   = "/gc/heap/live:bytes"
)

// Service adjusts the collector. The zero value works.
type Service struct{}

// Start begins to adjust.
func (s *Service) Start(ctx context.Context) error {
	go s.run(ctx)
	return nil
}

// Stop has nothing to end beyond the context.
func (s *Service) Stop(context.Context) error { return nil }

func (s *Service) run(ctx context.Context) {
	sample := []metrics.Sample{{Name: liveMetric}}
	last := 0
	for {
		metrics.Read(sample)
		if percent := percentFor(sample[0].Value.Uint64()); percent != last {
			debug.SetGCPercent(percent)
			last = percent
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// percentFor gives the growth allowed beside a live heap, in percent.
func percentFor(live uint64) int {
	percent := mostPercent
	if live > 0 {
		percent = int(min(100*room/live, mostPercent))
	}
	return max(percent, leastPercent)
}
