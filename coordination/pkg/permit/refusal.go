package permit

import "time"

// minRetryAfter is the shortest wait that the core advises to a refused caller.
const minRetryAfter = time.Second

func (c *Core) refuse(w *waiter, reason Reason) {
	if reason != NoRepeat {
		c.refund(w)
	}
	c.refuseWithRetryAfter(w, reason, c.retryAfter())
}

func (c *Core) refuseWithRetryAfter(w *waiter, reason Reason, retryAfter time.Duration) {
	retryAfter, reserved := c.scheduleReturn(w, reason, retryAfter)
	c.refusedGoals.remember(w.ask, c.now, c.now.After(retryAfter), reserved)
	c.actions = append(c.actions, c.withShare(w, Refused{
		ID:         w.ask.ID,
		Host:       w.ask.Host,
		Reason:     reason,
		RetryAfter: retryAfter,
		Waited:     c.now.Since(w.since),
	}))
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
