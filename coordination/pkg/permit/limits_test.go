package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// boundedCore drives a core whose endpoint has slots for every request, so that
// only quotas and the bound on repeats limit what is granted.
type boundedCore struct {
	core   permit.Core
	now    permit.Instant
	lastID int
}

const quotaWindow = 8 * time.Second

// configure sends a new version of the configuration, with the settings that all
// these tests share.
func (b *boundedCore) configure(e permit.Configured) {
	e.At, e.QueueLimit, e.QuotaWindow = b.now, 100, quotaWindow
	if e.Endpoints == nil {
		e.Endpoints = []permit.EndpointRules{{Name: "i-1", Limit: 10_000}}
	}
	b.core.Step(e)
}

// ask asks for a permit and returns the decision, nil if the request waits.
func (b *boundedCore) ask(a permit.Ask) permit.Action {
	b.lastID++
	a.ID, a.Deadline = fmt.Sprint("ask-", b.lastID), b.now.After(time.Minute)
	actions := b.core.Step(permit.Asked{At: b.now, Ask: a})
	if len(actions) == 0 {
		return nil
	}
	return actions[0]
}

// admits asks for a permit and reports whether it was granted.
func (b *boundedCore) admits(customer string, tokens int) bool {
	_, granted := b.ask(permit.Ask{Customer: customer, QuotaTokens: tokens}).(permit.Granted)
	return granted
}

func (b *boundedCore) advance(t time.Duration) { b.now = b.now.After(t) }

func newBoundedCore() *boundedCore { return &boundedCore{now: permit.Instant(time.Hour)} }

func towerQuota(limit float64) []permit.Quota {
	return []permit.Quota{{Customer: "tower", Limit: limit}}
}

func TestQuotaHoldsInEveryWindowAndRefusalSaysWhenToRetry(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: towerQuota(1000), EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	for range 10 {
		is.True(b.admits("tower", 100)) // the whole quota may be used at once
	}
	refused, isRefusal := b.ask(permit.Ask{Customer: "tower", QuotaTokens: 100}).(permit.Refused)
	is.True(isRefusal)
	is.Equal(refused.Reason, permit.OverQuota)
	is.True(b.admits("other", 100)) // other customers are not limited
	b.advance(refused.RetryAfter)
	is.True(b.admits("tower", 100))
	is.True(refused.RetryAfter > quotaWindow-time.Second && refused.RetryAfter <= quotaWindow+time.Second)
}

func TestLowerQuotaAppliesAtOnceAndUsageOutlivesVersions(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: towerQuota(1000), EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	is.True(b.admits("tower", 600))
	b.configure(permit.Configured{Quotas: towerQuota(500)})
	is.True(!b.admits("tower", 10))
	b.configure(permit.Configured{}) // one version omits the customer
	b.configure(permit.Configured{Quotas: towerQuota(1000)})
	is.True(!b.admits("tower", 600)) // its earlier usage still counts
}

// A lowered quota limits the windows that begin after the change. Windows that began
// before it keep the former limit; otherwise a customer that stayed within its quota
// would be refused for what it used earlier.
func TestLowerQuotaAppliesToWindowsThatBeginAfterIt(t *testing.T) {
	is := is.New(t)
	wholeQuota := func(limit float64) []permit.Quota {
		return []permit.Quota{{Customer: "tower", Limit: limit, Total: limit}}
	}
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: wholeQuota(1000), EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	is.True(b.admits("tower", 600))
	b.advance(time.Second)
	b.configure(permit.Configured{Quotas: wholeQuota(500)})
	is.True(b.admits("tower", 300)) // windows that begin now allow 500
	is.True(!b.admits("tower", 250))
	is.True(!b.admits("tower", 150)) // windows that began before allow no more than 1000
	is.True(b.admits("tower", 100))
	b.configure(permit.Configured{Quotas: wholeQuota(450)}) // a second reduction counts from the time of the first
	is.True(!b.admits("tower", 100))
	b.configure(permit.Configured{Quotas: wholeQuota(500)})
	b.advance(quotaWindow - time.Second + quotaWindow/32) // the 600 have left the window
	is.True(!b.admits("tower", 150))
	is.True(b.admits("tower", 100))
	b.advance(2 * quotaWindow)
	is.True(b.admits("tower", 500))
	is.True(!b.admits("tower", 10))
}

// If the owner's share of a quota falls while the whole quota stays, other owners
// grant the rest. The smaller share therefore limits the current window too.
func TestSmallerShareOfAQuotaAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: []permit.Quota{{Customer: "tower", Limit: 1000, Total: 1000}}, EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	is.True(b.admits("tower", 600))
	b.configure(permit.Configured{Quotas: []permit.Quota{{Customer: "tower", Limit: 500, Total: 1000}}, Partial: true})
	is.True(!b.admits("tower", 10))
}

