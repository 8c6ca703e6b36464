package permit

import (
	"math"
	"time"
)

const (
	// SlownessSpan is how long what an endpoint says of its slowness is expected to
	// last. Other programs on the machine of an endpoint run for some hundred
	// milliseconds at a time; a value that is older says nothing.
	SlownessSpan = 600 * time.Millisecond
	// slownessStep is the relative difference from which one slowness differs from
	// another. A smaller one changes an estimate by less than its usual error.
	slownessStep = 0.25
	// usualSlowness is that of a machine on which work takes its usual time.
	usualSlowness = 1
	// minSlowness is the smallest slowness that counts as such. Other programs make a
	// machine slower; one that claims to be far faster must not draw all requests.
	minSlowness = 0.5
)

// SlownessDiffers reports whether an owner that last heard of one slowness has to hear of
// another one. Zero stands for the usual.
func SlownessDiffers(heard, named float64) bool {
	if heard == 0 {
		heard = usualSlowness
	}
	return math.Abs(named-heard) >= slownessStep*heard
}

// IsUnusual reports whether a slowness differs from the usual.
func IsUnusual(slowness float64) bool { return SlownessDiffers(usualSlowness, slowness) }

// slowness is what an endpoint said last of how long work takes on its machine, as a
// multiple of the usual. The zero value is one that it never named.
type slowness struct {
	value   float64
	heardAt Instant
}

// set applies what an answer said that arrived at a time, unless a later one is known.
func (s *slowness) set(value float64, heardAt Instant) {
	if value > 0 && heardAt >= s.heardAt {
		s.value, s.heardAt = value, heardAt
	}
}

// heard returns what a host need not report: the last value, or zero if that is usual.
func (s slowness) heard() float64 {
	if !IsUnusual(s.value) {
		return 0
	}
	return s.value
}

// at returns the slowness that is assumed at a time, and for how long it is expected to
// last from then on. The assumption returns evenly to the usual.
func (s slowness) at(now Instant) (value float64, left time.Duration) {
	age := max(now.Since(s.heardAt), 0)
	if s.value == 0 || age >= SlownessSpan {
		return usualSlowness, 0
	}
	left = SlownessSpan - age
	return usualSlowness + (max(s.value, minSlowness)-usualSlowness)*left.Seconds()/SlownessSpan.Seconds(), left
}

// extend returns how long work will take that begins at a time and usually takes as long
// as given. Only what runs while the slowness lasts takes longer, or shorter.
func (s slowness) extend(usual time.Duration, begin Instant) time.Duration {
	value, left := s.at(begin)
	if left == 0 {
		return usual
	}
	whole := time.Duration(float64(usual) * (value - usualSlowness))
	most := lostTime(left, value)
	if value < usualSlowness {
		return usual + max(whole, most)
	}
	return usual + min(whole, most)
}

// lostTime returns how much of a time is lost to a slowness that lasts as long.
func lostTime(took time.Duration, value float64) time.Duration {
	return time.Duration(float64(took) * (1 - usualSlowness/value))
}

// atUsualSpeed returns the usage of the same request on a machine of the usual speed, so
// that a slow moment is not learned as a slow endpoint. The slowness is known at the
// first part of the answer only, so it applies to the times next to that.
func (u Usage) atUsualSpeed() Usage {
	if u.Slowness <= 0 {
		return u
	}
	value, rest := max(u.Slowness, minSlowness), u.Total-u.FirstByte
	lostInRest := lostTime(min(rest, SlownessSpan), value)
	u.FirstByte -= lostTime(min(u.FirstByte, SlownessSpan), value)
	if u.Total > 0 {
		u.Total = u.FirstByte + rest - lostInRest
	}
	return u
}

// slow applies what an endpoint says of its slowness.
func (c *Core) slow(e Slowed) {
	target := c.endpoints[e.Endpoint]
	if target == nil {
		return
	}
	before, _ := target.slowness.at(c.now)
	target.slowness.set(e.Slowness, e.At.After(-e.Age))
	after, _ := target.slowness.at(c.now)
	// An endpoint that became slower suits no request that it did not suit before.
	target.changed = target.changed || after < before
}
