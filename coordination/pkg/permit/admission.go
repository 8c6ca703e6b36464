package permit

import (
	"container/heap"
	"slices"
)

func (c *Core) ask(a Ask) {
	if c.waiting == nil || c.waiting[a.ID] != nil {
		return
	}
	if h := c.held[a.ID]; h != nil {
		// The grant was lost in transit, or it crossed the repeated ask.
		c.actions = append(c.actions, Granted{
			ID: a.ID, Host: a.Host, Endpoint: h.endpoint.rules.Name, Estimate: h.estimate, Limit: h.endpoint.pacer.limit,
			Slowness: h.endpoint.slowness.lastUnusual(), Leaves: c.leaves(a, h.endpoint),
		})
		return
	}
	a.Tier = max(a.Tier, 0)
	a.Goal = c.refusedGoals.originalGoal(a, c.now)
	w := &waiter{ask: a, since: c.now, sequence: c.sequence}
	c.recogniseReturn(w)
	c.sequence++
	if key, left := c.quarantine.check(a, c.now); key != "" {
		c.refuseHeld(w, key, left)
		return
	}
	c.quarantine.tryAgain(a, c.now)
	c.updateLatestStart(w)
	if !c.admit(w) {
		return
	}
	c.estimateWork(w)
	c.countAsked(w)
	offered := &c.tierOf(a.Tier).offeredWork
	offered.advance(c.now)
	offered.add(c.now, w.work)
	if len(c.waiting) >= c.queueLimit && !c.makeRoom(a.Tier) {
		c.refuse(w, QueueFull)
		return
	}
	c.waiting[a.ID] = w
	c.arrived = w
	heap.Push(c.queueOf(w), w)
}

// admit checks a new ask against the retry budget and the quota of its customer,
// and refuses it if it exceeds one of them.
func (c *Core) admit(w *waiter) bool {
	if w.ask.Returned {
		return c.admitReturned(w)
	}
	if !c.repeats.admit(c.now, w.ask.Repeat) {
		c.refuse(w, NoRepeat)
		return false
	}
	if w.ask.Repeat {
		// The first attempt was charged to the quota.
		return true
	}
	return c.chargeQuota(w)
}

// chargeQuota charges an ask to the quota of its customer, and refuses it if there is no
// room.
func (c *Core) chargeQuota(w *waiter) bool {
	wait, charged := c.charge(w.ask)
	if !charged {
		if c.fitsTotal(w.ask) {
			wait = min(wait, divisionRetryAfter)
		}
		c.refuseWithRetryAfter(w, OverQuota, wait)
	}
	w.charged = charged
	return charged
}

// admitReturned admits an ask whose earlier permit was returned before anything was
// sent. This owner charged it already if it made that permit.
func (c *Core) admitReturned(w *waiter) bool {
	if c.unsent.take(w.ask.Request, c.now) {
		return true
	}
	return c.chargeQuota(w)
}

// makeRoom refuses one waiting request of a tier below the given rank, and reports
// whether it found one.
func (c *Core) makeRoom(rank int) bool {
	for _, t := range slices.Backward(c.tiers) {
		if t.rank <= rank {
			return false
		}
		for _, kind := range []int{beyondQueue, lateQueue, onTimeQueue, returnedQueue} {
			q := t.queues[kind]
			if len(q) == 0 {
				continue
			}
			// The last element of the heap is a leaf, so it is never the most urgent
			// one unless it is the only one.
			w := q[len(q)-1]
			c.dequeue(w)
			c.refuse(w, Displaced)
			return true
		}
	}
	return false
}