func TestWithdrawnRequestIsNotCharged(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: towerQuota(1000), Endpoints: []permit.EndpointRules{{Name: "i-1", Limit: 1}}, EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	is.True(b.admits("tower", 400))
	is.Equal(b.ask(permit.Ask{Customer: "tower", QuotaTokens: 400}), nil) // waits
	b.core.Step(permit.Withdrawn{At: b.now, ID: "ask-2"})
	b.core.Step(permit.Withdrawn{At: b.now, ID: "ask-1"}) // its slot is free again
	is.True(b.admits("tower", 600))
}

func TestNewOwnerCountsGrantsOfEarlierOwners(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	spent := []permit.QuotaUsage{{Customer: "tower", Tokens: 900, Age: 2 * time.Second}}
	b.configure(permit.Configured{Quotas: towerQuota(1000), EarlierGrants: permit.EarlierGrants{Assumed: 0.5, QuotaUsed: spent}})
	is.True(!b.admits("tower", 200))
	is.True(b.admits("tower", 100))
	b.advance(quotaWindow - time.Second) // the grants of the earlier owner have left the window
	is.True(b.admits("tower", 800))
}

func TestNewOwnerThatCannotReadGrantsAssumesQuotasAreUsed(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: towerQuota(1000), EarlierGrants: permit.EarlierGrants{Unread: true}})
	is.True(!b.admits("tower", 200))
	b.advance(quotaWindow / 2)
	is.True(b.admits("tower", 400))
	is.True(!b.admits("tower", 200))
}

func TestReturningOwnerCountsGrantsOfOthers(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: towerQuota(1000), EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	is.True(b.admits("tower", 300))
	others := []permit.QuotaUsage{{Customer: "tower", Tokens: 500}}
	b.core.Step(permit.Regained{At: b.now, EarlierGrants: permit.EarlierGrants{QuotaUsed: others}})
	is.True(!b.admits("tower", 300))
	is.True(b.admits("tower", 200))
	// If the persisted grants can't be read, the usage counted so far stays.
	b.core.Step(permit.Regained{At: b.now, EarlierGrants: permit.EarlierGrants{Unread: true}})
	is.True(!b.admits("tower", 100))
}

// Owners persist the grants of a customer only from a certain share of its quota on.
// Without any, a returning owner assumes that other owners granted a part of it.
func TestReturningOwnerAssumesPartialUsageWithoutPersistedGrants(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: towerQuota(1000), EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	b.core.Step(permit.Regained{At: b.now, EarlierGrants: permit.EarlierGrants{Assumed: 0.25}})
	is.True(!b.admits("tower", 800))
	is.True(b.admits("tower", 700))
}

// The tolerance may be granted beyond the limit only by an owner that holds all grants
// of the window. While others may have granted too, the limit itself applies.
func TestToleranceNeedsAllGrantsOfTheWindow(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	tolerant := []permit.Quota{{Customer: "tower", Limit: 1000, Tolerance: 200}}
	b.configure(permit.Configured{Quotas: tolerant, EarlierGrants: permit.EarlierGrants{Assumed: 0.1}})
	b.advance(quotaWindow + time.Second)
	is.True(b.admits("tower", 1000))
	is.True(b.admits("tower", 200))
	is.True(!b.admits("tower", 10))
	b.advance(2 * quotaWindow)
	b.configure(permit.Configured{Quotas: tolerant, Partial: true}) // the fleet is partitioned: other owners may grant from the same quota
	is.True(b.admits("tower", 1000))
	is.True(!b.admits("tower", 100))
}

func TestQuotaUsageIsReturnedForTheStore(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: append(towerQuota(1000), permit.Quota{Customer: "shop", Limit: 1000}), EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	is.True(b.admits("tower", 700))
	is.True(b.admits("shop", 100))
	is.Equal(b.core.UnwrittenShare(0.6), 0.7)
	spent := b.core.QuotaUsed(0.6)
	is.Equal(len(spent), 1) // the shop has used less than the share of 0.6
	is.Equal(spent[0].Customer, "tower")
	is.Equal(spent[0].Tokens, 700.0)
	is.Equal(b.core.UnwrittenShare(0.6), 0.0)
}

func TestOwnerWithoutAllGrantsOfTheWindowReturnsUsageOfAllCustomers(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: towerQuota(1000), EarlierGrants: permit.EarlierGrants{Assumed: 0.5}})
	is.True(b.admits("tower", 100))
	is.Equal(b.core.UnwrittenShare(0.6), 0.1)
	spent := b.core.QuotaUsed(0.6) // the next owner could not tell this usage from that of an earlier owner
	is.Equal(len(spent), 1)
	is.Equal(spent[0].Tokens, 100.0)
	b.advance(2 * quotaWindow)
	is.True(b.admits("tower", 100))
	is.Equal(len(b.core.QuotaUsed(0.6)), 0)
}

