package permit

import (
	"math"
	"time"
)

const (
	// shareDecayTime is the time in which the counts of asked and served requests
	// decay to 1/e.
	shareDecayTime = 6 * time.Second
	// minAsked is how many requests of a tier must have been counted before its
	// share is compared.
	minAsked = 5
)

// tierCount counts the recent requests of one tier, and those that were served in time.
// Both counts decay exponentially. The zero value has counted none.
type tierCount struct {
	asked, served float64
	decayedAt     Instant
}

// decay decays the counts by the time since the last call.
func (s *tierCount) decay(now Instant) {
	if s.decayedAt > 0 {
		factor := math.Exp(-now.Since(s.decayedAt).Seconds() / shareDecayTime.Seconds())
		s.asked *= factor
		s.served *= factor
	}
	s.decayedAt = now
}

func (s *tierCount) share() float64 { return s.served / s.asked }

// countAsked counts an arriving request that can still meet its goal.
func (c *Core) countAsked(w *waiter) {
	if s := &c.tierOf(w.ask.Tier).count; w.countsForShare() {
		s.decay(c.now)
		s.asked++
	}
}

// countServed counts a request that was granted a slot in time.
func (c *Core) countServed(w *waiter) {
	if s := &c.tierOf(w.ask.Tier).count; w.countsForShare() {
		s.decay(c.now)
		s.served++
	}
}

// countsForShare reports whether a request counts in the share of its tier. It
// counts once, and only while it can meet its goal.
func (w *waiter) countsForShare() bool { return !w.late && !w.ask.Begun && !w.ask.Repeat }

// findWorstTier finds the tier with the smallest share of requests served, and the
// factor for the weight of its requests. Raising the share of the worst-served tier
// has a value of its own, in addition to the value of all that is served.
func (c *Core) findWorstTier() {
	c.worstTier, c.worstTierFactor = nil, 1
	if c.worstWeight == 0 {
		return
	}
	totalValue, smallest := 0.0, 0.0
	for _, t := range c.tiers {
		s := &t.count
		s.decay(c.now)
		if s.asked < minAsked {
			continue
		}
		totalValue += s.asked * c.weightOf(t.rank)
		if c.worstTier == nil || s.share() < smallest {
			c.worstTier, smallest = t, s.share()
		}
	}
	if c.worstTier != nil {
		own := c.worstTier.count.asked * c.weightOf(c.worstTier.rank)
		c.worstTierFactor = 1 + c.worstWeight*totalValue/own
	}
}

// weightOf returns the relative value of an answer of a rank.
func (c *Core) weightOf(rank int) float64 { return c.weights[min(rank, len(c.weights)-1)] }
