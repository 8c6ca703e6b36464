package permit

import (
	"math"
	"time"
)

const (
	// shareMemory is the time after which the count of asked and served requests has
	// decayed to 1/e.
	shareMemory = 6 * time.Second
	// leastAsked is how many requests of a tier must have been counted before its
	// share is compared.
	leastAsked = 5
	// noTier means that no tier is served worse than the others.
	noTier = -1
)

// tierShare counts how many of the recent requests of one tier were served in time.
// Both counts decay exponentially. The zero value has counted none.
type tierShare struct {
	asked, served float64
	faded         Instant
}

// fade decays the counts by the time since the last call.
func (s *tierShare) fade(now Instant) {
	if s.faded > 0 {
		left := math.Exp(-now.Since(s.faded).Seconds() / shareMemory.Seconds())
		s.asked *= left
		s.served *= left
	}
	s.faded = now
}

func (s *tierShare) share() float64 { return s.served / s.asked }

// noteAsked counts an arriving request that can still meet its goal.
func (c *Core) noteAsked(w *waiter) {
	if s := &c.shares[w.ask.Tier]; w.counts() {
		s.fade(c.now)
		s.asked++
	}
}

// noteServed counts a request that was granted a slot in time.
func (c *Core) noteServed(w *waiter) {
	if s := &c.shares[w.ask.Tier]; w.counts() {
		s.fade(c.now)
		s.served++
	}
}

// counts reports whether a request counts in the share of its tier. A request counts
// once, and only while it can meet its goal.
func (w *waiter) counts() bool { return !w.late && !w.ask.Begun && !w.ask.Repeat }

// findWorst finds the tier with the smallest share of requests served, and the
// factor for the weight of its requests. Raising the share of the worst-served tier
// has a value of its own, in addition to the value of all that is served.
func (c *Core) findWorst() {
	c.worst, c.worstFactor = noTier, 1
	if c.worstWeight == 0 {
		return
	}
	all, least := 0.0, 0.0
	for tier := range c.shares {
		s := &c.shares[tier]
		s.fade(c.now)
		if s.asked < leastAsked {
			continue
		}
		all += s.asked * c.weightOf(tier)
		if c.worst == noTier || s.share() < least {
			c.worst, least = tier, s.share()
		}
	}
	if c.worst != noTier {
		own := c.shares[c.worst].asked * c.weightOf(c.worst)
		c.worstFactor = 1 + c.worstWeight*all/own
	}
}

// weightOf returns the relative value of an answer of a tier.
func (c *Core) weightOf(tier int) float64 { return c.weights[min(tier, len(c.weights)-1)] }
