package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

const start = permit.Instant(1_000_000_000_000)

// at returns the instant that is d after the start of a test.
func at(d time.Duration) permit.Instant { return start.After(d) }

// newCore returns a core that serves the given endpoints. Without any it serves a
// fast endpoint with two slots and a slow one with one slot.
func newCore(endpoints ...permit.EndpointRules) *permit.Core {
	if len(endpoints) == 0 {
		endpoints = []permit.EndpointRules{
			{Name: "fast", Limit: 2, PrefillSpeed: 1000, DecodeSpeed: 100},
			{Name: "slow", Limit: 1, PrefillSpeed: 100, DecodeSpeed: 10},
		}
	}
	var core permit.Core
	core.Step(permit.Configured{At: start, QueueLimit: 4, Endpoints: endpoints})
	return &core
}

// askAt returns the event of an ask made d after the start of a test. The answer
// is expected to have the given number of tokens, and the deadline counts from the
// start as well.
func askAt(d time.Duration, id string, tier int, answer int, deadline time.Duration) permit.Asked {
	return permit.Asked{At: at(d), Ask: permit.Ask{
		ID: id, Request: "r-" + id, Host: "entry-1", Tier: tier,
		Deadline: at(deadline), PromptTokens: 10, AnswerTokens: answer,
	}}
}

// describe returns the actions as text, for comparison.
func describe(actions []permit.Action) string {
	description := ""
	for _, action := range actions {
		switch a := action.(type) {
		case permit.Granted:
			description += fmt.Sprintf("%s to %s;", a.ID, a.Endpoint)
		case permit.Suspended:
			description += fmt.Sprintf("%s gives way to %s;", a.ID, a.For)
		case permit.Refused:
			description += fmt.Sprintf("%s refused for %s;", a.ID, a.Reason)
		}
	}
	return description
}

func TestFreeSlotGoesToTheHighestTierFirst(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 1, DecodeSpeed: 100})
	is.Equal(describe(core.Step(askAt(0, "running", 2, 100, time.Minute))), "running to only;")
	is.Equal(describe(core.Step(askAt(1, "plan", 2, 100, 5*time.Second))), "")
	is.Equal(describe(core.Step(askAt(2, "question", 1, 100, time.Minute))), "")
	is.Equal(describe(core.Step(askAt(3, "allergen", 0, 100, time.Minute))), "")
	is.Equal(describe(core.Step(permit.Finished{At: at(time.Second), ID: "running"})), "allergen to only;")
	is.Equal(describe(core.Step(permit.Finished{At: at(2 * time.Second), ID: "allergen"})), "question to only;")
	is.Equal(describe(core.Step(permit.Finished{At: at(3 * time.Second), ID: "question"})), "plan to only;")
}

func TestWithinATierTheRequestThatCanWaitLeastGoesFirst(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 1, DecodeSpeed: 100})
	core.Step(askAt(0, "running", 1, 100, time.Minute))
	core.Step(askAt(1, "patient", 1, 100, 50*time.Second))
	core.Step(askAt(2, "urgent", 1, 100, 10*time.Second))
	is.Equal(describe(core.Step(permit.Finished{At: at(time.Second), ID: "running"})), "urgent to only;")
}

func TestRequestStartsOnlyWhereItCanFinishInTime(t *testing.T) {
	is := is.New(t)
	core := newCore()
	// 100 tokens take 1 s on the fast endpoint and 10 s on the slow one.
	is.Equal(describe(core.Step(askAt(0, "a", 0, 100, 3*time.Second))), "a to fast;")
	is.Equal(describe(core.Step(askAt(0, "b", 0, 100, 3*time.Second))), "b to fast;")
	is.Equal(describe(core.Step(askAt(0, "c", 0, 100, 3*time.Second))), "") // the free slot of the slow endpoint can't finish c in time
	is.Equal(describe(core.Step(askAt(0, "d", 2, 100, time.Minute))), "d to slow;")
	is.Equal(describe(core.Step(permit.Finished{At: at(time.Second), ID: "a"})), "c to fast;")
}

func TestSlowSlotGoesToAPatientRequestBeforeALowerTier(t *testing.T) {
	is := is.New(t)
	var core permit.Core
	core.Step(permit.Configured{At: start, QueueLimit: 100, Endpoints: []permit.EndpointRules{
		{Name: "fast", Limit: 1, DecodeSpeed: 100}, {Name: "slow", Limit: 1, DecodeSpeed: 10},
	}})
	core.Step(askAt(0, "x", 0, 100, time.Minute))
	core.Step(askAt(0, "y", 0, 100, time.Minute))
	for i := range 30 {
		core.Step(askAt(0, fmt.Sprint("urgent-", i), 0, 100, 5*time.Second)) // can't finish in time on the slow endpoint
	}
	core.Step(askAt(0, "patient", 0, 100, time.Minute))
	core.Step(askAt(0, "lower", 1, 100, time.Minute))
	is.Equal(describe(core.Step(permit.Finished{At: at(time.Second), ID: "y"})), "patient to slow;")
}

