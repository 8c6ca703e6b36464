package permit

import (
	"maps"
	"slices"
	"time"
)

const (
	// windowSlots is the number of slots into which a sliding window is divided.
	windowSlots = 64
	// wholeShare is the share of a customer's whole quota from which an owner is
	// taken to grant all of it.
	wholeShare = 0.99
)

// Quota bounds the tokens that one owner grants to a customer in any window. It is
// the owner's share of the customer's whole quota.
type Quota struct {
	Customer string `json:"customer"`
	// Limit is in tokens per window.
	Limit float64 `json:"limit"`
	// Whole is the customer's quota over all owners, of which Limit is a share, or
	// zero if it is not given. Lowering it binds only windows that begin afterwards.
	Whole float64 `json:"whole,omitempty"`
	// Tolerance is what may be granted beyond the limit by an owner that holds a
	// record of all grants in the window.
	Tolerance float64 `json:"tolerance,omitempty"`
}

// Spending is the number of tokens that were granted to a customer some time ago.
type Spending struct {
	Customer string        `json:"customer"`
	Tokens   float64       `json:"tokens"`
	Age      time.Duration `json:"age"`
}

// account holds the quota of one customer and its recent grants.
type account struct {
	limit     float64
	tolerance float64
	whole     float64
	// former is the higher limit that was in force until lowered. It still holds
	// for windows that began before that time. Zero means that there is none.
	former  float64
	lowered Instant
	// own counts the grants of this owner, others the known grants of other owners.
	own, others tally
	// untold is what was granted since the last call of Spent that returned the
	// grants of the customer.
	untold float64
}

func (k *account) advance(now Instant) {
	k.own.advance(now)
	k.others.advance(now)
}

func (k *account) sum() float64 { return k.own.sum() + k.others.sum() }

// both returns the grants of all owners.
func (k *account) both() tally {
	both := k.own
	for i, amount := range k.others.amounts {
		both.amounts[i] += amount
	}
	return both
}

// setQuotas applies the quotas in force. A lowered quota binds only later grants,
// but a smaller share of an unchanged quota counts all grants in the window.
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
			// Do not delete it earlier: one version may omit a customer that the
			// next one names again.
			delete(c.accounts, customer)
		}
	}
}

// charge counts a request against the quota of its customer, or returns how long
// until it fits. A request larger than the whole limit fits if nothing else was
// granted in the window.
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

// roomFor reports whether tokens fit a limit, or returns how long until they do.
// After a limit was lowered, the former one applies to the whole window, and the
// lower one to the grants since then.
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

// follow detects that the operators lowered a quota. A smaller share of an unchanged
// quota does not count, because other owners then grant the rest.
func (k *account) follow(q Quota, now Instant, window time.Duration) {
	k.endLowering(now, window)
	switch {
	case q.Whole >= k.whole || q.Limit < q.Whole*wholeShare:
		k.former = 0
	case k.former == 0 && k.limit >= k.whole*wholeShare:
		k.former, k.lowered = k.limit, now
	}
}

// endLowering drops the former limit once all windows that began under it are over.
func (k *account) endLowering(now Instant, window time.Duration) {
	if k.former > 0 && now.Since(k.lowered) > window {
		k.former = 0
	}
}

// recall replaces the known grants of other owners by the given ones. A customer
// without any is assumed to have used a share of its quota, evenly over the window.
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

// regain applies the grants that other owners made while this owner did not decide.
func (c *Core) regain(b Before) {
	c.complete = c.now.After(c.window)
	if b.Unread {
		// The grants recorded earlier are better than none.
		return
	}
	c.recall(b)
}

// assumed returns the share of its quota that a customer is assumed to have used if
// no persisted grants were found for it.
func (b Before) assumed() float64 {
	if b.Unread {
		return 1
	}
	return b.Assumed
}

// toldShare returns the share of a quota above which grants are written to the store.
// While this owner holds no complete record of the window, other owners granted in
// it too, and all grants are written: otherwise a successor could not distinguish a
// customer that used little from one that used nothing.
func (c *Core) toldShare(share float64) float64 {
	if c.now < c.complete {
		return 0
	}
	return share
}

// Untold returns the largest share of a quota that was granted since the last call
// of Spent and that Spent would return.
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

// Spent returns the grants of this owner in the window, by age, for the customers
// that have used more than a share of their quotas. An owner without a complete
// record of the window returns the grants of all customers.
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

// refund takes back the charge of a request that is not sent.
func (c *Core) refund(w *waiter) {
	if k := c.accounts[w.ask.Customer]; k != nil && !w.ask.Repeat {
		k.advance(c.now)
		k.own.add(w.since, -float64(w.ask.QuotaTokens))
	}
}
