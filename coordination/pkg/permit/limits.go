package permit

import (
	"maps"
	"slices"
	"time"
)

const (
	// windowBuckets is the number of buckets into which a sliding window is divided.
	windowBuckets = 64
	// totalQuotaShare is the share of a customer's total quota from which an owner is
	// taken to grant all of it.
	totalQuotaShare = 0.99
	// divisionRetryAfter is the longest wait advised to a caller whose request fits the
	// quota, but not the part of it that this owner may grant: while the ownership of a
	// service changes, it may grant the rest a moment later.
	divisionRetryAfter = 500 * time.Millisecond
	// minQuotaRetryAfter is the shortest wait advised to a caller beyond its quota.
	minQuotaRetryAfter = 10 * time.Millisecond
)

// Quota bounds the tokens that one owner grants to a customer in any window. It is
// the owner's share of the customer's total quota.
type Quota struct {
	Customer string `json:"customer"`
	// Limit is in tokens per window.
	Limit float64 `json:"limit"`
	// Total is the customer's quota over all owners, of which Limit is a share, or
	// zero if it is not given. Lowering it binds only windows that begin afterwards.
	Total float64 `json:"whole,omitempty"`
	// Tolerance is what may be granted beyond the limit by an owner that holds a
	// record of all grants in the window.
	Tolerance float64 `json:"tolerance,omitempty"`
	// Weight is the customer's part of what endpoints can serve, relative to that of
	// other customers, while they compete for it; zero stands for the mean weight.
	Weight float64 `json:"weight,omitempty"`
}

// QuotaUsage is the number of tokens that were granted to a customer some time ago.
type QuotaUsage struct {
	Customer string        `json:"customer"`
	Tokens   float64       `json:"tokens"`
	Age      time.Duration `json:"age"`
}

// account holds the quota of one customer and its recent grants.
type account struct {
	limit     float64
	tolerance float64
	total     float64
	// formerLimit is the higher limit that was in force until loweredAt. It still
	// holds for windows that began before that time. Zero means that there is none.
	formerLimit float64
	loweredAt   Instant
	// ownGrants counts the grants of this owner, otherGrants the known grants of
	// other owners. assumed stands for those that are not known.
	ownGrants, otherGrants slidingWindow
	assumed                assumption
	// unwritten is what was granted since the last call of QuotaUsed that returned
	// the grants of the customer to write them to the store.
	unwritten float64
}

func (k *account) advance(now Instant) {
	k.ownGrants.advance(now)
	k.otherGrants.advance(now)
}

// sum returns the known grants in the window.
func (k *account) sum() float64 { return k.ownGrants.sum() + k.otherGrants.sum() }

// used returns the known grants in the window and those that are assumed.
func (c *Core) used(k *account) float64 {
	return k.sum() + k.assumed.tokens(k.limit, c.now, c.quotaWindow)
}

// combined returns the grants of all owners.
func (k *account) combined() slidingWindow {
	all := k.ownGrants
	for i, amount := range k.otherGrants.buckets {
		all.buckets[i] += amount
	}
	return all
}