func TestRequestIsRefusedOnceNoEndpointCanFinishItInTime(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 1, DecodeSpeed: 100})
	core.Step(askAt(0, "running", 0, 100, time.Minute))
	core.Step(askAt(0, "late", 0, 100, 3*time.Second))
	// The answer takes 1 s. The estimate of an endpoint that has not been measured
	// yet adds a margin and is 1.3 s, so 1.7 s is the latest start.
	is.Equal(describe(core.Step(permit.Ticked{At: at(1600 * time.Millisecond)})), "")
	is.Equal(describe(core.Step(permit.Ticked{At: at(1800 * time.Millisecond)})), "late refused for deadline;")
	is.Equal(describe(core.Step(permit.Finished{At: at(2200 * time.Millisecond), ID: "running"})), "")
}

func TestFullQueueRefusesTheLowestTierFirst(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 1, DecodeSpeed: 100})
	core.Step(askAt(0, "running", 2, 100, time.Hour))
	for i := range 4 {
		core.Step(askAt(0, fmt.Sprint("plan-", i), 2, 100, time.Hour))
	}
	is.Equal(describe(core.Step(askAt(1, "plan-4", 2, 100, time.Hour))), "plan-4 refused for queue-full;")
	is.Equal(describe(core.Step(askAt(1, "allergen", 0, 100, time.Hour))), "plan-3 refused for displaced;")
}

func TestEndpointNeverHasMorePermitsThanItsLimit(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 3})
	granted := 0
	for i := range 4 {
		for _, action := range core.Step(askAt(0, fmt.Sprint(i), 0, 10, time.Hour)) {
			if _, grant := action.(permit.Granted); grant {
				granted++
			}
		}
	}
	is.Equal(granted, 3)
}

func TestRepeatedAskGetsTheSamePermitAgain(t *testing.T) {
	is := is.New(t)
	core := newCore()
	is.Equal(describe(core.Step(askAt(0, "a", 0, 100, time.Minute))), "a to fast;")
	is.Equal(describe(core.Step(askAt(time.Second, "a", 0, 100, time.Minute))), "a to fast;")
	_, held := core.Load()
	is.Equal(held, 1)
	core.Step(askAt(0, "b", 0, 100, time.Minute))
	core.Step(askAt(0, "c", 0, 100, time.Minute))
	core.Step(askAt(0, "d", 0, 100, time.Minute))
	core.Step(askAt(time.Second, "d", 0, 100, time.Minute))
	waiting, _ := core.Load()
	is.Equal(waiting, 1) // the repeated ask does not wait twice
}

// A new owner does not know the permits of the earlier one until hosts list them. If it
// granted all slots before that, an endpoint would get more than its limit.
func TestNewOwnerReservesSlotsForPermitsNotYetListed(t *testing.T) {
	is := is.New(t)
	var core permit.Core
	rules := []permit.EndpointRules{{Name: "only", Limit: 4}}
	core.Step(permit.Configured{At: start, QueueLimit: 100, Endpoints: rules, Settle: time.Second})
	core.Step(permit.Listed{At: at(1), Host: "entry-2", Permits: []permit.Permit{
		{ID: "old-1", Endpoint: "only"}, {ID: "old-2", Endpoint: "only"},
	}})
	is.Equal(describe(core.Step(askAt(2, "a", 0, 10, time.Minute))), "") // while it settles the owner uses half of the 4 slots, and the old permits hold these
	is.Equal(describe(core.Step(permit.Ticked{At: at(1100 * time.Millisecond)})), "a to only;")
	is.Equal(describe(core.Step(askAt(1200*time.Millisecond, "b", 0, 10, time.Minute))), "b to only;")
	is.Equal(describe(core.Step(askAt(1300*time.Millisecond, "c", 0, 10, time.Minute))), "") // all 4 slots are in use
}

// A permit whose return was lost would hold its slot for ever. The owner releases it
// when its host no longer lists it, but not while the grant may be on its way.
// A new owner that keeps half of its slots free although all permits are known makes
// callers wait for the rest of its settling period.
func TestNewOwnerUsesWholeLimitsOnceAllPermitsAreListed(t *testing.T) {
	is := is.New(t)
	var core permit.Core
	rules := []permit.EndpointRules{{Name: "only", Limit: 4, DecodeSpeed: 100}}
	core.Step(permit.Configured{At: start, QueueLimit: 100, Endpoints: rules, Settle: time.Second})
	for i := range 4 {
		core.Step(askAt(0, fmt.Sprint("ask-", i), 0, 10, time.Minute))
	}
	_, held := core.Load()
	is.Equal(held, 2) // the other half may be held by permits that are not listed yet
	core.Step(permit.Settled{At: at(100 * time.Millisecond)})
	_, held = core.Load()
	is.Equal(held, 4)
}

