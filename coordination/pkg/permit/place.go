package permit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// lookahead is how many requests of a queue are tried for a free place that
	// does not suit the first of them.
	lookahead = 16
	// patientLookahead is how many more are tried before a lower queue gets the
	// place.
	patientLookahead = 256
	// lateShare is what an answer that misses its goal is worth beside one that
	// meets it.
	lateShare = 0.35
	// begunShare is the same for an answer whose beginning the caller has.
	begunShare = 2.0
	// pressLead is how long before its latest start a request goes where it holds
	// up others.
	pressLead = 100 * time.Millisecond
)

// rank orders the queues. Without weights the higher tier goes first, and in a
// tier what was begun. With weights that is the c-mu rule: first what is worth
// most for the time it holds a place.
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

// worth gives the value of serving a request of a queue, for each second that
// it holds a place.
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

// place gives free places to waiting requests, the first queue first.
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

// placePatient tries requests that can wait longer for places that the most
// urgent ones have no use for: those must wait for a faster endpoint, and a
// place must not go to a lower queue while one of this queue fits.
func (c *Core) placePatient(q *queue) {
	for i, tried := q.Len()-1, 0; i >= 0 && tried < patientLookahead && len(c.free) > 0; i, tried = i-1, tried+1 {
		// The leaves of the heap, at its end, hold the patient ones. Taking one
		// out moves only entries that were tried or come later.
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

// mayTry tells whether an endpoint may get more work by what is known of it.
func (c *Core) mayTry(e *endpoint) bool { return len(c.weights) == 0 || e.trusts() }

// bestFor gives the free endpoint that would answer soonest, or nil if the
// request could finish in time at none of them. One that failed lately is taken
// only where no other will do, and one where the request would hold up others
// only when it can't wait for another.
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

// pressed tells whether a request with a goal is about to miss what it can still
// get.
func (c *Core) pressed(w *waiter) bool {
	return w.ask.Goal > 0 && w.latestStart.Since(c.now) < pressLead
}

// inTime tells whether an answer of the endpoint would come in time: to its
// end, and for one that can still meet its goal, with its first part.
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

// canAvoid tells whether an open endpoint is left that the request does not
// avoid. Where all have failed it once, another try there beats none.
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

// paceOf gives what a grant tells of its endpoint.
func (c *Core) paceOf(e *endpoint) *Pace {
	if len(c.weights) == 0 {
		// Without goals requests do not wait for an endpoint to show.
		return nil
	}
	return e.pace()
}
