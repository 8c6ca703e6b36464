package permit

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
	c.dropIdleTiers()
	c.setQuotas(e.Quotas, e.QuotaWindow)
	c.configureShares(e)
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
			existing = newEndpoint(rules, &c.rates)
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
	c.steer()
}