func TestRepeatsAreBoundedByRequests(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Repeats: permit.RepeatBound{Ratio: 0.2, Slack: 2, Window: 10 * time.Second}})
	for range 10 {
		is.True(b.admits("tower", 0))
	}
	repeat := permit.Ask{Repeat: true}
	for range 4 { // two for the ten requests, and the slack of two
		_, granted := b.ask(repeat).(permit.Granted)
		is.True(granted)
	}
	refused, isRefusal := b.ask(repeat).(permit.Refused)
	is.True(isRefusal)
	is.Equal(refused.Reason, permit.NoRepeat)
	b.advance(11 * time.Second)
	_, granted := b.ask(repeat).(permit.Granted)
	is.True(granted)
}

func TestCallerComesBackSoonWhenOnlyTheOwnersShareIsUsedUp(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	quota := permit.Quota{Customer: "tower", Limit: 50, Total: 1000}
	b.configure(permit.Configured{Quotas: []permit.Quota{quota}, EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	is.True(b.admits("tower", 40))
	refused, isRefused := b.ask(permit.Ask{Customer: "tower", QuotaTokens: 40}).(permit.Refused)
	is.True(isRefused)
	is.Equal(refused.Reason, permit.OverQuota)
	is.True(refused.RetryAfter <= 500*time.Millisecond) // another owner grants the rest, or this one soon
	b.advance(500 * time.Millisecond)
	quota.Limit = 1000 // all hosts know the new owner
	b.configure(permit.Configured{Quotas: []permit.Quota{quota}})
	is.True(b.admits("tower", 900))
	refused, isRefused = b.ask(permit.Ask{Customer: "tower", QuotaTokens: 100}).(permit.Refused)
	is.True(isRefused)
	is.True(refused.RetryAfter > 2*time.Second) // the customer's own quota is used up
}

// Guards against a quota that is granted twice: what an earlier owner granted in the last
// moments, unknown to this one, counts for a whole window.
func TestNewOwnerThatKnowsNoGrantsTakesQuotasAsUsedAMomentAgo(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: towerQuota(1000), EarlierGrants: permit.EarlierGrants{Unread: true, AtOnce: true}})
	b.advance(quotaWindow - time.Second)
	refused, isRefusal := b.ask(permit.Ask{Customer: "tower", QuotaTokens: 10}).(permit.Refused)
	is.True(isRefusal)
	is.Equal(refused.RetryAfter, time.Second)
	b.advance(time.Second)
	is.True(b.admits("tower", 1000))
}

// What is assumed is a share of the quota, not tokens: a host beside the owner may grant a
// small part, and more once it becomes the owner itself.
func TestAssumedUsageGrowsWithTheShareThatAnOwnerMayGrant(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		is := is.New(t)
		b := newBoundedCore()
		small := []permit.Quota{{Customer: "tower", Limit: 50, Total: 1000}}
		b.configure(permit.Configured{Quotas: small, EarlierGrants: permit.EarlierGrants{Unread: true, AtOnce: atOnce}})
		b.advance(time.Second)
		b.configure(permit.Configured{Quotas: []permit.Quota{{Customer: "tower", Limit: 1000, Total: 1000}}})
		is.True(!b.admits("tower", 200))
	}
}

func TestGrantsReadLaterEndWhatIsAssumed(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	b.configure(permit.Configured{Quotas: towerQuota(1000), EarlierGrants: permit.EarlierGrants{Unread: true, AtOnce: true}})
	is.True(!b.admits("tower", 10))
	found := []permit.QuotaUsage{{Customer: "tower", Tokens: 600, Age: time.Second}}
	b.core.Step(permit.Regained{At: b.now, EarlierGrants: permit.EarlierGrants{Assumed: 0.5, QuotaUsed: found}})
	is.True(!b.admits("tower", 500))
	is.True(b.admits("tower", 400))
}

func TestGrantsOfAnOwnerBesideCountAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBoundedCore()
	tolerant := []permit.Quota{{Customer: "tower", Limit: 1000, Tolerance: 200}}
	b.configure(permit.Configured{Quotas: tolerant, EarlierGrants: permit.EarlierGrants{NoEarlierOwner: true}})
	is.True(b.admits("tower", 300))
	for _, tokens := range []float64{200, 500} { // the later report replaces the earlier one
		b.core.Step(permit.Shared{At: b.now, QuotaUsed: []permit.QuotaUsage{{Customer: "tower", Tokens: tokens}}})
	}
	is.True(!b.admits("tower", 300)) // nor is the tolerance used while another owner grants
	is.True(b.admits("tower", 200))
}
