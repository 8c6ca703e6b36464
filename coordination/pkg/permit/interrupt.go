package permit

import "time"

const (
	// maxSuspensions bounds how often one request is interrupted, so that long
	// work ends too.
	maxSuspensions = 3
	// interruptLead is how long before its latest start a request interrupts
	// lower work at the latest: stopping that takes a message there and back.
	interruptLead = 200 * time.Millisecond
)

// interrupt stops running work of a lower tier for requests that would miss
// their deadline if they waited on. It comes after all free places are given.
func (c *Core) interrupt() {
	coming := c.suspending
	for tier := 0; tier < c.lowestTier(); tier++ {
		q := *c.queueOf(Ask{Tier: tier})
		for _, w := range q[:min(len(q), lookahead)] {
			if c.now < c.urgentAt(w) {
				continue
			}
			if coming > 0 {
				// A place that is being freed already will do.
				coming--
				continue
			}
			victim := c.victimFor(w.ask)
			if victim == nil {
				break
			}
			c.suspend(victim, w.ask.ID)
		}
	}
}

// urgentAt gives when a waiting request may interrupt others.
func (c *Core) urgentAt(w *waiter) Instant {
	patience := w.latestStart.Since(w.since)
	lead := time.Duration(float64(patience) * c.goodputWeight / 2)
	return w.latestStart.After(-max(lead, interruptLead))
}

// victimFor picks the running request to stop: of the lowest tier, and there
// the one whose prompt costs least to take in again.
func (c *Core) victimFor(a Ask) *holding {
	var victim *holding
	for _, e := range c.order {
		if !e.open() || c.now.After(e.estimate(a, c.now)) > a.Deadline {
			continue
		}
		for _, h := range e.holdings {
			if h.canYieldTo(a) && (victim == nil || h.yieldsBefore(victim)) {
				victim = h
			}
		}
	}
	return victim
}

func (h *holding) canYieldTo(a Ask) bool {
	running := !h.suspending && h.lost == 0
	return running && h.ask.Tier > a.Tier && h.ask.Suspendable && h.ask.Suspensions < maxSuspensions
}

func (h *holding) yieldsBefore(other *holding) bool {
	if h.ask.Tier != other.ask.Tier {
		return h.ask.Tier > other.ask.Tier
	}
	return h.ask.PromptTokens < other.ask.PromptTokens
}

func (c *Core) suspend(h *holding, needer string) {
	h.suspending = true
	c.suspending++
	c.actions = append(c.actions, Suspended{ID: h.ask.ID, Host: h.ask.Host, For: needer})
}
