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
// # Usage
//
//	var core permit.Core
//	core.Step(permit.Configured{At: now, Tiers: 2, QueueLimit: 100, Endpoints: endpoints})
//	for _, action := range core.Step(permit.Asked{At: now, Ask: ask}) {
//		switch a := action.(type) {
//		case permit.Granted: // send the request to a.Endpoint, then Step(Finished)
//		case permit.Refused: // report to the caller that the request was not run
//		}
//	}
//
// A Core is not safe for concurrent use.
package permit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// grantGrace is how long a permit may be missing from the list of its host,
	// because the message that grants it may still be under way.
	grantGrace = 3 * time.Second
	// lostGrace is how long the permits of a lost host keep their slots, because
	// its last requests may still be running.
	lostGrace = 5 * time.Second
	// minRetryAfter is the shortest wait that the core advises to a refused caller.
	minRetryAfter = time.Second
)

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
	// queues holds queuesPerTier queues for each tier; serveOrder lists their
	// indices in the order in which they are served.
	queues     []queue
	serveOrder []int
	weights    []float64
	// worstWeight is Configured.WorstWeight. worstTier is the tier with the
	// smallest share of requests served in time; worstTierFactor multiplies its weight.
	worstWeight     float64
	worstTier       int
	worstTierFactor float64
	tierCounts      []tierCount
	// meanWork is the moving average of the work of each tier's requests, in
	// slot-seconds.
	meanWork []float64
	// offeredWork is the work that arrived recently, by tier, in slot-seconds.
	offeredWork   []slidingWindow
	waiting       map[string]*waiter
	held          map[string]*heldPermit
	endpoints     map[string]*endpoint
	endpointOrder []*endpoint
	sequence      uint64
	accounts      map[string]*account
	// completeFrom is the time from which this owner made all the grants in the
	// quota window itself.
	completeFrom  Instant
	quotaWindow   time.Duration
	repeats       repeatBudget
	refusedGoals  goalMemory
	freeEndpoints []*endpoint
	skipped       []*waiter
	shedBuffer    []*waiter
	actions       []Action
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
	// promptAlone is set if the endpoint was processing no other prompt at the grant.
	promptAlone bool
	// learnedFirstPart is set once the first part of the answer has updated the rates.
	learnedFirstPart bool
	suspending       bool
	// lostAt is when the host of the permit was lost, or zero.
	lostAt Instant
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
	case Asked:
		c.ask(e.Ask)
	case Withdrawn:
		c.withdraw(e.ID)
	case Finished:
		c.finish(e.ID, e.Usage)
	case Progressed:
		c.progress(e.ID, e.Usage)
	case Failed:
		c.fail(e.ID, e.Fault)
	case Stalled:
		c.stall(e.ID)
	case Listed:
		c.reconcile(e)
	case Reported:
		c.report(e)
	case Marked:
		c.mark(e)
	case HostLost:
		c.loseHost(e.Host)
	case Ticked:
		c.tick()
	}
	c.assignSlots()
	c.interrupt()
	if asked, isAsk := event.(Asked); isAsk && c.waiting[asked.Ask.ID] != nil {
		// Refuse at once a request that cannot be served in time.
		c.shed()
	}
	return c.actions
}

// Load returns the number of waiting requests and the number of permits held.
func (c *Core) Load() (waiting, held int) { return len(c.waiting), len(c.held) }

func (c *Core) configure(e Configured) {
	isFirst := c.waiting == nil
	if isFirst {
		c.waiting = map[string]*waiter{}
		c.held = map[string]*heldPermit{}
		c.endpoints = map[string]*endpoint{}
		c.settledAt = c.now.After(e.Settle)
	}
	c.queueLimit = e.QueueLimit
	c.weights, c.worstWeight = e.Weights, e.WorstWeight
	c.goodputWeight = e.GoodputWeight
	c.resizeQueues(e.Tiers)
	c.setQuotas(e.Quotas, e.QuotaWindow)
	if isFirst {
		c.replaceEarlierGrants(e.EarlierGrants)
	}
	if e.Partial || (isFirst && !e.EarlierGrants.NoEarlierOwner) {
		c.completeFrom = c.now.After(e.QuotaWindow)
	}
	c.quotaWindow = e.QuotaWindow
	c.repeats.configure(e.Repeats)
	listed := make(map[string]bool, len(e.Endpoints))
	c.endpointOrder = c.endpointOrder[:0]
	for _, rules := range e.Endpoints {
		listed[rules.Name] = true
		existing := c.endpoints[rules.Name]
		if existing == nil {
			existing = newEndpoint(rules)
			c.endpoints[rules.Name] = existing
		}
		existing.rules = rules
		c.endpointOrder = append(c.endpointOrder, existing)
	}
	for name := range c.endpoints {
		if !listed[name] {
			// Its permits keep pointing to it until they are returned.
			delete(c.endpoints, name)
		}
	}
}

