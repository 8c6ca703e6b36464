package permit

import (
	"container/heap"
	"time"
)

const (
	// shedRatio is the ratio of the expected wait to the longest possible wait from
	// which a request is refused. It is above 1 because the expected wait is a mean.
	shedRatio = 1.25
	// minSlotShare is the smallest share of the slots that a queue is assumed to get
	// after the queues before it are served.
	minSlotShare = 0.2
	// maxShedRetryAfter is the longest wait advised to a refused caller that has a goal.
	maxShedRetryAfter = 4 * time.Second
	// minShedRetryAfter is the shortest wait advised to such a caller.
	minShedRetryAfter = 250 * time.Millisecond
	// lateStartInterval is how long the latest start of a request that misses its goal
	// is taken as unchanged.
	lateStartInterval = 250 * time.Millisecond
	// offeredWindow is the window over which arriving work is measured.
	offeredWindow = 2 * time.Second
)

// updateLatestStart computes until when a request can wait, and marks it as late if
// it can no longer meet its goal.
func (c *Core) updateLatestStart(w *waiter) {
	w.latestStart = c.latestStart(w.ask)
	if w.ask.Goal == 0 {
		return
	}
	first := c.fastestFirstPart(w.ask)
	onTime := c.latestOnTimeStart(w.ask, first)
	if !w.late && c.now <= onTime {
		w.latestStart = min(w.latestStart, onTime)
		return
	}
	w.late = true
	if w.ask.Patience > 0 {
		w.latestStart = min(w.latestStart, w.ask.Patience.After(-first))
	}
}

// latestOnTimeStart returns when a request must start for its first part to come by its
// goal, given the time to the first part.
func (c *Core) latestOnTimeStart(a Ask, first time.Duration) Instant {
	return a.Goal.After(-c.rates.overshoot.withMargin(first))
}

// fastestFirstPart returns the time to the first part at the fastest open endpoint,
// without the prompts queued there.
func (c *Core) fastestFirstPart(a Ask) time.Duration {
	best := time.Duration(-1)
	for _, e := range c.endpointOrder {
		if first := e.unqueuedFirstPartTime(a); e.open() && (best < 0 || first < best) {
			best = first
		}
	}
	return max(best, 0)
}

// expire refuses the requests at the head of a queue that are too late. Learned rates
// change while requests wait, so the latest start of the head is computed again and
// its position in the heap is corrected.
func (c *Core) expire(q *queue) {
	c.expireUnordered(q)
	for q.Len() > 0 {
		w := (*q)[0]
		if c.moveIfLate(w) {
			continue
		}
		if !c.isTooLate(w) {
			heap.Fix(q, 0)
			if (*q)[0] == w {
				return
			}
			continue
		}
		c.dequeue(w)
		c.refuse(w, TooLate)
	}
}

// moveIfLate moves a request that can no longer meet its goal to the late queue of its
// tier, and reports whether it did.
func (c *Core) moveIfLate(w *waiter) bool {
	if w.late || w.ask.Goal == 0 || w.ask.Begun || c.now <= c.latestOnTimeStart(w.ask, c.fastestFirstPart(w.ask)) {
		return false
	}
	heap.Remove(c.queueOf(w), w.position)
	c.updateLatestStart(w)
	heap.Push(c.queueOf(w), w)
	return true
}

// isTooLate reports whether no open endpoint can finish the request in time any
// more. If no endpoint is open, the request may wait until its deadline.
func (c *Core) isTooLate(w *waiter) bool {
	if c.now > w.ask.Deadline {
		return true
	}
	if w.ask.Goal == 0 || w.late {
		c.updateLatestStart(w)
	}
	return c.now > w.latestStart && (w.ask.Goal == 0 || w.late)
}

// latestStart returns when the fastest open endpoint must start the request.
func (c *Core) latestStart(a Ask) Instant {
	best := time.Duration(-1)
	for _, e := range c.endpointOrder {
		if !e.open() {
			continue
		}
		if estimate := e.requiredTime(a); best < 0 || estimate < best {
			best = estimate
		}
	}
	return a.Deadline.After(-max(best, 0))
}

// shed refuses requests that wait behind more work than they have time for. The
// caller learns early when to retry, and no request waits in vain.
func (c *Core) shed() {
	if len(c.weights) == 0 || len(c.waiting) == 0 {
		return
	}
	slots, ratesKnown := c.openSlots()
	if slots == 0 || !ratesKnown {
		// Endpoints may return, or their rates become known, at any moment. Until
		// then the latest start of each request bounds its wait.
		return
	}
	c.rankQueues()
	c.divide(slots)
	workAhead, slotsLeft := 0.0, slots
	for _, served := range c.serveOrder {
		workAhead = c.shedQueue(served.queue(), workAhead, slotsLeft)
		slotsLeft = c.slotsAfter(served, slots, slotsLeft)
	}
}

// slotsAfter returns how many of all slots a queue leaves to those after it. Further
// requests that are on time keep arriving, and are served before those queues.
func (c *Core) slotsAfter(served servedQueue, slots, slotsLeft float64) float64 {
	if served.kind != onTimeQueue {
		return slotsLeft
	}
	return max(minSlotShare*slots, slotsLeft-served.tier.offeredSlots(c.now))
}

// shedQueue refuses the requests of one queue that cannot be served in time. It takes
// the work queued ahead of the queue, in slot-seconds, and returns it including the
// work of the queue.
func (c *Core) shedQueue(q *queue, workAhead float64, slots float64) float64 {
	c.shedBuffer = append(c.shedBuffer[:0], *q...)
	// The heap's order is close to the order of urgency, which is enough for a mean.
	for _, w := range c.shedBuffer {
		wait := time.Duration(workAhead / slots * float64(time.Second))
		slack := w.latestStart.Since(c.now)
		if w.ask.Goal > 0 && !w.late {
			// A request that misses its goal may still be worth its slot.
			slack = max(slack, c.lateSlack(w))
		}
		if w.ask.Goal > 0 && !w.ask.Begun && float64(wait) > shedRatio*float64(max(slack, 0)) {
			c.dequeue(w)
			c.refund(w)
			c.refuseWithRetryAfter(w, Crowded, min(max(wait, minShedRetryAfter), maxShedRetryAfter))
			continue
		}
		workAhead += w.work
	}
	return workAhead
}

// lateSlack returns how long a request could wait if its goal did not count. The rates
// that this depends on change slowly, so it is computed seldom: an owner under overload
// asks for it with each arriving request for each one that waits.
func (c *Core) lateSlack(w *waiter) time.Duration {
	if w.lateStartAt == 0 || c.now.Since(w.lateStartAt) > lateStartInterval {
		w.lateStart, w.lateStartAt = c.latestLateStart(w.ask), c.now
	}
	return w.lateStart.Since(c.now)
}

// latestLateStart returns when the fastest open endpoint must start a request if its
// goal does not count.
func (c *Core) latestLateStart(a Ask) Instant {
	if a.Patience == 0 {
		return c.latestStart(a)
	}
	return a.Patience.After(-c.fastestFirstPart(a))
}

// openSlots returns the number of slots of the endpoints that accept requests, and
// whether the rates of at least half of these endpoints are known.
func (c *Core) openSlots() (slots float64, ratesKnown bool) {
	open, unknown := 0, 0
	typical := c.typicalWork()
	for _, e := range c.endpointOrder {
		if !e.open() || c.now < e.pausedUntil {
			continue
		}
		slots += e.pacer.slots(e.rules.Limit, typical)
		open++
		if !e.hasRates() {
			unknown++
		}
	}
	return slots, 2*unknown <= open
}
