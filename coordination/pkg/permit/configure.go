package permit

import "container/heap"

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
		existing.rules, existing.changed = rules, true
		existing.pacer.setShare(e.RateShare, c.now)
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