// setQuotas applies the quotas in force. A lowered quota binds only later grants,
// but a smaller share of an unchanged quota counts all grants in the window.
func (c *Core) setQuotas(quotas []Quota, window time.Duration) {
	if c.accounts == nil {
		c.accounts = map[string]*account{}
	}
	listed := make(map[string]bool, len(quotas))
	for _, q := range quotas {
		listed[q.Customer] = true
		if c.accounts[q.Customer] == nil {
			c.accounts[q.Customer] = &account{}
		}
		k := c.accounts[q.Customer]
		k.detectLowering(q, c.now, window)
		k.limit, k.tolerance, k.total = q.Limit, q.Tolerance, q.Total
		k.ownGrants.bucketWidth = int64(window) / windowBuckets
		k.otherGrants.bucketWidth = k.ownGrants.bucketWidth
	}
	for customer, k := range c.accounts {
		k.advance(c.now)
		if !listed[customer] && c.used(k) <= 0 {
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
	if c.now >= c.completeFrom {
		limit += k.tolerance
	}
	k.advance(c.now)
	k.endLowering(c.now, c.quotaWindow)
	tokens := float64(a.QuotaTokens)
	if wait := c.timeUntilRoom(k, tokens, limit); wait > 0 {
		return wait, false
	}
	k.ownGrants.add(c.now, tokens)
	k.unwritten += tokens
	return 0, true
}

// timeUntilRoom returns how long until tokens fit a limit; zero if they do. After a limit
// was lowered, the former one applies to the whole window, and the lower one to the grants
// since then.
func (c *Core) timeUntilRoom(k *account, tokens, limit float64) time.Duration {
	counted, assumed := k.combined(), k.assumed
	if k.formerLimit > 0 {
		if wait := c.timeUntilFree(&counted, assumed, tokens, k.formerLimit); wait > 0 {
			return wait
		}
		counted.clearBefore(k.loweredAt)
		if assumed.at <= k.loweredAt {
			assumed = assumption{}
		}
	}
	return c.timeUntilFree(&counted, assumed, tokens, limit)
}

// timeUntilFree returns how long until tokens fit a limit of which grants and an assumption
// leave out a part; zero if they do.
func (c *Core) timeUntilFree(counted *slidingWindow, assumed assumption, tokens, limit float64) time.Duration {
	room := limit - min(tokens, limit)
	if counted.sum()+assumed.tokens(limit, c.now, c.quotaWindow) <= room {
		return 0
	}
	wait := max(counted.timeUntilSum(room, c.now), assumed.timeUntilTokens(room-counted.sum(), limit, c.now, c.quotaWindow))
	return max(wait, minQuotaRetryAfter)
}

// fitsTotal reports whether an ask would fit the whole quota, of which this owner may
// grant a part only.
func (c *Core) fitsTotal(a Ask) bool {
	k := c.accounts[a.Customer]
	return c.used(k)+float64(a.QuotaTokens) <= k.total
}

// detectLowering detects that the operators lowered a quota. A smaller share of an
// unchanged quota does not count, because other owners then grant the rest.
func (k *account) detectLowering(q Quota, now Instant, window time.Duration) {
	k.endLowering(now, window)
	switch {
	case q.Total >= k.total || q.Limit < q.Total*totalQuotaShare:
		k.formerLimit = 0
	case k.formerLimit == 0 && k.limit >= k.total*totalQuotaShare:
		k.formerLimit, k.loweredAt = k.limit, now
	}
}

// endLowering drops the former limit once all windows that began under it are over.
func (k *account) endLowering(now Instant, window time.Duration) {
	if k.formerLimit > 0 && now.Since(k.loweredAt) > window {
		k.formerLimit = 0
	}
}

// replaceEarlierGrants replaces the known grants of other owners by the given ones. A
// customer without any is assumed to have used a share of its quota.
func (c *Core) replaceEarlierGrants(b EarlierGrants) {
	found := map[string]bool{}
	for _, s := range b.QuotaUsed {
		found[s.Customer] = true
	}
	for customer, k := range c.accounts {
		k.advance(c.now)
		k.otherGrants = slidingWindow{bucketWidth: k.otherGrants.bucketWidth, newest: k.otherGrants.newest}
		k.assumed = assumption{}
		if !found[customer] {
			k.assumed = assumption{share: b.assumedShare(), at: c.now, atOnce: b.Unread && b.AtOnce}
		}
	}
	c.addOtherGrants(b.QuotaUsed)
}

func (c *Core) addOtherGrants(usage []QuotaUsage) {
	for _, s := range usage {
		if k := c.accounts[s.Customer]; k != nil {
			k.otherGrants.add(c.now.After(-s.Age), s.Tokens)
		}
	}
}

// share replaces the known grants of other owners while this owner decides. What is
// assumed beside them stays.
func (c *Core) share(usage []QuotaUsage) {
	c.completeFrom = c.now.After(c.quotaWindow)
	for _, k := range c.accounts {
		k.advance(c.now)
		k.otherGrants = slidingWindow{bucketWidth: k.otherGrants.bucketWidth, newest: k.otherGrants.newest}
	}
	c.addOtherGrants(usage)
}

// regain applies the grants that other owners made while this owner did not decide.
func (c *Core) regain(b EarlierGrants) {
	c.completeFrom = c.now.After(c.quotaWindow)
	if b.Unread && !b.AtOnce {
		// The grants recorded earlier are better than none.
		return
	}
	c.replaceEarlierGrants(b)
}

// assumedShare returns the share of its quota that a customer is assumed to have used
// if no persisted grants were found for it.
func (b EarlierGrants) assumedShare() float64 {
	if b.Unread {
		return 1
	}
	return b.Assumed
}

// writeThreshold returns the share of a quota above which grants are written to the
// store. Until completeFrom other owners have granted in the window too, and all grants
// are written: otherwise a successor could not distinguish a customer that used little
// from one that used nothing.
func (c *Core) writeThreshold(share float64) float64 {
	if c.now < c.completeFrom {
		return 0
	}
	return share
}

// UnwrittenShare returns the largest share of a quota that this owner granted to a
// customer since QuotaUsed last returned the grants of that customer. It leaves out
// customers whose grants QuotaUsed would not return now.
func (c *Core) UnwrittenShare(share float64) float64 {
	share = c.writeThreshold(share)
	largest := 0.0
	for _, k := range c.accounts {
		if k.limit > 0 && k.unwritten > 0 && c.used(k) > share*k.limit {
			largest = max(largest, k.unwritten/k.limit)
		}
	}
	return largest
}

// QuotaUsed returns the grants of this owner in the window, by age, for the customers
// that have used more than a share of their quotas. An owner without a complete
// record of the window returns the grants of all customers.
func (c *Core) QuotaUsed(share float64) []QuotaUsage {
	share = c.writeThreshold(share)
	var usage []QuotaUsage
	for _, customer := range slices.Sorted(maps.Keys(c.accounts)) {
		k := c.accounts[customer]
		k.advance(c.now)
		if c.used(k) > share*k.limit {
			k.unwritten = 0
			usage = append(usage, k.ownGrants.usageByAge(customer, c.now)...)
		}
	}
	return usage
}

// refund takes back the charge of a request that is not sent.
func (c *Core) refund(w *waiter) {
	if k := c.accounts[w.ask.Customer]; k != nil && w.charged {
		k.advance(c.now)
		k.ownGrants.add(w.since, -float64(w.ask.QuotaTokens))
	}
}
