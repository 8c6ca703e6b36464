package permit

import (
	"cmp"
	"slices"
)

// idleAsked is the decayed count of recent requests below which a tier counts as idle.
const idleAsked = 0.01

// tier holds the state of the requests of one rank.
type tier struct {
	rank   int
	queues [queuesPerTier]queue
	// meanWork is the moving average of the work of the requests, in slot-seconds.
	meanWork float64
	// offeredWork is the work that arrived recently, in slot-seconds.
	offeredWork slidingWindow
	count       tierCount
}

// tierOf returns the tier of a rank, and begins it with the first request of that rank.
// So what decisions cost depends on how many ranks are in use, not on their numbers.
func (c *Core) tierOf(rank int) *tier {
	i, found := slices.BinarySearchFunc(c.tiers, rank, func(t *tier, rank int) int { return cmp.Compare(t.rank, rank) })
	if !found {
		t := &tier{rank: rank, offeredWork: slidingWindow{bucketWidth: int64(offeredWindow) / windowBuckets}}
		c.tiers = slices.Insert(c.tiers, i, t)
	}
	return c.tiers[i]
}

// dropIdleTiers forgets the tiers without present and recent requests.
func (c *Core) dropIdleTiers() {
	held := map[int]bool{}
	for _, h := range c.held {
		held[h.ask.Tier] = true
	}
	c.tiers = slices.DeleteFunc(c.tiers, func(t *tier) bool {
		t.count.decay(c.now)
		return !held[t.rank] && t.count.asked < idleAsked && !t.isOffered(c.now)
	})
}

// isOffered reports whether requests of the tier wait or arrived recently.
func (t *tier) isOffered(now Instant) bool {
	for _, q := range t.queues {
		if len(q) > 0 {
			return true
		}
	}
	t.offeredWork.advance(now)
	return t.offeredWork.sum() > 0
}

// offeredSlots returns the number of slots that the arriving work of the tier fills.
func (t *tier) offeredSlots(now Instant) float64 {
	t.offeredWork.advance(now)
	return t.offeredWork.sum() / offeredWindow.Seconds()
}

// meanWorkOrDefault returns the mean work of the tier's requests, in slot-seconds.
func (t *tier) meanWorkOrDefault() float64 {
	if t.meanWork > 0 {
		return t.meanWork
	}
	return defaultWork
}

// servedQueue is one queue in the order in which queues are served.
type servedQueue struct {
	tier *tier
	kind int
}

func (s servedQueue) queue() *queue { return &s.tier.queues[s.kind] }
