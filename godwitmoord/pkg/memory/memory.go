// Package memory sets how far the heap may grow between two garbage collections.
//
// A fixed percentage of the live heap does not suit a host. While the heap is
// small, a low percentage causes a collection every few requests; with thousands
// of open streams, Go's default percentage doubles the memory. So the heap may
// grow by a fixed number of bytes, or by a low percentage where that is more. Where the
// settings bound the memory of the process, the runtime also collects as often as it
// must to stay below a part of that.
package memory

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// minGrowthBytes is the growth in bytes that is allowed for a heap of any
	// size, within mostPercent.
	minGrowthBytes = 8 << 20
	// minPercent is the growth allowed for a large heap.
	minPercent = 30
	// maxPercent bounds the growth of a small heap.
	maxPercent = 800
	interval   = time.Second
	// The runtime's limit is limitNumerator / limitDenominator of the memory of the
	// process. The rest is for the program's text and for threads, which the runtime
	// does not count, and for what it can't collect in time.
	limitNumerator   = 3
	limitDenominator = 4
	liveMetric       = "/gc/heap/live:bytes"
)

// Service sets the garbage collector's target percentage, and the runtime's memory
// limit. The zero value is ready to use and sets no limit.
type Service struct {
	// Limit is the memory that the process may use, in bytes; zero means no limit.
	Limit int64
}

// Start sets the limit, and adjusts the percentage at every interval until ctx ends.
func (s *Service) Start(ctx context.Context) error {
	if s.Limit > 0 {
		debug.SetMemoryLimit(limitFor(s.Limit))
	}
	go s.run(ctx)
	return nil
}

// Stop does nothing: the work ends with the context of Start.
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

// limitFor returns the runtime's memory limit in bytes for a process that may use
// memory, in bytes.
func limitFor(memory int64) int64 { return memory * limitNumerator / limitDenominator }

// percentFor returns the growth allowed for a live heap of the given bytes, in
// percent.
func percentFor(live uint64) int {
	percent := maxPercent
	if live > 0 {
		percent = int(min(100*minGrowthBytes/live, maxPercent))
	}
	return max(percent, minPercent)
}
