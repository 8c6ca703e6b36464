package permit

import "time"

// Instant is a point in time in nanoseconds since 1970 UTC, as read by the caller
// of the core. The core itself never reads a clock.
type Instant int64

// After returns the instant t+d.
func (t Instant) After(d time.Duration) Instant { return t + Instant(d) }

// time returns the instant for libraries that take the runtime's times.
func (t Instant) time() time.Time { return time.Unix(0, int64(t)) }

// Since returns the time elapsed from earlier to t.
func (t Instant) Since(earlier Instant) time.Duration { return time.Duration(t - earlier) }
