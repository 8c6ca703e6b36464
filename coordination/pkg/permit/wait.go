package permit

import (
	"container/heap"
	"time"
)

const (
	// hopeless is the ratio of the expected wait to the longest possible wait from
	// which a request is refused. It is above 1 because the expected wait is a mean.
	hopeless = 1.25
	// busyFloor is the smallest share of the slots that a queue is assumed to get
	// after the queues before it are served.
	busyFloor = 0.2
	// longRetry is the longest wait advised to a refused caller that has a goal.
	longRetry = 4 * time.Second
	// shortRetry is the shortest wait advised to such a caller.
	shortRetry = 250 * time.Millisecond
	// offeredWindow is the window over which arriving work is measured.
	offeredWindow = 2 * time.Second
)

// judge computes until when a request can wait, and marks it as late if it can no
// longer meet its goal.
func (c *Core) judge(w *waiter) {
	w.latestStart = c.latestStart(w.ask)
	if w.ask.Goal == 0 {
		return
	}
	first := c.soonestFirstPart(w.ask)
	onTime := w.ask.Goal.After(-first)
	if !w.late && c.now <= onTime {
		w.latestStart = min(w.latestStart, onTime)
		return
	}
	w.late = true
	if w.ask.Patience > 0 {
		w.latestStart = min(w.latestStart, w.ask.Patience.After(-first))
	}
}

// soonestFirstPart returns the time to the first part at the fastest open endpoint,
// without the prompts queued there.
func (c *Core) soonestFirstPart(a Ask) time.Duration {
	best := time.Duration(-1)
	for _, e := range c.order {
		if first := e.firstCost(a); e.open() && (best < 0 || first < best) {
			best = first
		}
	}
	return max(best, 0)
}

// expire refuses the requests at the head of a queue that are too late. Learned rates
// change while requests wait, so the latest start of the head is computed again and
// its position in the heap is corrected.
func (c *Core) expire(q *queue) {
	for q.Len() > 0 {
		w := (*q)[0]
		if c.moveLate(w) {
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

// moveLate moves a request that can no longer meet its goal to the late queue of its
// tier, and reports whether it did.
func (c *Core) moveLate(w *waiter) bool {
	if w.late || w.ask.Goal == 0 || w.ask.Begun || c.now <= w.ask.Goal.After(-c.soonestFirstPart(w.ask)) {
		return false
	}
	heap.Remove(c.queueOf(w), w.position)
	c.judge(w)
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
		c.judge(w)
	}
	return c.now > w.latestStart && (w.ask.Goal == 0 || w.late)
}

// latestStart returns when the fastest open endpoint must start the request.
func (c *Core) latestStart(a Ask) Instant {
	best := time.Duration(-1)
	for _, e := range c.order {
		if !e.open() {
			continue
		}
		if estimate := e.whole(a); best < 0 || estimate < best {
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
	places, known := c.openPlaces()
	if places == 0 || !known {
		// Endpoints may return, or their rates become known, at any moment. Until
		// then the latest start of each request bounds its wait.
		return
	}
	c.rank()
	ahead, left := 0.0, places
	for _, index := range c.ranking {
		ahead = c.shedQueue(&c.queues[index], ahead, left)
		if index%queuesPerTier == freshQueue {
			// Further requests of this queue keep arriving and are served before
			// those of the queues after it.
			left = max(busyFloor*places, left-c.offeredRate(index/queuesPerTier))
		}
	}
}

// offeredRate returns the number of slots that the arriving work of a tier fills.
func (c *Core) offeredRate(tier int) float64 {
	c.offered[tier].advance(c.now)
	return c.offered[tier].sum() / offeredWindow.Seconds()
}

// shedQueue refuses the requests of one queue that cannot be served in time. It takes
// the work queued ahead of the queue, in slot-seconds, and returns it including the
// work of the queue.
func (c *Core) shedQueue(q *queue, ahead float64, places float64) float64 {
	c.scratch = append(c.scratch[:0], *q...)
	// The heap's order is close to the order of urgency, which is enough for a mean.
	for _, w := range c.scratch {
		wait := time.Duration(ahead / places * float64(time.Second))
		slack := w.latestStart.Since(c.now)
		if w.ask.Goal > 0 && !w.late {
			// A request that misses its goal may still be worth its slot.
			slack = max(slack, c.lateSlack(w))
		}
		if w.ask.Goal > 0 && !w.ask.Begun && float64(wait) > hopeless*float64(max(slack, 0)) {
			c.dequeue(w)
			c.refund(w)
			c.refuseFor(w, Crowded, min(max(wait, shortRetry), longRetry))
			continue
		}
		ahead += w.work
	}
	return ahead
}

// lateSlack returns how long a request could wait if its goal did not count.
func (c *Core) lateSlack(w *waiter) time.Duration {
	if w.ask.Patience == 0 {
		return c.latestStart(w.ask).Since(c.now)
	}
	return w.ask.Patience.After(-c.soonestFirstPart(w.ask)).Since(c.now)
}

// openPlaces returns the number of slots of the endpoints that accept requests, and
// whether the rates of at least half of these endpoints are known.
func (c *Core) openPlaces() (places float64, known bool) {
	open, unknown := 0, 0
	for _, e := range c.order {
		if !e.open() || c.now < e.restUntil {
			continue
		}
		places += float64(e.rules.Limit)
		open++
		if !e.known() {
			unknown++
		}
	}
	return places, 2*unknown <= open
}
