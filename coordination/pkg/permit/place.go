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
	// lessUrgentLookahead is how many less urgent requests are tried before a queue
	// of lower rank gets the slot.
	lessUrgentLookahead = 256
	// lateValue is the value of an answer that misses its goal, relative to one that
	// meets it.
	lateValue = 0.35
	// begunValue is the same for an answer of which the caller already has a part.
	begunValue = 2.0
	// forcedStartLead is how long before its latest start a request may be sent to
	// an endpoint where it harms other requests.
	forcedStartLead = 100 * time.Millisecond
	// maxTries is how many pairs of a waiting request and a free endpoint are tried at
	// an event; with more, only what changed is.
	maxTries = 512
	// longAnswerFactor is the ratio to its guessed length up to which an answer is
	// expected to grow.
	longAnswerFactor = 2
	// smallWorkShare is the share of the mean work below which a request counts as small.
	smallWorkShare = 0.5
)

// rankQueues sorts the queues of the tiers with present or recent requests into the order
// in which they are served. Without weights the higher tier goes first, and within a tier
// the requests that have begun. With weights it is the c-mu rule: first the queue with the
// highest value for each second that a request occupies a slot.
func (c *Core) rankQueues() {
	c.serveOrder = c.serveOrder[:0]
	for _, t := range c.tiers {
		if !t.isOffered(c.now) {
			continue
		}
		for kind := range t.queues {
			c.serveOrder = append(c.serveOrder, servedQueue{tier: t, kind: kind})
		}
	}
	if len(c.weights) == 0 {
		return
	}
	c.findWorstTier()
	slices.SortStableFunc(c.serveOrder, func(a, b servedQueue) int { return cmp.Compare(c.valuePerSecond(b), c.valuePerSecond(a)) })
}

// valuePerSecond returns the value of serving a request of a queue, for each second
// that it occupies a slot.
func (c *Core) valuePerSecond(served servedQueue) float64 {
	weight := c.weightOf(served.tier.rank)
	if served.tier == c.worstTier {
		weight *= c.worstTierFactor
	}
	switch served.kind {
	case begunQueue:
		weight *= begunValue
	case returnedQueue:
		weight *= returnedValue
	case lateQueue:
		weight *= lateValue
	case beyondQueue:
		weight *= beyondValue
	}
	return weight / served.tier.meanWorkOrDefault()
}

// assignSlots assigns free slots to waiting requests. What no waiting request could use
// at the last event none can use at this one, unless it changed: so among many pairs of
// waiting requests and free endpoints only those of the endpoints that changed and of
// the request that arrived are tried. Times change too, so at every tick all are.
func (c *Core) assignSlots(event Event) {
	_, ticked := event.(Ticked)
	arrived := c.arrived
	c.arrived = nil
	if len(c.waiting) > 0 {
		c.findFreeEndpoints()
		all := ticked || len(c.waiting)*len(c.freeEndpoints) <= maxTries
		if !all {
			c.freeEndpoints = slices.DeleteFunc(c.freeEndpoints, func(e *endpoint) bool { return !e.changed })
		}
		c.assignToQueues()
		if !all && arrived != nil {
			c.assignArrived(arrived)
		}
	}
	for _, e := range c.endpointOrder {
		e.changed = false
	}
}

// assignToQueues assigns the free slots found, one queue after the other in serving
// order.
func (c *Core) assignToQueues() {
	if len(c.freeEndpoints) == 0 {
		return
	}
	c.rankQueues()
	for _, served := range c.serveOrder {
		if len(c.freeEndpoints) == 0 {
			return
		}
		c.assignFromQueue(served.queue())
	}
}

// assignArrived assigns a free slot to the request that just arrived, if it is still
// waiting and can use one.
func (c *Core) assignArrived(w *waiter) {
	if c.waiting[w.ask.ID] != w {
		return
	}
	c.findFreeEndpoints()
	if best := c.bestEndpoint(w); best != nil {
		c.dequeue(w)
		c.grant(w, best)
	}
}

func (c *Core) assignFromQueue(q *queue) {
	c.skipped = c.skipped[:0]
	for q.Len() > 0 && len(c.freeEndpoints) > 0 && len(c.skipped) < lookahead {
		w := (*q)[0]
		best := c.bestEndpoint(w)
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
		c.skipped = append(c.skipped, w)
	}
	for _, w := range c.skipped {
		heap.Push(c.queueOf(w), w)
	}
	c.assignLessUrgent(q)
}

// assignLessUrgent offers the slots that are left to the less urgent requests of the
// queue. The most urgent ones could not use these slots, because they need a faster
// endpoint, and a queue of lower rank must not get a slot that this queue can use.
func (c *Core) assignLessUrgent(q *queue) {
	for i, tried := q.Len()-1, 0; i >= 0 && tried < lessUrgentLookahead && len(c.freeEndpoints) > 0; i, tried = i-1, tried+1 {
		// The leaves at the end of the heap are the less urgent requests. Removing
		// one moves only entries that were already tried or come later.
		w := (*q)[i]
		if best := c.bestEndpoint(w); best != nil {
			c.dequeue(w)
			c.grant(w, best)
			i = min(i, q.Len())
		}
	}
}

func (c *Core) findFreeEndpoints() {
	c.dataCentres.countUse(c.endpointOrder, c.now)
	c.freeEndpoints = c.freeEndpoints[:0]
	settling := c.now < c.settledAt
	for _, e := range c.endpointOrder {
		if e.hasFreeSlot(c.now, settling) && c.acceptsMore(e) {
			c.freeEndpoints = append(c.freeEndpoints, e)
		}
	}
}

