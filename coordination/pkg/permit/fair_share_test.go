package permit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// newSharedPool returns a pool of one engine with one slot, which the given customers
// share.
func newSharedPool(t *testing.T, quotas ...permit.Quota) *enginePool {
	p := newEnginePool(t)
	p.configureShares(quotas...)
	return p
}

func (p *enginePool) configureShares(quotas ...permit.Quota) {
	p.step(permit.Configured{
		At: p.now, QueueLimit: 1000, Weights: tierWeights, Endpoints: []permit.EndpointRules{engine(1)},
		FairShare: true, Quotas: quotas, QuotaWindow: quotaWindow,
	})
}

func quotaOfWeight(customer string, weight float64) permit.Quota {
	return permit.Quota{Customer: customer, Limit: 1e9, Total: 1e9, Weight: weight}
}

// askFor asks for an answer of a number of parts for a customer. The engine makes 50
// parts a second.
func (p *enginePool) askFor(customer, id string, parts int) {
	p.step(permit.Asked{At: p.now, Ask: permit.Ask{
		ID: id, Request: id, Subject: id, Customer: customer, Tier: 1, PromptTokens: 1000, AnswerTokens: parts, GapGoal: 300 * time.Millisecond,
		Deadline: p.now.After(12 * time.Second), Goal: p.now.After(time.Second), Patience: p.now.After(2400 * time.Millisecond),
	}})
}

// askMany asks for a number of answers of 20 parts, whose IDs count from PREFIX-0.
func (p *enginePool) askMany(customer, prefix string, count int) {
	for i := range count {
		p.askFor(customer, fmt.Sprint(prefix, "-", i), 20)
	}
}

// nextGranted frees the slot, and returns the request that gets it.
func (p *enginePool) nextGranted() string {
	for id := range p.grantedTo {
		p.finish(id, 410*time.Millisecond)
	}
	for id := range p.grantedTo {
		return id
	}
	return ""
}

// grantsAfterFlood lets one customer ask six times and another one twice after it, and
// returns the next four requests that are granted the one slot.
func grantsAfterFlood(p *enginePool) []string {
	p.askFor("flood", "running", 20)
	p.askMany("flood", "flood", 6)
	p.askMany("other", "other", 2)
	return []string{p.nextGranted(), p.nextGranted(), p.nextGranted(), p.nextGranted()}
}

// Guards against a customer that fills the queue, so that others wait behind all of it.
func TestSlotsAreSharedByWeightWhileCustomersCompete(t *testing.T) {
	is := is.New(t)
	plain := newEnginePool(t, engine(1))
	is.Equal(grantsAfterFlood(plain), []string{"flood-0", "flood-1", "flood-2", "flood-3"})
	equal := newSharedPool(t, quotaOfWeight("flood", 100), quotaOfWeight("other", 100))
	is.Equal(grantsAfterFlood(equal), []string{"flood-0", "flood-1", "other-0", "other-1"})
	uneven := newSharedPool(t, quotaOfWeight("flood", 100), quotaOfWeight("other", 300))
	is.Equal(grantsAfterFlood(uneven)[:3], []string{"flood-0", "other-0", "other-1"})
	unbounded := newSharedPool(t, quotaOfWeight("flood", 100)) // a customer without a quota counts like the others
	is.Equal(grantsAfterFlood(unbounded), []string{"flood-0", "flood-1", "other-0", "other-1"})
}

// Guards against weights of an earlier version, and against grants that count for good.
func TestWeightsFollowTheConfigurationAndGrantsAreForgotten(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t, quotaOfWeight("flood", 100), quotaOfWeight("other", 100))
	grantsAfterFlood(p)
	p.advance(30 * time.Second)
	p.nextGranted()
	p.configureShares(quotaOfWeight("flood", 100), quotaOfWeight("other", 300))
	is.Equal(grantsAfterFlood(p)[:3], []string{"flood-0", "other-0", "other-1"})
	p.advance(30 * time.Second)
	p.nextGranted()
	p.configureShares(quotaOfWeight("flood", 300), quotaOfWeight("other", 100))
	is.Equal(grantsAfterFlood(p)[:3], []string{"flood-0", "flood-1", "flood-2"})
}

// Guards against shares that hold slots back from the only customer that asks.
func TestCustomerAloneMayUseEverything(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t, quotaOfWeight("flood", 100), quotaOfWeight("other", 100))
	p.askFor("flood", "running", 20)
	p.askMany("flood", "flood", 12)
	for i := range 7 {
		is.Equal(p.nextGranted(), fmt.Sprint("flood-", i))
	}
	for _, refused := range p.refused {
		is.Equal(refused.BeyondShare, "")
	}
}

