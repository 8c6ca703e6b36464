package permit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// lookahead is how many requests of a queue are tried for a free slot that does
	// not suit the first of them.
	lookahead = 16
	// patientLookahead is how many less urgent requests are tried before a queue of
	// lower rank gets the slot.
	patientLookahead = 256
	// lateShare is the value of an answer that misses its goal, relative to one that
	// meets it.
	lateShare = 0.35
	// begunShare is the same for an answer of which the caller already has a part.
	begunShare = 2.0
	// pressLead is how long before its latest start a request is sent to an endpoint
	// where its prompt delays other requests.
	pressLead = 100 * time.Millisecond
)

// rank sorts the queues into the order in which they are served. Without weights
// the higher tier goes first, and within a tier the requests that have begun. With
// weights it is the c-mu rule: first the queue with the highest value for each
// second that a request occupies a slot.
func (c *Core) rank() {
	c.ranking = c.ranking[:0]
	for i := range c.queues {
		c.ranking = append(c.ranking, i)
	}
	if len(c.weights) == 0 {
		return
	}
	c.findWorst()
	slices.SortStableFunc(c.ranking, func(a, b int) int { return cmp.Compare(c.worth(b), c.worth(a)) })
}

// worth returns the value of serving a request of a queue, for each second that it
// occupies a slot.
func (c *Core) worth(index int) float64 {
	tier := index / queuesPerTier
	weight := c.weightOf(tier)
	if tier == c.worst {
		weight *= c.worstFactor
	}
	switch index % queuesPerTier {
	case begunQueue:
		weight *= begunShare
	case lateQueue:
		weight *= lateShare
	}
	return weight / c.typicalOf(tier)
}

// place assigns free slots to waiting requests, one queue after the other in ranked
// order.
func (c *Core) place() {
	if len(c.waiting) == 0 {
		return
	}
	c.findFree()
	c.rank()
	for _, index := range c.ranking {
		if len(c.free) == 0 {
			return
		}
		c.placeQueue(&c.queues[index])
	}
}

func (c *Core) placeQueue(q *queue) {
	c.aside = c.aside[:0]
	for q.Len() > 0 && len(c.free) > 0 && len(c.aside) < lookahead {
		w := (*q)[0]
		best := c.bestFor(w)
		if best != nil {
			c.dequeue(w)
			c.grant(w, best)
			continue
		}
		heap.Pop(q)
		if c.isTooLate(w) {
			delete(c.waiting, w.ask.ID)
			c.refuse(w, TooLate)
			continue
		}
		c.aside = append(c.aside, w)
	}
	for _, w := range c.aside {
		heap.Push(c.queueOf(w), w)
	}
	c.placePatient(q)
}

// placePatient offers the slots that are left to the less urgent requests of the
// queue. The most urgent ones could not use these slots, because they need a faster
// endpoint, and a queue of lower rank must not get a slot that this queue can use.
func (c *Core) placePatient(q *queue) {
	for i, tried := q.Len()-1, 0; i >= 0 && tried < patientLookahead && len(c.free) > 0; i, tried = i-1, tried+1 {
		// The leaves at the end of the heap are the less urgent requests. Removing
		// one moves only entries that were already tried or come later.
		w := (*q)[i]
		if best := c.bestFor(w); best != nil {
			c.dequeue(w)
			c.grant(w, best)
			i = min(i, q.Len())
		}
	}
}

func (c *Core) findFree() {
	c.free = c.free[:0]
	settling := c.now < c.settled
	for _, e := range c.order {
		if e.hasPlace(c.now, settling) && c.mayTry(e) {
			c.free = append(c.free, e)
		}
	}
}

// mayTry reports whether an endpoint may get another request, given what is known of
// its rates. The check applies only with weights.
func (c *Core) mayTry(e *endpoint) bool { return len(c.weights) == 0 || e.trusts() }

// bestFor returns the free endpoint with the best score for the request, or nil if
// none can finish it in time. An endpoint that failed recently is chosen only if no
// other will do, and one where the prompt would delay other requests only if the
// request cannot wait for another endpoint.
func (c *Core) bestFor(w *waiter) *endpoint {
	var best, harmed *endpoint
	var bestScore, harmedScore time.Duration
	a := w.ask
	avoids := c.canAvoid(a)
	for _, e := range c.free {
		estimate := e.estimate(a, c.now)
		if !c.inTime(w, e, estimate) || (avoids && slices.Contains(a.Avoid, e.rules.Name)) {
			continue
		}
		score := e.score(estimate)
		if e.harms(a, c.now) {
			if harmed == nil || e.betterThan(harmed, score, harmedScore) {
				harmed, harmedScore = e, score
			}
			continue
		}
		if best == nil || e.betterThan(best, score, bestScore) {
			best, bestScore = e, score
		}
	}
	if best == nil && c.pressed(w) {
		return harmed
	}
	return best
}

// pressed reports whether a request with a goal must start now to meet it.
func (c *Core) pressed(w *waiter) bool {
	return w.ask.Goal > 0 && w.latestStart.Since(c.now) < pressLead
}

// inTime reports whether the answer of the endpoint would end before the deadline
// and, for a request with a goal, whether its first part would arrive by the goal.
// If the goal is already missed, the first part must arrive before the caller
// gives up.
func (c *Core) inTime(w *waiter, e *endpoint, estimate time.Duration) bool {
	if c.now.After(estimate) > w.ask.Deadline {
		return false
	}
	if w.ask.Goal == 0 {
		return true
	}
	first := c.now.After(e.firstPart(w.ask, c.now))
	if w.late {
		return w.ask.Patience == 0 || first <= w.ask.Patience
	}
	return first <= w.ask.Goal
}

// canAvoid reports whether an open endpoint is left that the request does not
// avoid. If all of them have failed the request, it may be sent to one of them
// again, because a second try there is better than none.
func (c *Core) canAvoid(a Ask) bool {
	if len(a.Avoid) == 0 {
		return false
	}
	return slices.ContainsFunc(c.order, func(e *endpoint) bool {
		return e.open() && !slices.Contains(a.Avoid, e.rules.Name)
	})
}

func (c *Core) grant(w *waiter, e *endpoint) {
	estimate := e.estimate(w.ask, c.now)
	c.noteServed(w)
	c.hold(w.ask, e, estimate)
	c.actions = append(c.actions, Granted{
		ID:       w.ask.ID,
		Host:     w.ask.Host,
		Endpoint: e.rules.Name,
		Waited:   c.now.Since(w.since),
		Estimate: estimate,
		Teach:    len(c.weights) > 0 && w.ask.PromptTokens > 0 && e.prompts.n < fewPrompts,
		Pace:     c.paceOf(e),
	})
	if !e.hasPlace(c.now, c.now < c.settled) || !c.mayTry(e) {
		c.free = slices.DeleteFunc(c.free, func(other *endpoint) bool { return other == e })
	}
}

// paceOf returns the learned rates that a grant reports to the host.
func (c *Core) paceOf(e *endpoint) *Pace {
	if len(c.weights) == 0 {
		// Without weights no request waits until the rates of an endpoint are known,
		// so the next owner does not need them.
		return nil
	}
	return e.pace()
}
