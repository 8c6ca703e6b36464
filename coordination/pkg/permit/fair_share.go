package permit

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// grantedDecayTime is the time in which the work granted to a customer decays to
	// 1/e. It covers several requests of each customer, and is short enough that one that
	// was idle can claim no more than a few seconds of its share at once.
	grantedDecayTime = 3 * time.Second
	// shareHeadroom is how many equal shares a customer gets before its requests count as
	// beyond them. Above 1, customers whose requests come in bunches by chance stay within.
	shareHeadroom = 1.5
	// beyondValue is the value of an answer beyond its customer's share, relative to one
	// within it. So a request beyond a share comes after those of lower ranks within
	// theirs, but is not left out for good.
	beyondValue = 0.1
	// maxRound is the last round. Customers that got that many times their share are not
	// told apart.
	maxRound = 15
	// roundingSlack keeps the rounding of sums from serving one request more in a round.
	roundingSlack = 1e-9
)

// fairShare divides what endpoints can serve between the customers that compete for it.
// It does so in rounds: each round serves every customer one share, which is proportional
// to its weight. Requests of the first round are within their customer's share, those of
// later rounds beyond it. The zero value divides nothing.
type fairShare struct {
	enabled bool
	// weights holds the weights of the customers that have a quota. Others have the
	// mean weight.
	weights    map[string]float64
	meanWeight float64
	// customers holds, by name, the customers with waiting requests or recent grants.
	// order lists them by their first requests, so that sums over them do not depend on
	// the order of a map.
	customers map[string]*customerWork
	order     []*customerWork
	// granted is the work granted to all customers.
	granted decayingWork
	// decision is the number of the present decision on shares. moved is its buffer for
	// the requests whose rounds change.
	decision uint64
	moved    []movedWaiter
}

// customerWork is the work of one customer.
type customerWork struct {
	name    string
	weight  float64
	granted decayingWork
	// grantedAt is when the customer was last granted a slot.
	grantedAt Instant
	// ahead is the work of the customer's waiting requests that the present decision has
	// already assigned to rounds. decision is the number of the last decision in which the
	// customer had waiting requests.
	ahead    float64
	decision uint64
}

// decayingWork is work granted lately, in slot-seconds. It decays exponentially.
type decayingWork struct {
	work      float64
	decayedAt Instant
}

func (d *decayingWork) decay(now Instant) {
	if d.work > 0 && d.decayedAt != now {
		d.work *= math.Exp(-now.Since(d.decayedAt).Seconds() / grantedDecayTime.Seconds())
	}
	d.decayedAt = now
}

func (d *decayingWork) add(now Instant, work float64) {
	d.decay(now)
	d.work += work
}

// movedWaiter is a request whose round changes.
type movedWaiter struct {
	waiter *waiter
	round  int
}

// configureShares applies the weights in force, and forgets the customers that have
// neither waiting requests nor recent grants.
func (c *Core) configureShares(e Configured) {
	f := &c.fair
	// Without rank weights nothing is refused early, which shares and returns build on.
	f.enabled = e.FairShare && len(e.Weights) > 0
	f.weights, f.meanWeight = map[string]float64{}, 1
	total := 0.0
	for _, q := range e.Quotas {
		if q.Weight > 0 {
			f.weights[q.Customer] = q.Weight
			total += q.Weight
		}
	}
	if len(f.weights) > 0 {
		f.meanWeight = total / float64(len(f.weights))
	}
	waiting := map[*customerWork]bool{}
	for _, w := range c.waiting {
		waiting[w.customer] = true
	}
	f.order = slices.DeleteFunc(f.order, func(k *customerWork) bool {
		k.weight = f.weightOf(k.name)
		if waiting[k] || k.isServed(c.now) {
			return false
		}
		delete(f.customers, k.name)
		return true
	})
}

func (f *fairShare) weightOf(customer string) float64 {
	return cmp.Or(f.weights[customer], f.meanWeight)
}

// customerOf returns the work of the customer of a request.
func (f *fairShare) customerOf(w *waiter) *customerWork {
	if w.customer != nil {
		return w.customer
	}
	if f.customers == nil {
		f.customers = map[string]*customerWork{}
	}
	name := w.ask.Customer
	if f.customers[name] == nil {
		f.customers[name] = &customerWork{name: name, weight: f.weightOf(name)}
		f.order = append(f.order, f.customers[name])
	}
	w.customer = f.customers[name]
	return w.customer
}

