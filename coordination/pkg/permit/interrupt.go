package permit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSuspensions is how often one request may be suspended, so that long
	// requests finish too.
	maxSuspensions = 3
	// interruptLead is how long before its latest start a request interrupts lower
	// work at the latest, because stopping that work takes a message there and back.
	interruptLead = 200 * time.Millisecond
)

// interrupt suspends running requests of lower tiers for requests that would
// otherwise miss their deadlines. It runs after all free slots have been assigned.
func (c *Core) interrupt() {
	beingFreed := c.suspendingCount
	for i, t := range c.tiers {
		if i == len(c.tiers)-1 {
			return // no lower tier has requests
		}
		q := t.queues[onTimeQueue]
		urgent := c.countUrgent(q)
		// Slots that are already being freed serve some of the urgent requests.
		c.freeSlots(q, t.rank, urgent-beingFreed)
		beingFreed = max(0, beingFreed-urgent)
	}
}

func (c *Core) countUrgent(q queue) int {
	urgent := 0
	for _, w := range q[:min(len(q), lookahead)] {
		if c.now >= c.interruptAt(w) {
			urgent++
		}
	}
	return urgent
}

// freeSlots suspends up to the wanted number of running requests whose slots a
// request of the queue can use. That request need not be an urgent one: a slow
// endpoint may be too slow for the urgent ones, and still it must not serve a lower
// tier while others of this tier wait.
func (c *Core) freeSlots(q queue, rank, wanted int) {
	if wanted <= 0 {
		return
	}
	for _, victim := range c.victims(rank) {
		if w := c.waiterFor(q, victim.endpoint); w != nil {
			c.suspend(victim, w.ask.ID)
			wanted--
		}
		if wanted == 0 {
			return
		}
	}
}

// victims returns the running requests that may be suspended for a rank: the lowest
// tier first, and within a tier those with the shortest prompt first, because it must
// be processed again.
func (c *Core) victims(rank int) []*heldPermit {
	var victims []*heldPermit
	for _, e := range c.endpointOrder {
		if !e.open() || !e.pacer.allows(c.now) {
			continue
		}
		for _, h := range e.permits {
			if h.maySuspendFor(rank) {
				victims = append(victims, h)
			}
		}
	}
	slices.SortStableFunc(victims, func(a, b *heldPermit) int {
		return cmp.Or(cmp.Compare(b.ask.Tier, a.ask.Tier), cmp.Compare(a.ask.PromptTokens, b.ask.PromptTokens))
	})
	return victims
}

// waiterFor returns a waiting request that an endpoint could finish in time. It tries
// the most urgent requests first and then the least urgent ones.
func (c *Core) waiterFor(q queue, e *endpoint) *waiter {
	fits := func(w *waiter) bool { return c.now.After(e.estimate(w.ask, c.now)) <= w.ask.Deadline }
	for _, w := range q[:min(len(q), lookahead)] {
		if fits(w) {
			return w
		}
	}
	for i := len(q) - 1; i >= max(0, len(q)-lessUrgentLookahead); i-- {
		if fits(q[i]) {
			return q[i]
		}
	}
	return nil
}

// interruptAt returns when a waiting request may interrupt others.
func (c *Core) interruptAt(w *waiter) Instant {
	maxWait := w.latestStart.Since(w.since)
	lead := time.Duration(float64(maxWait) * c.goodputWeight / 2)
	return w.latestStart.After(-max(lead, interruptLead))
}

func (h *heldPermit) maySuspendFor(rank int) bool {
	running := !h.suspending && h.lostAt == 0
	return running && h.ask.Tier > rank && h.ask.Suspendable && h.ask.Suspensions < maxSuspensions
}

func (c *Core) suspend(h *heldPermit, waitingID string) {
	h.suspending = true
	c.suspendingCount++
	c.actions = append(c.actions, Suspended{ID: h.ask.ID, Host: h.ask.Host, For: waitingID})
}
