// Package permit decides which waiting request is sent to which endpoint, and
// when. One Core decides for one service, or for a subset of its endpoints.
//
// The core is deterministic: Step takes an event and returns actions, and reads
// no clock, random source or network. The same events in the same order produce
// the same actions, so a recorded sequence of events can be replayed and
// compared. Step changes the state in place, because copying it on every step
// would cost more than the decision itself when many requests wait.
//
// # Terms
//
// A request asks for admission (Ask). A permit is the right to send one request
// to one endpoint; it occupies one slot of the endpoint's concurrency limit until
// the request ends. The owner is the host that runs the core of a service. The
// entry host of a request is the host that holds the caller's connection. The
// goal of a request is the soft deadline of the first part of its answer; the
// deadline is the hard one of the whole answer.
//
// # Decisions
//
// A waiting request is not bound to an endpoint. When a slot is free, the core
// serves the highest tier first, and within a tier the request that must start
// soonest. A request starts only at an endpoint that can still finish it in time.
// The core refuses a request as soon as no endpoint can finish it in time, and
// refuses requests of the lowest tier first when the queue is full.
//
// With weights (Configured.Weights) queues are served by value for the time that they take
// instead. Further decisions apply where the configuration or an event calls for them:
// shares of customers that compete (Configured.FairShare), load on the machines of
// endpoints (Slowed), data centres that are far apart (Measured) and versions of the
// endpoints' software (Steered).
//
// # Usage
//
//	var core permit.Core
//	core.Step(permit.Configured{At: now, QueueLimit: 100, Endpoints: endpoints})
//	for _, action := range core.Step(permit.Asked{At: now, Ask: ask}) {
//		switch a := action.(type) {
//		case permit.Granted: // send the request to a.Endpoint, then Step(Finished)
//		case permit.Refused: // report to the caller that the request was not run
//		}
//	}
//
// A Core is not safe for concurrent use.
package permit

import "time"

// Core holds the state of the decisions for one service. The zero value is ready
// for its first Configured event.
type Core struct {
	now        Instant
	queueLimit int
	// goodputWeight is Configured.GoodputWeight. suspendingCount is the
	// number of permits that were suspended and not yet returned by their hosts.
	goodputWeight   float64
	suspendingCount int
	settledAt       Instant
	// tiers holds a tier for each rank in use, the highest first; serveOrder lists their
	// queues in the order in which they are served.
	tiers      []*tier
	serveOrder []servedQueue
	weights    []float64
	// worstWeight is Configured.WorstWeight. worstTier is the tier with the
	// smallest share of requests served in time, or nil; worstTierFactor multiplies its
	// weight.
	worstWeight     float64
	worstTier       *tier
	worstTierFactor float64
	waiting         map[string]*waiter
	held            map[string]*heldPermit
	endpoints       map[string]*endpoint
	endpointOrder   []*endpoint
	sequence        uint64
	accounts        map[string]*account
	// completeFrom is the time from which this owner made all the grants in the
	// quota window itself.
	completeFrom Instant
	quotaWindow  time.Duration
	repeats      repeatBudget
	refusedGoals goalMemory
	rates        serviceRates
	fair         fairShare
	returns      returnSchedule
	// arrived is the request that the present event made wait; nil if there is none.
	arrived       *waiter
	quarantine    quarantine
	unsent        unsentRequests
	dataCentres   dataCentres
	freeEndpoints []*endpoint
	skipped       []*waiter
	shedBuffer    []*waiter
	steering      steering
	actions       []Action
}

// Step applies one event and returns the resulting actions in order. The returned
// slice is valid until the next call of Step.
func (c *Core) Step(event Event) []Action {
	c.actions = c.actions[:0]
	c.now = max(c.now, event.at())
	switch e := event.(type) {
	case Configured:
		c.configure(e)
	case Regained:
		c.regain(e.EarlierGrants)
	case Shared:
		c.share(e.QuotaUsed)
	case Asked:
		c.ask(e.Ask)
	case Withdrawn:
		c.judgeWithdrawn(e.ID)
		c.withdraw(e.ID)
	case Finished:
		c.judgeFinished(e)
		c.finish(e.ID, e.Usage)
	case Progressed:
		c.progress(e.ID, e.Usage)
	case Failed:
		c.judgeFailed(e)
		c.fail(e)
	case Limited:
		c.limitRate(e.Limit)
	case Slowed:
		c.setSlowness(e)
	case Measured:
		c.dataCentres.measure(e)
	case Paused:
		c.pause(e)
	case Warned:
		c.warn(e)
	case Stalled:
		c.stall(e.ID)
	case Listed:
		c.reconcile(e)
	case Settled:
		c.settle()
	case Reported:
		c.report(e)
	case Marked:
		c.mark(e)
	case Steered:
		c.setSteering(e.Steering)
	case HostLost:
		c.loseHost(e.Host)
	case Ticked:
		c.tick()
	}
	c.assignSlots(event)
	c.interrupt()
	if asked, isAsk := event.(Asked); isAsk {
		c.refuseAtOnce(asked.Ask.ID)
	}
	return c.actions
}

// refuseAtOnce refuses a request that just arrived and waits, if it cannot be served in
// time, and others like it.
func (c *Core) refuseAtOnce(id string) {
	w := c.waiting[id]
	switch {
	case w == nil:
	case c.pausedTooLong(w):
		c.refusePaused(w)
	default:
		c.shed()
	}
}

// Load returns the number of waiting requests and the number of permits held.
func (c *Core) Load() (waiting, held int) { return len(c.waiting), len(c.held) }

// Evaluations returns how often the times of a request at one of the present endpoints
// were worked out. It measures the cost of the decisions independently of the host.
func (c *Core) Evaluations() uint64 {
	total := uint64(0)
	for _, e := range c.endpointOrder {
		total += e.evaluations
	}
	return total
}

func (c *Core) report(e Reported) {
	if target := c.endpoints[e.Endpoint]; target != nil {
		target.report(e.Running)
	}
}

func (c *Core) mark(e Marked) {
	if target := c.endpoints[e.Endpoint]; target != nil {
		target.closed, target.changed = !e.Open, true
		c.steer()
	}
}

func (c *Core) tick() {
	c.judgeOverdue()
	c.releaseLost()
	for _, e := range c.endpointOrder {
		c.concludeCrash(e)
	}
	for _, t := range c.tiers {
		for kind := range t.queues {
			c.expire(&t.queues[kind])
		}
	}
	c.shed()
	c.announce()
}
