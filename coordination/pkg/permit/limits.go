package permit

import (
	"maps"
	"slices"
	"time"
)

const (
	// windowSlots divides each window over which something is counted.
	windowSlots = 64
	// wholeShare is the share of a quota from which an owner is taken to grant all
	// of it.
	wholeShare = 0.99
)

// Quota bounds the tokens of one customer that one owner grants in any window.
// It is the owner's share of what the customer may send in all.
type Quota struct {
	Customer string `json:"customer"`
	// Limit is in tokens a window.
	Limit float64 `json:"limit"`
	// Whole is what the customer may send in all, of which Limit is a share; zero
	// if it is not told. A lower one binds windows that begin after it came.
	Whole float64 `json:"whole,omitempty"`
	// Tolerance is what may be granted beyond the limit by an owner that knows
	// all grants of the window.
	Tolerance float64 `json:"tolerance,omitempty"`
}

// Spending is what a host was granted for a customer, some time ago.
type Spending struct {
	Customer string        `json:"customer"`
	Tokens   float64       `json:"tokens"`
	Age      time.Duration `json:"age"`
}

// account is what one customer was granted lately.
type account struct {
	limit     float64
	tolerance float64
	whole     float64
	// former is the higher limit before the present one, which still holds for
	// windows that began before lowered; zero if there is none.
	former  float64
	lowered Instant
	// own is what this owner granted, others what others are known to have.
	own, others tally
	// untold is what was granted since Spent was last asked for.
	untold float64
}

func (k *account) advance(now Instant) {
	k.own.advance(now)
	k.others.advance(now)
}

func (k *account) sum() float64 { return k.own.sum() + k.others.sum() }

// both gives the grants of all owners together.
func (k *account) both() tally {
	both := k.own
	for i, amount := range k.others.amounts {
		both.amounts[i] += amount
	}
	return both
}

// setQuotas takes the quotas in force over. A lower one binds what comes after it,
// and a smaller share of one all that is counted.
func (c *Core) setQuotas(quotas []Quota, window time.Duration) {
	if c.accounts == nil {
		c.accounts = map[string]*account{}
	}
	kept := make(map[string]bool, len(quotas))
	for _, q := range quotas {
		kept[q.Customer] = true
		if c.accounts[q.Customer] == nil {
			c.accounts[q.Customer] = &account{}
		}
		k := c.accounts[q.Customer]
		k.follow(q, c.now, window)
		k.limit, k.tolerance, k.whole = q.Limit, q.Tolerance, q.Whole
		k.own.width = int64(window) / windowSlots
		k.others.width = k.own.width
	}
	for customer, k := range c.accounts {
		k.advance(c.now)
		if !kept[customer] && k.sum() <= 0 {
			// Not before: one version may leave out a customer that the next names.
			delete(c.accounts, customer)
		}
	}
}

// charge counts a request for its customer, or tells how long until there is
// room for it. A request larger than the whole limit fits when nothing else was
// granted.
func (c *Core) charge(a Ask) (wait time.Duration, charged bool) {
	k := c.accounts[a.Customer]
	if k == nil || a.QuotaTokens == 0 {
		return 0, true
	}
	limit := k.limit
	if c.now >= c.complete {
		limit += k.tolerance
	}
	k.advance(c.now)
	k.endLowering(c.now, c.window)
	tokens := float64(a.QuotaTokens)
	if wait, room := k.roomFor(tokens, limit, c.now); !room {
		return wait, false
	}
	k.own.add(c.now, tokens)
	k.untold += tokens
	return 0, true
}

// roomFor tells whether tokens fit a limit, or how long until they do. While a
// limit is newly lowered, the former one holds for the whole window, and the
// lower one for what came since.
func (k *account) roomFor(tokens, limit float64, now Instant) (wait time.Duration, fits bool) {
	counted := k.both()
	if k.former > 0 {
		if room := k.former - min(tokens, k.former); counted.sum() > room {
			return counted.fallsTo(room, now), false
		}
		counted.dropBefore(k.lowered)
	}
	room := limit - min(tokens, limit)
	if counted.sum() > room {
		return counted.fallsTo(room, now), false
	}
	return 0, true
}

// follow notes that the operators lowered a quota. A share of it that falls is no
// such change: others grant the rest.
func (k *account) follow(q Quota, now Instant, window time.Duration) {
	k.endLowering(now, window)
	switch {
	case q.Whole >= k.whole || q.Limit < q.Whole*wholeShare:
		k.former = 0
	case k.former == 0 && k.limit >= k.whole*wholeShare:
		k.former, k.lowered = k.limit, now
	}
}

// endLowering forgets the former limit when all windows that began under it are
// over.
func (k *account) endLowering(now Instant, window time.Duration) {
	if k.former > 0 && now.Since(k.lowered) > window {
		k.former = 0
	}
}

// recall takes in what is known of the grants of others, in place of what was
// known before. Customers of whom nothing was found are taken to have used a
// share of their quotas, evenly.
func (c *Core) recall(b Before) {
	found := map[string]bool{}
	for _, s := range b.Spent {
		found[s.Customer] = true
	}
	for customer, k := range c.accounts {
		k.advance(c.now)
		k.others = tally{width: k.others.width, slot: k.others.slot}
		if found[customer] || b.assumed() == 0 {
			continue
		}
		for i := range windowSlots {
			k.others.add(c.now.After(-time.Duration(int64(i)*k.others.width)), b.assumed()*k.limit/windowSlots)
		}
	}
	for _, s := range b.Spent {
		if k := c.accounts[s.Customer]; k != nil {
			k.others.add(c.now.After(-s.Age), s.Tokens)
		}
	}
}

// regain takes in what others granted while this owner did not decide.
func (c *Core) regain(b Before) {
	c.complete = c.now.After(c.window)
	if b.Unread {
		// What was known before is better than nothing.
		return
	}
	c.recall(b)
}

// assumed gives the share of its quota that a customer is taken to have used of
// whom nothing was found.
func (b Before) assumed() float64 {
	if b.Unread {
		return 1
	}
	return b.Assumed
}

// toldShare gives the share of a quota from which grants are told. While an owner
// does not know the whole window, others decided in it, and all are told: its
// successor could not tell a customer that used little from one that used
// nothing.
func (c *Core) toldShare(share float64) float64 {
	if c.now < c.complete {
		return 0
	}
	return share
}

// Untold gives the largest share of a quota that was granted since Spent was
// last asked for, of the customers that Spent would tell of.
func (c *Core) Untold(share float64) float64 {
	share = c.toldShare(share)
	largest := 0.0
	for _, k := range c.accounts {
		if k.limit > 0 && k.untold > 0 && k.sum() > share*k.limit {
			largest = max(largest, k.untold/k.limit)
		}
	}
	return largest
}

// Spent gives what this owner granted in the window to the customers that have
// used more than a share of their quotas, by age. One that does not know the
// whole window tells of all.
func (c *Core) Spent(share float64) []Spending {
	share = c.toldShare(share)
	var spent []Spending
	for _, customer := range slices.Sorted(maps.Keys(c.accounts)) {
		k := c.accounts[customer]
		k.advance(c.now)
		if k.sum() > share*k.limit {
			k.untold = 0
			spent = append(spent, k.own.spending(customer, c.now)...)
		}
	}
	return spent
}

// refund gives back what a request was charged that is not sent.
func (c *Core) refund(w *waiter) {
	if k := c.accounts[w.ask.Customer]; k != nil && !w.ask.Repeat {
		k.advance(c.now)
		k.own.add(w.since, -float64(w.ask.QuotaTokens))
	}
}
