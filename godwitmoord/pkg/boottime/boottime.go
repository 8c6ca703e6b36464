// Package boottime reads the clock that keeps counting while the host is
// suspended. Use it for ages that must not be underestimated, such as that of a
// freshness proof: Go's monotonic clock stops during a suspension, and the time of
// day may jump.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted. Use only the difference of two
// values: on a kernel without this clock the value counts from the start of the
// process.
func Now() time.Duration { return (*clock.Load())() }

// Use replaces the clock, for tests that pause and advance the time of the runtime, and
// returns a function that restores it.
func Use(replacement func() time.Duration) (restore func()) {
	previous := clock.Swap(&replacement)
	return func() { clock.Store(previous) }
}

// clock is what Now reads.
var clock = func() *atomic.Pointer[func() time.Duration] {
	var p atomic.Pointer[func() time.Duration]
	read := readKernel
	p.Store(&read)
	return &p
}()

// readKernel reads the clock of the kernel.
func readKernel() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// No other clock counts the time of a suspension, so fall back to the monotonic
		// clock.
		return time.Since(started)
	}
	return time.Duration(at.Nano())
}

var started = time.Now()
