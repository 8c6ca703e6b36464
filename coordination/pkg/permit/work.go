package permit

// unknownWork is the time, in seconds, that a request is taken to hold a place
// before any endpoint was measured.
const unknownWork = 0.5

// weigh finds the work of a new request. It comes from the speeds of the
// endpoints, which all requests teach: the times of its own tier would not tell
// where few of the tier were served lately, or only by slow endpoints.
func (c *Core) weigh(w *waiter) {
	work, known := c.workOf(w.ask)
	if !known {
		w.work = unknownWork
		return
	}
	w.work = work
	blend(&c.typical[w.ask.Tier], work)
}

// workOf gives the time, in seconds of a place, that a request should take at
// the endpoints that take work now, each as often as its speed lets it; it is not
// known before one of them was measured.
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

// work gives the time that a request takes of the places of an endpoint: its own
// place while it runs, and all of them while its prompt is taken in.
func (e *endpoint) work(a Ask) float64 {
	others := max(e.rules.Limit-1, 0)
	return e.expected(a).Seconds() + float64(others)*e.promptTime(a).Seconds()
}

// typicalOf gives the mean work of the requests of a tier.
func (c *Core) typicalOf(tier int) float64 {
	if work := c.typical[tier]; work > 0 {
		return work
	}
	return unknownWork
}