func TestPermitsThatTheirHostDoesNotListAreReleased(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 1})
	core.Step(askAt(0, "a", 0, 10, time.Minute))
	core.Step(askAt(0, "b", 0, 10, time.Minute))
	empty := permit.Listed{At: at(time.Second), Host: "entry-1"}
	is.Equal(describe(core.Step(empty)), "") // the message with the grant may still be on its way
	empty.At = at(4 * time.Second)
	is.Equal(describe(core.Step(empty)), "b to only;")
}

// The slots of a lost host stay in use for a while, as the endpoint may still run its
// requests. Requests of the host that wait are dropped at once.
func TestSlotsOfALostHostAreFreedAfterAGracePeriod(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 1})
	core.Step(askAt(0, "a", 0, 10, time.Minute))
	core.Step(askAt(0, "dead", 0, 10, time.Minute))
	other := askAt(0, "b", 1, 10, time.Minute)
	other.Ask.Host = "entry-2"
	core.Step(other)
	core.Step(permit.HostLost{At: at(time.Second), Host: "entry-1"})
	is.Equal(describe(core.Step(permit.Ticked{At: at(2 * time.Second)})), "") // the request of the lost host may still be running
	is.Equal(describe(core.Step(permit.Ticked{At: at(7 * time.Second)})), "b to only;")
}

func TestClosedEndpointGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 2})
	core.Step(permit.Marked{At: at(1), Endpoint: "only", Open: false})
	is.Equal(describe(core.Step(askAt(2, "a", 0, 10, time.Minute))), "")
	is.Equal(describe(core.Step(permit.Marked{At: at(3), Endpoint: "only", Open: true})), "a to only;")
}

func TestAvoidedEndpointIsUsedOnlyIfNoOtherIsLeft(t *testing.T) {
	is := is.New(t)
	core := newCore()
	again := askAt(0, "a", 0, 10, time.Minute)
	again.Ask = again.Ask.WithAvoid("a", "fast")
	is.Equal(describe(core.Step(again)), "a to slow;")
	again.Ask = again.Ask.WithAvoid("b", "slow")
	is.Equal(describe(core.Step(again)), "b to fast;")
}

func TestFailingEndpointBacksOffAndThenGetsOneTrialRequest(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 3})
	core.Step(askAt(0, "a", 0, 10, time.Hour))
	core.Step(permit.Failed{At: at(1), ID: "a"})
	is.Equal(describe(core.Step(askAt(2, "b", 0, 10, time.Hour))), "")
	is.Equal(describe(core.Step(askAt(3, "c", 0, 10, time.Hour))), "")
	is.Equal(describe(core.Step(permit.Ticked{At: at(1100 * time.Millisecond)})), "b to only;") // a single trial request
	is.Equal(describe(core.Step(permit.Failed{At: at(1200 * time.Millisecond), ID: "b"})), "")
	is.Equal(describe(core.Step(permit.Ticked{At: at(2500 * time.Millisecond)})), "") // the second backoff is longer
	is.Equal(describe(core.Step(permit.Ticked{At: at(3300 * time.Millisecond)})), "c to only;")
	core.Step(permit.Finished{At: at(4 * time.Second), ID: "c", Usage: permit.Usage{Total: time.Millisecond}})
	is.Equal(describe(core.Step(askAt(4*time.Second, "d", 0, 10, time.Hour))), "d to only;")
	is.Equal(describe(core.Step(askAt(4*time.Second, "e", 0, 10, time.Hour))), "e to only;")
}

// askSuspendable returns the ask of a long request that can be suspended.
func askSuspendable(id string, tier, prompt int) permit.Asked {
	e := askAt(0, id, tier, 1000, time.Hour)
	e.Ask.PromptTokens = prompt
	e.Ask.Suspendable = true
	return e
}

// A request that would miss its deadline suspends one running request of the lowest
// tier, the one whose prompt costs least to prefill again.
func TestHigherTierSuspendsTheRequestThatWastesLeastPrefill(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 3, PrefillSpeed: 1e6, DecodeSpeed: 100})
	core.Step(askSuspendable("question", 1, 10))
	core.Step(askSuspendable("long", 2, 9000))
	core.Step(askSuspendable("short", 2, 500))
	is.Equal(describe(core.Step(askAt(0, "bench", 0, 100, 10*time.Second))), "") // it can still wait
	is.Equal(describe(core.Step(permit.Ticked{At: at(8 * time.Second)})), "")
	is.Equal(describe(core.Step(permit.Ticked{At: at(8600 * time.Millisecond)})), "short gives way to bench;")
	is.Equal(describe(core.Step(permit.Ticked{At: at(8610 * time.Millisecond)})), "") // one slot is enough
	is.Equal(describe(core.Step(permit.Withdrawn{At: at(8620 * time.Millisecond), ID: "short"})), "bench to only;")
}

