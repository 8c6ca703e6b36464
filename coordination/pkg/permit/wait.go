package permit

import (
	"container/heap"
	"time"
)

const (
	// hopeless is how much longer than a request can wait it must be expected to
	// wait before it is refused for that: the expectation is a mean.
	hopeless = 1.25
	// busyFloor is the least share of the places that a queue is taken to get
	// beside those before it.
	busyFloor = 0.2
	// longRetry is the longest wait advised to a refused caller that has a goal.
	longRetry = 4 * time.Second
	// shortRetry is the shortest one.
	shortRetry = 250 * time.Millisecond
	// offeredWindow is the span over which the work asked for is measured.
	offeredWindow = 2 * time.Second
)

// judge finds until when a request can wait, and whether its goal is lost.
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

// soonestFirstPart gives the time to the first part at the fastest open
// endpoint, without what others ask of it.
func (c *Core) soonestFirstPart(a Ask) time.Duration {
	best := time.Duration(-1)
	for _, e := range c.order {
		if first := e.firstCost(a); e.open() && (best < 0 || first < best) {
			best = first
		}
	}
	return max(best, 0)
}

// expire refuses the requests at the head of a queue that are too late. Speeds
// change while requests wait, so the head is judged, and ordered, anew.
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

// moveLate puts a request whose goal is lost among the late ones of its tier.
func (c *Core) moveLate(w *waiter) bool {
	if w.late || w.ask.Goal == 0 || w.ask.Begun || c.now <= w.ask.Goal.After(-c.soonestFirstPart(w.ask)) {
		return false
	}
	heap.Remove(c.queueOf(w), w.position)
	c.judge(w)
	heap.Push(c.queueOf(w), w)
	return true
}

// isTooLate tells whether no open endpoint could finish the request in time.
// While none is open, a request may wait until its deadline itself.
func (c *Core) isTooLate(w *waiter) bool {
	if c.now > w.ask.Deadline {
		return true
	}
	if w.ask.Goal == 0 || w.late {
		c.judge(w)
	}
	return c.now > w.latestStart && (w.ask.Goal == 0 || w.late)
}

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

// shed refuses at once what waits behind more work than it can wait for: the
// caller learns early when to come back, and nothing is held in vain.
func (c *Core) shed() {
	if len(c.weights) == 0 || len(c.waiting) == 0 {
		return
	}
	places, known := c.openPlaces()
	if places == 0 || !known {
		// Endpoints may be back, or show what they can do, at any moment; the
		// latest start bounds the wait.
		return
	}
	c.rank()
	ahead, left := 0.0, places
	for _, index := range c.ranking {
		ahead = c.shedQueue(&c.queues[index], ahead, left)
		if index%queuesPerTier == freshQueue {
			// What is asked for there keeps coming, and goes before the rest.
			left = max(busyFloor*places, left-c.offeredRate(index/queuesPerTier))
		}
	}
}

// offeredRate gives the places that the work asked for of a tier would fill.
func (c *Core) offeredRate(tier int) float64 {
	c.offered[tier].advance(c.now)
	return c.offered[tier].sum() / offeredWindow.Seconds()
}

// shedQueue refuses the hopeless of one queue, and gives the work, in seconds
// of a place, up to the end of it.
func (c *Core) shedQueue(q *queue, ahead float64, places float64) float64 {
	c.scratch = append(c.scratch[:0], *q...)
	// The heap's order is near that of urgency, which is enough for a mean.
	for _, w := range c.scratch {
		wait := time.Duration(ahead / places * float64(time.Second))
		slack := w.latestStart.Since(c.now)
		if w.ask.Goal > 0 && !w.late {
			// It may miss its goal and still be worth its place.
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

// lateSlack gives how long a request could wait if its goal did not count.
func (c *Core) lateSlack(w *waiter) time.Duration {
	if w.ask.Patience == 0 {
		return c.latestStart(w.ask).Since(c.now)
	}
	return w.ask.Patience.After(-c.soonestFirstPart(w.ask)).Since(c.now)
}

// openPlaces gives the number of places of endpoints that take work, and whether
// it is known what half of these endpoints can do.
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