// resizeQueues sets the number of tiers. Requests of a removed tier move to the
// lowest remaining one.
func (c *Core) resizeQueues(tiers int) {
	tiers = max(tiers, 1)
	wanted := queuesPerTier * tiers
	for len(c.queues) < wanted {
		c.queues = append(c.queues, queue{})
	}
	for len(c.queues) > wanted {
		last := len(c.queues) - 1
		orphans := c.queues[last]
		c.queues = c.queues[:last]
		for _, w := range orphans {
			w.ask.Tier = tiers - 1
			heap.Push(c.queueOf(w), w)
		}
	}
	for len(c.meanWork) < tiers {
		c.meanWork = append(c.meanWork, 0)
		c.tierCounts = append(c.tierCounts, tierCount{})
		c.offeredWork = append(c.offeredWork, slidingWindow{bucketWidth: int64(offeredWindow) / windowBuckets})
	}
	c.meanWork, c.offeredWork, c.tierCounts = c.meanWork[:tiers], c.offeredWork[:tiers], c.tierCounts[:tiers]
}

// queueOf returns the queue in which a request waits.
func (c *Core) queueOf(w *waiter) *queue { return &c.queues[queuesPerTier*w.ask.Tier+w.kind()] }

func (c *Core) lowestTier() int { return len(c.queues)/queuesPerTier - 1 }

func (c *Core) ask(a Ask) {
	if c.waiting == nil || c.waiting[a.ID] != nil {
		return
	}
	if h := c.held[a.ID]; h != nil {
		// The grant was lost in transit, or it crossed the repeated ask.
		c.actions = append(c.actions, Granted{ID: a.ID, Host: a.Host, Endpoint: h.endpoint.rules.Name, Estimate: h.estimate})
		return
	}
	a.Tier = min(max(a.Tier, 0), c.lowestTier())
	a.Goal = c.refusedGoals.originalGoal(a, c.now)
	w := &waiter{ask: a, since: c.now, sequence: c.sequence}
	c.sequence++
	c.updateLatestStart(w)
	if !c.admit(w) {
		return
	}
	c.estimateWork(w)
	c.countAsked(w)
	c.offeredWork[a.Tier].advance(c.now)
	c.offeredWork[a.Tier].add(c.now, w.work)
	if len(c.waiting) >= c.queueLimit && !c.makeRoom(a.Tier) {
		c.refuse(w, QueueFull)
		return
	}
	c.waiting[a.ID] = w
	heap.Push(c.queueOf(w), w)
}

// admit checks a new ask against the retry budget and the quota of its customer,
// and refuses it if it exceeds one of them.
func (c *Core) admit(w *waiter) bool {
	if !c.repeats.admit(c.now, w.ask.Repeat) {
		c.refuse(w, NoRepeat)
		return false
	}
	if w.ask.Repeat {
		// The first attempt was charged to the quota.
		return true
	}
	wait, charged := c.charge(w.ask)
	if !charged {
		c.refuseWithRetryAfter(w, OverQuota, wait)
	}
	return charged
}

