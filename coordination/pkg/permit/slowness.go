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
	// meanSlownessRate is the weight of the newest response in an endpoint's mean
	// slowness, so low that a slow moment hardly counts in it. maxMeanSlowness bounds
	// what a single response adds to the mean.
	meanSlownessRate = 0.02
	maxMeanSlowness  = 10
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
	// mean is the mean of the values of its responses, zero if none named one. The rates
	// of the endpoint are those at this mean: an endpoint that is always slow has slow
	// rates, although what it says last is soon too old.
	mean float64
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

// relative returns a slowness as a multiple of the endpoint's mean.
func (s slowness) relative(value float64) float64 {
	if s.mean > 0 {
		value /= s.mean
	}
	return max(value, minSlowness)
}

// at returns the slowness, as a multiple of the endpoint's mean, that is assumed at a time, and for how long it is expected to
// last from then on. The assumption returns evenly to the usual.
func (s slowness) at(now Instant) (value float64, left time.Duration) {
	age := max(now.Since(s.heardAt), 0)
	if s.value == 0 || age >= SlownessSpan {
		return usualSlowness, 0
	}
	left = SlownessSpan - age
	return usualSlowness + (s.relative(s.value)-usualSlowness)*left.Seconds()/SlownessSpan.Seconds(), left
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

// inUsualMoment returns the usage as it would be at the endpoint's mean slowness, so that a
// slow moment is not learned as a slow endpoint, and adds to the mean.
func (e *endpoint) inUsualMoment(u Usage) Usage {
	isMeasured := u.FirstByte > 0 || u.Total > 0
	if !isMeasured || (u.Slowness <= 0 && e.slowness.mean == 0) {
		return u
	}
	named := u.Slowness
	if named <= 0 {
		named = usualSlowness
	}
	u = u.without(e.slowness.relative(named))
	e.slowness.addToMean(named)
	return u
}

func (s *slowness) addToMean(named float64) {
	if s.mean == 0 {
		s.mean = usualSlowness
	}
	s.mean += meanSlownessRate * (min(named, maxMeanSlowness) - s.mean)
}

// without returns the usage less what was lost to a slowness. That is known at the first
// part of the answer only, so it applies to the times next to it.
func (u Usage) without(value float64) Usage {
	rest := u.Total - u.FirstByte
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