// countGranted counts a request that is granted a slot as work of its customer.
func (c *Core) countGranted(w *waiter) {
	if c.fair.enabled {
		k := c.fair.customerOf(w)
		k.grantedAt = c.now
		k.granted.add(c.now, w.work)
		c.fair.granted.add(c.now, w.work)
	}
}

// divide decides which waiting requests are beyond the shares of their customers, and
// moves these to the queues that are served after the others. It handles the load of
// which a part cannot be served in time: while all can, no request is beyond a share. It
// takes the slots of the open endpoints.
func (c *Core) divide(slots float64) {
	if !c.fair.enabled {
		return
	}
	c.fair.decision++
	share := math.Inf(1)
	if servable, all := c.servableWork(slots); !all {
		share = c.equalShare(servable)
	}
	c.fair.moved = c.fair.moved[:0]
	for _, served := range c.serveOrder {
		if served.kind != begunQueue {
			c.findRounds(*served.queue(), share)
		}
	}
	for _, m := range c.fair.moved {
		heap.Remove(c.queueOf(m.waiter), m.waiter.position)
		m.waiter.round = m.round
		heap.Push(c.queueOf(m.waiter), m.waiter)
	}
}

// servableWork returns the waiting work, in slot-seconds, that can start in time, and
// whether all of it can.
func (c *Core) servableWork(slots float64) (servable float64, all bool) {
	all = true
	ahead, slotsLeft := 0.0, slots
	for _, served := range c.serveOrder {
		for _, w := range *served.queue() {
			c.countWaiting(w)
			wait := ahead / slotsLeft * float64(time.Second)
			if wait > float64(w.latestStart.Since(c.now)) {
				all = false
				continue
			}
			ahead += w.work
		}
		slotsLeft = c.slotsAfter(served, slots, slotsLeft)
	}
	return ahead, all
}

// countWaiting counts the customer of a waiting request as one that competes.
func (c *Core) countWaiting(w *waiter) {
	k := c.fair.customerOf(w)
	if k.decision != c.fair.decision {
		k.granted.decay(c.now)
		k.ahead, k.decision = 0, c.fair.decision
	}
}

// isServed reports whether the customer was granted a slot lately.
func (k *customerWork) isServed(now Instant) bool {
	return k.grantedAt > 0 && now.Since(k.grantedAt) < grantedDecayTime
}

// equalShare returns what a round serves of each customer for a weight of 1, in
// slot-seconds: its part of the work granted lately and of the waiting work that can be
// served. It is infinite if only one customer competes.
func (c *Core) equalShare(servable float64) float64 {
	weight, competing := 0.0, 0
	for _, k := range c.fair.order {
		if k.decision == c.fair.decision || k.isServed(c.now) {
			weight += k.weight
			competing++
		}
	}
	if competing == 1 {
		return math.Inf(1)
	}
	c.fair.granted.decay(c.now)
	return shareHeadroom * (c.fair.granted.work + servable) / weight
}

// findRounds finds the requests of a queue whose rounds change. A round serves each
// customer its equal share, and a request is of the round in which it begins: so none is
// too large for a share, and each customer has a share of at least one request. Requests
// without a customer come from many callers, who would have one share together, so they
// are of the first round.
func (c *Core) findRounds(q queue, share float64) {
	for _, w := range q {
		round := 0
		if !math.IsInf(share, 1) && w.ask.Customer != "" {
			round = w.customer.roundOf(share)
			w.customer.ahead += w.work
		}
		if w.round != round {
			c.fair.moved = append(c.fair.moved, movedWaiter{waiter: w, round: round})
		}
	}
}

// roundOf returns the round in which the next request of a customer begins. Rounds serve
// the given work for a weight of 1.
func (k *customerWork) roundOf(share float64) int {
	begin := k.granted.work + k.ahead
	if begin == 0 {
		return 0
	}
	return int(min(begin/(share*k.weight)+roundingSlack, maxRound))
}

// expireUnordered moves or refuses the requests that are too late in a queue that is not
// ordered by the latest start alone. In such a queue a later request may be too late although
// the first one is not.
func (c *Core) expireUnordered(q *queue) {
	if !c.fair.enabled || len(*q) == 0 {
		return
	}
	if kind := (*q)[0].kind(); kind != beyondQueue && kind != lateQueue {
		return
	}
	c.shedBuffer = append(c.shedBuffer[:0], *q...)
	for _, w := range c.shedBuffer {
		switch {
		case c.now <= w.latestStart || c.moveIfLate(w):
		case c.isTooLate(w):
			c.dequeue(w)
			c.refuse(w, TooLate)
		default:
			// The latest start was computed again.
			heap.Fix(q, w.position)
		}
	}
}