// makeRoom refuses one waiting request of a tier below the given one, and reports
// whether it found one.
func (c *Core) makeRoom(tier int) bool {
	for lowest := c.lowestTier(); lowest > tier; lowest-- {
		for _, kind := range []int{lateQueue, onTimeQueue} {
			q := c.queues[queuesPerTier*lowest+kind]
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

func (c *Core) dequeue(w *waiter) {
	heap.Remove(c.queueOf(w), w.position)
	delete(c.waiting, w.ask.ID)
}

func (c *Core) refuse(w *waiter, reason Reason) {
	if reason != NoRepeat {
		c.refund(w)
	}
	c.refuseWithRetryAfter(w, reason, c.retryAfter())
}

func (c *Core) refuseWithRetryAfter(w *waiter, reason Reason, retryAfter time.Duration) {
	c.refusedGoals.remember(w.ask, c.now)
	c.actions = append(c.actions, Refused{
		ID:         w.ask.ID,
		Host:       w.ask.Host,
		Reason:     reason,
		RetryAfter: retryAfter,
		Waited:     c.now.Since(w.since),
	})
}

// retryAfter estimates how long it takes until every request that waits now has
// been given a slot.
func (c *Core) retryAfter() time.Duration {
	held, total := 0, time.Duration(0)
	for _, h := range c.held {
		total += h.estimate
		held++
	}
	if held == 0 {
		return minRetryAfter
	}
	mean := total / time.Duration(held)
	return max(minRetryAfter, mean*time.Duration(len(c.waiting))/time.Duration(held))
}

func (c *Core) withdraw(id string) {
	if w := c.waiting[id]; w != nil {
		c.refund(w)
		c.dequeue(w)
		return
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
	}
	h.endpoint.learn(h, usage)
	c.release(id, h)
}

// progress updates the learned rates from the first part of an answer that is
// still running.
func (c *Core) progress(id string, usage Usage) {
	if h := c.held[id]; h != nil && !h.learnedFirstPart {
		h.learnedFirstPart = true
		h.endpoint.learnFirstPart(h, usage)
	}
}

func (c *Core) fail(id string, fault Fault) {
	if h := c.held[id]; h != nil {
		h.endpoint.fail(c.now, fault)
		c.release(id, h)
	}
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

// reconcile adopts permits that an earlier owner granted, and frees the slots of
// permits that their host no longer lists.
func (c *Core) reconcile(e Listed) {
	for _, p := range e.Rates {
		if target := c.endpoints[p.Endpoint]; target != nil {
			target.adoptRates(p)
		}
	}
	listed := make(map[string]bool, len(e.Permits))
	for _, p := range e.Permits {
		listed[p.ID] = true
		target := c.endpoints[p.Endpoint]
		if c.held[p.ID] != nil || target == nil {
			continue
		}
		if w := c.waiting[p.ID]; w != nil {
			c.dequeue(w)
		}
		adopted := Ask{ID: p.ID, Host: e.Host, Tier: p.Tier}
		c.hold(adopted, target, target.estimate(adopted, c.now))
	}
	for id, h := range c.held {
		overdue := c.now.Since(h.grantedAt) > grantGrace
		if h.ask.Host == e.Host && !listed[id] && overdue {
			c.release(id, h)
		}
	}
}

func (c *Core) report(e Reported) {
	if target := c.endpoints[e.Endpoint]; target != nil {
		target.report(e.Running)
	}
}

func (c *Core) mark(e Marked) {
	if target := c.endpoints[e.Endpoint]; target != nil {
		target.closed = !e.Open
	}
}

func (c *Core) loseHost(host string) {
	var orphans []*waiter
	for _, w := range c.waiting {
		if w.ask.Host == host {
			orphans = append(orphans, w)
		}
	}
	// The layout of the heap depends on the order of removals, and so does the
	// request that a full queue displaces. A fixed order keeps replays identical.
	slices.SortFunc(orphans, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range orphans {
		c.dequeue(w)
	}
	for _, h := range c.held {
		if h.ask.Host == host && h.lostAt == 0 {
			h.lostAt = c.now
		}
	}
}

func (c *Core) tick() {
	for id, h := range c.held {
		if h.lostAt != 0 && c.now.Since(h.lostAt) > lostGrace {
			c.release(id, h)
		}
	}
	for tier := range c.queues {
		c.expire(&c.queues[tier])
	}
	c.shed()
}

func (c *Core) hold(a Ask, e *endpoint, estimate time.Duration) {
	h := &heldPermit{ask: a, endpoint: e, grantedAt: c.now, estimate: estimate}
	h.expected = e.expectedTime(a) + max(0, e.prefillUntil.Since(c.now))
	h.expectedEnd = c.now.After(estimate)
	e.addPermit(h, c.now)
	c.held[a.ID] = h
}
