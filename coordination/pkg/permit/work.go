package permit

// defaultWork is the time, in seconds, that a request is assumed to occupy a slot
// before the rates of any endpoint are known.
const defaultWork = 0.5

// estimateWork computes the work of a new request from the learned rates of the
// endpoints, which requests of all tiers update. The measured times of its own tier
// would be misleading if few requests of the tier were served recently, or only by
// slow endpoints.
func (c *Core) estimateWork(w *waiter) {
	work, known := c.expectedWork(w.ask)
	if !known {
		w.work = defaultWork
		return
	}
	w.work = work
	smoothOrSet(&c.tierOf(w.ask.Tier).meanWork, work)
}

// expectedWork returns the mean work, in slot-seconds, of a request over the open
// endpoints, weighted by how many such requests each can serve. known is false if
// the rates of none of them are known.
func (c *Core) expectedWork(a Ask) (seconds float64, known bool) {
	rate, count := 0.0, 0
	for _, e := range c.endpointOrder {
		if work := e.work(a); e.open() && e.hasRates() && work > 0 {
			rate += 1 / work
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return float64(count) / rate, true
}

// work returns the slot-seconds that a request takes at an endpoint: those of its own
// slot while it runs, and those of all slots while its prompt is processed.
func (e *endpoint) work(a Ask) float64 {
	others := max(e.rules.Limit-1, 0)
	return e.expectedTime(a).Seconds() + float64(others)*e.promptTime(a).Seconds()
}

// typicalWork returns the mean work of the requests of all tiers.
func (c *Core) typicalWork() float64 {
	work, asked := 0.0, 0.0
	for _, t := range c.tiers {
		work += t.count.asked * t.meanWorkOrDefault()
		asked += t.count.asked
	}
	if asked == 0 {
		return 0
	}
	return work / asked
}