// Guards against refusing a request because its work alone is more than the share of its
// customer.
func TestLargeRequestIsServedInItsShare(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t, quotaOfWeight("flood", 100), quotaOfWeight("other", 100))
	p.askFor("flood", "running", 20)
	p.askMany("flood", "flood", 8)
	p.askFor("other", "large", 150)
	is.Equal([]string{p.nextGranted(), p.nextGranted(), p.nextGranted()}, []string{"flood-0", "flood-1", "large"})
}

// Guards against refusals that fall on those within their share.
func TestRequestsBeyondTheShareAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t, quotaOfWeight("flood", 100), quotaOfWeight("other", 100))
	p.askFor("flood", "running", 20)
	p.askMany("flood", "flood", 8)
	before := len(p.refused)
	p.askMany("other", "other", 3)
	is.True(len(p.refused) > before)
	for id, refused := range p.refused {
		is.Equal(id[:5], "flood")
		is.Equal(refused.BeyondShare, "flood")
		is.Equal(refused.Reason, permit.Crowded)
	}
}

// Guards against one share for all callers without a customer together.
func TestRequestsWithoutACustomerAreNotBeyondAShare(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t)
	p.askFor("", "running", 20)
	p.askMany("", "public", 4)
	p.askMany("customer", "customer", 8)
	for _, want := range []string{"public-0", "public-1", "public-2", "public-3"} {
		is.Equal(p.nextGranted(), want)
	}
	is.True(len(p.refused) > 0)
	for _, refused := range p.refused {
		is.Equal(refused.BeyondShare, "customer")
	}
}

// Guards against requests beyond a share that stay behind more patient ones when their
// own time is over.
func TestRequestBeyondTheShareEndsInTime(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t, quotaOfWeight("flood", 100), quotaOfWeight("other", 100))
	p.askFor("flood", "running", 20)
	p.askMany("flood", "flood", 4)
	for i := range 60 {
		p.askFor("other", fmt.Sprint("other-", i), 20) // others keep asking, so that none of the flood is granted
		p.advance(50 * time.Millisecond)
	}
	for i := range 4 {
		is.True(p.refused[fmt.Sprint("flood-", i)].ID != "")
	}
}

// excessLoad is a load under which customer 0 of 16 sends a multiple of its usual load.
func excessLoad(excess float64, fair bool) policy {
	return policy{
		rateFactor: 0.85, burstFactor: 1, worstWeight: 0.2, identifiesCallers: true, customers: 16, hosts: 4,
		excess: excess, fairShare: fair,
	}
}

func (s *simulation) others() []outcome {
	return s.outcomesOf(func(c *call) bool { return c.customer != s.policy.customerOf(0) })
}

// Guards against shares that a new owner, which knows nothing of earlier grants, does not
// find again within a few seconds.
func TestNewOwnerFindsTheSharesAgain(t *testing.T) {
	is := is.New(t)
	changing := excessLoad(5, true)
	changing.ownerLostAt = 10 * time.Second
	kept, lost := simulateLoad(excessLoad(5, true)), simulateLoad(changing)
	after := func(s *simulation) []outcome {
		return s.outcomesOf(func(c *call) bool {
			return c.customer != s.policy.customerOf(0) && c.firstTry > changing.ownerLostAt+5*time.Second
		})
	}
	t.Log("others after the change", after(lost), "without one", after(kept))
	for kind := range kinds {
		is.True(after(lost)[kind].inTimeShare() > after(kept)[kind].inTimeShare()-0.05)
	}
}

// Guards against a customer that sends five times its usual load and takes the capacity
// of the fifteen others.
func TestExcessLoadOfOneCustomerLeavesTheOthersTheirs(t *testing.T) {
	is := is.New(t)
	usual, plain, fair := simulateLoad(excessLoad(1, false)), simulateLoad(excessLoad(5, false)), simulateLoad(excessLoad(5, true))
	for _, s := range []*simulation{usual, plain, fair} {
		t.Log("others", s.others(), "all", s.outcomes(), "value", s.valueShare(), "busy", s.busy, "returns", s.returns, "second refusals", s.secondRefusals, "unmet reservations", s.unmetReservations)
	}
	for kind := range kinds {
		is.True(fair.others()[kind].inTimeShare() > usual.others()[kind].inTimeShare()-0.04) // no rank pays for another
	}
	for _, kind := range []int{1, 2} {
		is.True(fair.others()[kind].inTimeShare() > plain.others()[kind].inTimeShare()+0.05) // lower ranks pay without shares
	}
	is.True(fair.busy > plain.busy*97/100) // no slot is held back
}

// Guards against decisions that depend on the order of a map: the same events must give the
// same actions.
func TestDecisionsOnSharesCanBeReplayed(t *testing.T) {
	is := is.New(t)
	load := excessLoad(5, true)
	load.records = true
	events := simulateLoad(load).events
	var decided [2][][]permit.Action
	for i := range decided {
		replay(events, func(_ permit.Event, actions []permit.Action) { decided[i] = append(decided[i], slices.Clone(actions)) })
	}
	is.Equal(decided[0], decided[1])
}
