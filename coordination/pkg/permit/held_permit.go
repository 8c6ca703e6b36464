package permit

import "time"

// Permit is the right to send one request to one endpoint.
type Permit struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint"`
	Tier     int    `json:"tier"`
}

// heldPermit is a permit that was granted and not yet returned.
type heldPermit struct {
	ask       Ask
	endpoint  *endpoint
	grantedAt Instant
	estimate  time.Duration
	// expected is the estimate without its safety margin. expectedEnd is when
	// the answer is expected to end.
	expected    time.Duration
	expectedEnd Instant
	// expectedFirst is the expected time to the first part of the answer.
	expectedFirst time.Duration
	// queuedPrompts is the largest number of tokens of prompts that were queued at the
	// endpoint while the request ran.
	queuedPrompts float64
	// promptAlone is set if the endpoint was processing no other prompt at the grant.
	promptAlone bool
	// learnedFirstPart is set once the first part of the answer has updated the rates.
	learnedFirstPart bool
	suspending       bool
	// lostAt is when the host of the permit was lost, or zero.
	lostAt Instant
	watch  attemptWatch
}

// hold records a permit at an endpoint and estimates how long its request takes.
func (c *Core) hold(a Ask, e *endpoint) *heldPermit {
	h := &heldPermit{ask: a, endpoint: e, grantedAt: c.now, estimate: e.estimate(a, c.now)}
	h.expected = e.expectedTime(a) + e.promptBacklog(c.now)
	h.expectedFirst = e.firstPartTime(a, c.now)
	h.expectedEnd = c.now.After(h.estimate)
	e.addPermit(h, c.now)
	c.tierOf(a.Tier) // so that requests of higher tiers can interrupt it
	c.held[a.ID] = h
	return h
}

func (c *Core) withdraw(id string) {
	if w := c.waiting[id]; w != nil {
		c.refund(w)
		c.dequeue(w)
		return
	}
	if h := c.held[id]; h != nil && h.ask.Request != "" {
		c.unsent.remember(h.ask.Request, c.now)
	}
	c.finish(id, Usage{})
}

func (c *Core) finish(id string, usage Usage) {
	h := c.held[id]
	if h == nil {
		return
	}
	if usage.Total > 0 {
		h.endpoint.succeed(c.now)
		h.endpoint.crashWatch.addIntact(c.now)
	}
	if usage.Begun {
		c.clearParts(h.ask)
	}
	c.rates.learnOvershoot(h, usage)
	h.endpoint.learn(h, h.endpoint.atMeanSlowness(usage))
	if !h.learnedFirstPart {
		h.endpoint.learnSlowness(usage)
	}
	c.release(id, h)
	c.concludeCrash(h.endpoint)
}

// progress updates the learned rates from the first part of an answer that is
// still running.
func (c *Core) progress(id string, usage Usage) {
	if h := c.held[id]; h != nil && !h.learnedFirstPart {
		h.learnedFirstPart = true
		h.endpoint.learnFirstPart(h, h.endpoint.atMeanSlowness(usage))
		h.endpoint.learnSlowness(usage)
		if usage.Begun {
			c.clearParts(h.ask)
		}
	}
}

func (c *Core) fail(e Failed) {
	h := c.held[e.ID]
	if h == nil {
		return
	}
	c.failEndpoint(h.endpoint, e.Fault)
	if e.Begun {
		c.clearParts(h.ask)
	}
	if e.Fault == Disconnected {
		h.endpoint.crashWatch.addBroken(c.now, e.Suspect)
	}
	c.release(e.ID, h)
	c.concludeCrash(h.endpoint)
}

// stall pauses an endpoint that has sent no data for a running request for too long.
func (c *Core) stall(id string) {
	if h := c.held[id]; h != nil && h.endpoint.lastAnswer <= h.grantedAt {
		// An endpoint that has answered another request since the grant is not
		// stalled: only this request is slow.
		h.endpoint.stall(c.now)
	}
}

func (c *Core) release(id string, h *heldPermit) {
	if h.suspending {
		c.suspendingCount--
	}
	h.endpoint.removePermit(h)
	delete(c.held, id)
}