// At a goodput weight of 1 a request may suspend a lower tier when half of the time
// that it can wait has passed, not only shortly before its latest start.
func TestGoodputWeightSuspendsEarlier(t *testing.T) {
	is := is.New(t)
	var core permit.Core
	core.Step(permit.Configured{
		At: start, QueueLimit: 9, GoodputWeight: 1,
		Endpoints: []permit.EndpointRules{{Name: "only", Limit: 1, PrefillSpeed: 1e6, DecodeSpeed: 100}},
	})
	core.Step(askSuspendable("plan", 1, 10))
	core.Step(askAt(0, "bench", 0, 100, 10*time.Second))
	is.Equal(describe(core.Step(permit.Ticked{At: at(4 * time.Second)})), "")
	is.Equal(describe(core.Step(permit.Ticked{At: at(4500 * time.Millisecond)})), "plan gives way to bench;")
}

func TestSuspensionsAreBounded(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 1, PrefillSpeed: 1e6, DecodeSpeed: 100})
	review := askSuspendable("review", 2, 10)
	review.Ask.Suspensions = 3
	core.Step(review)
	core.Step(askAt(0, "bench", 0, 100, 2*time.Second))
	is.Equal(describe(core.Step(permit.Ticked{At: at(600 * time.Millisecond)})), "") // review was suspended 3 times already, which is the maximum
}

func TestBegunRequestGoesBeforeTheRestOfItsTier(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 1, DecodeSpeed: 100})
	core.Step(askAt(0, "running", 0, 100, time.Hour))
	core.Step(askAt(0, "fresh", 1, 100, 10*time.Second))
	begun := askAt(0, "begun", 1, 100, time.Hour)
	begun.Ask.Begun = true
	core.Step(begun)
	is.Equal(describe(core.Step(permit.Finished{At: at(time.Second), ID: "running"})), "begun to only;")
}

func TestLongPromptIsNotSentWhereItMakesOthersLate(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 2, PrefillSpeed: 1000, DecodeSpeed: 100})
	is.Equal(describe(core.Step(askAt(0, "bench", 0, 100, 2*time.Second))), "bench to only;")
	long := askSuspendable("review", 2, 3000) // its prompt occupies the endpoint for 3 s
	is.Equal(describe(core.Step(long)), "")
	is.Equal(describe(core.Step(permit.Finished{At: at(time.Second), ID: "bench"})), "review to only;")
	is.Equal(describe(core.Step(askAt(time.Second, "next", 0, 10, 2*time.Second))), "") // it would wait behind the prompt and miss its deadline
}

// A load report is late and may count requests that have ended since. Only load that
// no permit explains takes slots away; otherwise a free slot would stay unused.
func TestLateLoadReportDoesNotCountRequestsTwice(t *testing.T) {
	is := is.New(t)
	core := newCore(permit.EndpointRules{Name: "only", Limit: 2})
	core.Step(askAt(0, "a", 0, 10, time.Minute))
	core.Step(permit.Finished{At: at(1), ID: "a"})
	core.Step(permit.Reported{At: at(2), Endpoint: "only", Running: 1}) // the report is late and still counts a
	is.Equal(describe(core.Step(askAt(3, "b", 0, 10, time.Minute))), "b to only;")
	core.Step(permit.Reported{At: at(4), Endpoint: "only", Running: 2}) // one of the two was not sent under a permit of this core
	is.Equal(describe(core.Step(askAt(5, "c", 0, 10, time.Minute))), "")
}

func TestSpeedsAreLearned(t *testing.T) {
	is := is.New(t)
	core := newCore(
		permit.EndpointRules{Name: "a", Limit: 9, DecodeSpeed: 100},
		permit.EndpointRules{Name: "b", Limit: 9, DecodeSpeed: 90},
	)
	for i := range 20 {
		id := fmt.Sprint(i)
		core.Step(askAt(0, id, 0, 100, time.Hour))
		core.Step(permit.Finished{At: at(time.Second), ID: id, Usage: permit.Usage{
			PromptTokens: 10, AnswerTokens: 100, FirstByte: time.Millisecond, Total: 5 * time.Second,
		}})
	}
	// Both endpoints took 5 s for an answer that takes about 1 s at the configured
	// speeds, so a request with 3 s left can't finish at either of them.
	is.Equal(describe(core.Step(askAt(time.Minute, "late", 0, 100, 63*time.Second))), "late refused for deadline;")
}