// acceptsMore reports whether an endpoint may get another request, given what is
// known of its rates. The check applies only with weights.
func (c *Core) acceptsMore(e *endpoint) bool { return len(c.weights) == 0 || e.withinTrialLimit() }

// bestEndpoint returns the free endpoint with the best score for the request, or nil if
// none can finish it in time. An endpoint that failed recently is chosen only if no
// other will do, and one where the request would harm other requests only if it
// cannot wait for another endpoint.
func (c *Core) bestEndpoint(w *waiter) *endpoint {
	var best, fallback *endpoint
	var bestScore, fallbackScore time.Duration
	a := w.ask
	avoids := c.canAvoid(a)
	largerWait := c.hasLargerWaiters()
	for _, e := range c.freeEndpoints {
		estimate := e.estimate(a, c.now)
		if !c.inTime(w, e, estimate) || e.isPausedFor(a.Host, c.now) || (avoids && slices.Contains(a.Avoid, e.rules.Name)) || !c.admits(a, e) {
			continue
		}
		score := c.steeredScore(e, c.scoreFor(a, e, estimate))
		wasteful := c.wastesRate(w, e)
		if wasteful && largerWait {
			continue
		}
		if wasteful || e.harmsOthers(a, c.now) || c.mayOutlast(a, e) {
			if fallback == nil || e.betterThan(fallback, score, fallbackScore) {
				fallback, fallbackScore = e, score
			}
			continue
		}
		if best == nil || e.betterThan(best, score, bestScore) {
			best, bestScore = e, score
		}
	}
	if best == nil && c.mustStartNow(w) {
		return fallback
	}
	return best
}

// mayOutlast reports whether an answer longer than guessed would end after the deadline at
// the endpoint. It would occupy a slot until then and be lost.
func (c *Core) mayOutlast(a Ask, e *endpoint) bool {
	longest := time.Duration(float64(e.expectedTime(a)) * longAnswerFactor)
	return a.Goal > 0 && a.AnswerTokens > 0 && c.now.After(longest) > a.Deadline
}

// wastesRate reports whether a small request would take the place of a larger one at an
// endpoint that takes so many requests a second, however large they are.
func (c *Core) wastesRate(w *waiter, e *endpoint) bool {
	return w.ask.Goal > 0 && e.pacer.isScarce(c.now) && w.work < smallWorkShare*c.typicalWork()
}

// hasLargerWaiters reports whether requests of a tier wait whose requests are larger
// than most.
func (c *Core) hasLargerWaiters() bool {
	typical := c.typicalWork()
	return slices.ContainsFunc(c.tiers, func(t *tier) bool {
		return t.meanWorkOrDefault() >= typical && slices.ContainsFunc(t.queues[:], func(q queue) bool { return len(q) > 0 })
	})
}

// mustStartNow reports whether a request with a goal must start now to meet it.
func (c *Core) mustStartNow(w *waiter) bool {
	return w.ask.Goal > 0 && w.latestStart.Since(c.now) < forcedStartLead
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
	first := e.firstPartTime(w.ask, c.now)
	if w.late {
		return w.ask.Patience == 0 || c.now.After(first) <= w.ask.Patience
	}
	return c.now.After(c.rates.overshoot.withMargin(first)) <= w.ask.Goal
}

// canAvoid reports whether an open endpoint is left that the request does not
// avoid. If all of them have failed the request, it may be sent to one of them
// again, because a second try there is better than none.
func (c *Core) canAvoid(a Ask) bool {
	if len(a.Avoid) == 0 {
		return false
	}
	return slices.ContainsFunc(c.endpointOrder, func(e *endpoint) bool {
		return e.open() && !slices.Contains(a.Avoid, e.rules.Name)
	})
}

func (c *Core) grant(w *waiter, e *endpoint) {
	c.countServed(w)
	c.countGranted(w)
	h := c.hold(w.ask, e)
	c.watch(h)
	e.pacer.take(c.now)
	c.actions = append(c.actions, Granted{
		ID:              w.ask.ID,
		Host:            w.ask.Host,
		Endpoint:        e.rules.Name,
		Waited:          c.now.Since(w.since),
		Estimate:        h.estimate,
		ReportFirstPart: c.wantsFirstPart(w.ask, e),
		Rates:           c.ratesOf(e),
		Limit:           e.pacer.limit,
		Slowness:        e.slowness.lastUnusual(),
		Leaves:          c.leaves(w.ask, e),
	})
	if !e.hasFreeSlot(c.now, c.now < c.settledAt) || !c.acceptsMore(e) {
		c.freeEndpoints = slices.DeleteFunc(c.freeEndpoints, func(other *endpoint) bool { return other == e })
	}
}

// wantsFirstPart reports whether the owner wants to know at once when the endpoint
// begins to answer the request: to learn its rates, or to clear a part of the prompt.
func (c *Core) wantsFirstPart(a Ask, e *endpoint) bool {
	learns := len(c.weights) > 0 && a.PromptTokens > 0 && e.promptFit.weight < minPromptSamples
	return learns || c.quarantine.suspects(a)
}

// ratesOf returns the learned rates that a grant reports to the host.
func (c *Core) ratesOf(e *endpoint) *LearnedRates {
	if len(c.weights) == 0 {
		// Without weights no request waits until the rates of an endpoint are known,
		// so the next owner does not need them.
		return nil
	}
	return e.learnedRates()
}
