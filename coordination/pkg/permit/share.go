package permit

import (
	"math"
	"time"
)

const (
	// shareMemory is the time after which what was asked for and served counts
	// 1/e as much.
	shareMemory = 6 * time.Second
	// leastAsked is how many requests of a tier must count before its share is
	// compared.
	leastAsked = 5
	// noTier says that no tier is served worse than the others.
	noTier = -1
)

// tierShare tells how much of what was asked for of one tier was served in time
// lately. The zero value has seen nothing.
type tierShare struct {
	asked, served float64
	faded         Instant
}

// fade lets time pass.
func (s *tierShare) fade(now Instant) {
	if s.faded > 0 {
		left := math.Exp(-now.Since(s.faded).Seconds() / shareMemory.Seconds())
		s.asked *= left
		s.served *= left
	}
	s.faded = now
}

func (s *tierShare) share() float64 { return s.served / s.asked }

// noteAsked counts a request that can still meet its goal.
func (c *Core) noteAsked(w *waiter) {
	if s := &c.shares[w.ask.Tier]; w.counts() {
		s.fade(c.now)
		s.asked++
	}
}

// noteServed counts a place given in time.
func (c *Core) noteServed(w *waiter) {
	if s := &c.shares[w.ask.Tier]; w.counts() {
		s.fade(c.now)
		s.served++
	}
}

// counts tells whether a request counts in the share of its tier: once, and
// while it can meet its goal.
func (w *waiter) counts() bool { return !w.late && !w.ask.Begun && !w.ask.Repeat }

// findWorst finds the tier of which the least share is served, and how much more
// than its weight one of its requests is worth: what raises the share of the
// worst-served tier counts by itself, beside the worth of all that is served.
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

// weightOf gives what an answer of a tier is worth.
func (c *Core) weightOf(tier int) float64 { return c.weights[min(tier, len(c.weights)-1)] }
