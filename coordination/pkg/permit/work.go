package permit

// unknownWork is the time, in seconds, that a request is assumed to occupy a slot
// before the rates of any endpoint are known.
const unknownWork = 0.5

// weigh computes the work of a new request from the learned rates of the endpoints,
// which requests of all tiers update. The measured times of its own tier would be
// misleading if few requests of the tier were served recently, or only by slow
// endpoints.
func (c *Core) weigh(w *waiter) {
	work, known := c.workOf(w.ask)
	if !known {
		w.work = unknownWork
		return
	}
	w.work = work
	blend(&c.typical[w.ask.Tier], work)
}

// workOf returns the mean work, in slot-seconds, of a request over the open
// endpoints, weighted by how many such requests each can serve. known is false if
// the rates of none of them are known.
func (c *Core) workOf(a Ask) (seconds float64, known bool) {
	rate, count := 0.0, 0
	for _, e := range c.order {
		if work := e.work(a); e.open() && e.known() && work > 0 {
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
	return e.expected(a).Seconds() + float64(others)*e.promptTime(a).Seconds()
}

// typicalOf returns the mean work of the requests of a tier.
func (c *Core) typicalOf(tier int) float64 {
	if work := c.typical[tier]; work > 0 {
		return work
	}
	return unknownWork
}
