// Package boottime reads the clock that also counts the time in which the host
// stood still. Ages that guard a promise use it: the runtime's own clock stops
// while a host is suspended, and the time of day may jump.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now gives the time since the host was started. Only differences mean
// something.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// A kernel without this clock has no other that counts such time.
		return time.Since(started)
	}
	return time.Duration(at.Nano())
}

var started = time.Now()
