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

// SlownessDiffers reports whether a slowness that an endpoint states differs enough from
// the one that the owner knows to be reported. A known one of zero stands for the usual.
func SlownessDiffers(known, stated float64) bool {
	if known == 0 {
		known = usualSlowness
	}
	return math.Abs(stated-known) >= slownessStep*known
}

// IsUnusual reports whether a slowness differs from the usual.
func IsUnusual(slowness float64) bool { return SlownessDiffers(usualSlowness, slowness) }

// slowness is what an endpoint stated last of how long work takes on its machine, as a
// multiple of the usual. The zero value is that of an endpoint that never stated one.
type slowness struct {
	value     float64
	arrivedAt Instant
	// mean is the moving average of the values of its responses; zero if none stated one.
	// The rates of the endpoint are those at this mean, so that an endpoint that is always
	// slow has slow rates even when its last value is too old to count.
	mean float64
}

// set applies what an answer said that arrived at a time, unless a later one is known.
func (s *slowness) set(value float64, arrivedAt Instant) {
	if value > 0 && arrivedAt >= s.arrivedAt {
		s.value, s.arrivedAt = value, arrivedAt
	}
}

// lastUnusual returns the last value, or zero if that is usual. Hosts need not report it
// again.
func (s slowness) lastUnusual() float64 {
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

// at returns the slowness that is assumed at a time, as a multiple of the endpoint's mean,
// and for how long it is expected to last from then on. The value falls off linearly to the
// usual.
func (s slowness) at(now Instant) (value float64, left time.Duration) {
	age := max(now.Since(s.arrivedAt), 0)
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
	bound := lostTime(left, value)
	if value < usualSlowness {
		return usual + max(whole, bound)
	}
	return usual + min(whole, bound)
}

// lostTime returns how much of a time is lost to a slowness that lasts for all of it. It is
// negative for a slowness below the usual, at which time is gained.
func lostTime(took time.Duration, value float64) time.Duration {
	return time.Duration(float64(took) * (1 - usualSlowness/value))
}

// atMeanSlowness returns the usage as it would be at the endpoint's mean slowness, so that a
// short slowdown is not learned as a slow endpoint.
func (e *endpoint) atMeanSlowness(u Usage) Usage {
	stated, isStated := e.statedSlowness(u)
	if !isStated {
		return u
	}
	return u.without(e.slowness.relative(stated))
}

// learnSlowness updates the mean slowness from an answer. It is called once for each.
func (e *endpoint) learnSlowness(u Usage) {
	if stated, isStated := e.statedSlowness(u); isStated {
		e.slowness.addToMean(stated)
	}
}

// statedSlowness returns the slowness that an answer stated; false if it measured nothing,
// or if the endpoint never stated one.
func (e *endpoint) statedSlowness(u Usage) (float64, bool) {
	isMeasured := u.FirstByte > 0 || u.Total > 0
	if !isMeasured || (u.Slowness <= 0 && e.slowness.mean == 0) {
		return 0, false
	}
	if u.Slowness <= 0 {
		return usualSlowness, true
	}
	return u.Slowness, true
}

func (s *slowness) addToMean(stated float64) {
	if s.mean == 0 {
		s.mean = usualSlowness
	}
	s.mean += meanSlownessRate * (min(stated, maxMeanSlowness) - s.mean)
}

// without returns the usage less the time that was lost to a slowness. The slowness is
// known only for the first part of the answer, so that it applies for at most SlownessSpan
// before and after that.
func (u Usage) without(value float64) Usage {
	rest := u.Total - u.FirstByte
	lostInRest := lostTime(min(rest, SlownessSpan), value)
	u.FirstByte -= lostTime(min(u.FirstByte, SlownessSpan), value)
	if u.Total > 0 {
		u.Total = u.FirstByte + rest - lostInRest
	}
	return u
}

// setSlowness applies what an endpoint states of its slowness.
func (c *Core) setSlowness(e Slowed) {
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
