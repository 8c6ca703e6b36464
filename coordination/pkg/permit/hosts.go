package permit

import (
	"cmp"
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
)

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
		c.hold(adopted, target)
	}
	for id, h := range c.held {
		overdue := c.now.Since(h.grantedAt) > grantGrace
		if h.ask.Host == e.Host && !listed[id] && overdue {
			c.release(id, h)
		}
	}
}

// settle ends the settling period early, as all hosts have listed their permits. From then
// on the endpoints' full limits apply.
func (c *Core) settle() {
	if c.now >= c.settledAt {
		return
	}
	c.settledAt = c.now
	for _, e := range c.endpointOrder {
		e.changed = true
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

// releaseLost frees the slots of permits whose host was lost long enough ago.
func (c *Core) releaseLost() {
	for id, h := range c.held {
		if h.lostAt != 0 && c.now.Since(h.lostAt) > lostGrace {
			c.release(id, h)
		}
	}
}
