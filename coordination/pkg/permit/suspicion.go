package permit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// concludeCrash looks for the causes of a crash of an endpoint, once it is certain
// that the endpoint crashed. An endpoint that leaves ends its connections anyway.
func (c *Core) concludeCrash(e *endpoint) {
	since := e.crashWatch.since
	suspects, crashed := e.crashWatch.conclude(c.now, e.runningSince(since))
	if !crashed || len(suspects) == 0 || e.rules.Leaving {
		return
	}
	crash := Crash{ID: fmt.Sprintf("%s@%d", e.rules.Name, since), Endpoint: e.rules.Name, Suspects: suspects}
	c.actions = append(c.actions, CrashFound{Crash: crash})
	c.holdParts(c.quarantine.addCrash(c.now, crash))
}

// warn applies what other owners learned.
func (c *Core) warn(e Warned) {
	for _, held := range e.Held {
		c.quarantine.adopt(c.now, held)
	}
	var found []HeldParts
	for _, crash := range e.Crashes {
		found = append(found, c.quarantine.addCrash(c.now, crash)...)
	}
	c.holdParts(found)
	c.refuseHeldWaiters()
}

// holdParts announces parts that are held from now on, and refuses the requests with
// them that wait.
func (c *Core) holdParts(parts []HeldParts) {
	for _, held := range parts {
		c.actions = append(c.actions, PartsHeld{Held: held})
	}
	if len(parts) > 0 {
		c.refuseHeldWaiters()
	}
}

func (c *Core) refuseHeldWaiters() {
	waiting := make([]*waiter, 0, len(c.waiting))
	for _, w := range c.waiting {
		waiting = append(waiting, w)
	}
	slices.SortFunc(waiting, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range waiting {
		if key, left := c.quarantine.check(w.ask, c.now); key != "" {
			c.dequeue(w)
			c.refund(w)
			c.refuseHeld(w, key, left)
		}
	}
}

func (c *Core) refuseHeld(w *waiter, key string, left time.Duration) {
	c.actions = append(c.actions, Refused{
		ID: w.ask.ID, Host: w.ask.Host, Reason: Held, RetryAfter: max(left, minRetryAfter), Waited: c.now.Since(w.since), Held: key,
	})
}

// clearParts clears the parts of a request that its endpoint began to answer.
func (c *Core) clearParts(a Ask) {
	cleared, left := c.quarantine.clear(a, c.now)
	for _, held := range cleared {
		c.actions = append(c.actions, PartsCleared{Key: held.Key()})
	}
	for _, held := range left {
		c.actions = append(c.actions, PartsHeld{Held: held})
	}
}

// HeldParts returns the parts that are held, to store them for other owners.
func (c *Core) HeldParts() []HeldParts { return c.quarantine.all(c.now) }
