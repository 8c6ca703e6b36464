package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// Guards against refused callers that all come back at once.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t)
	p.askFor("customer", "running", 20)
	p.askMany("customer", "ask", 16)
	is.True(len(p.refused) >= 4)
	returning := map[time.Duration]int{}
	for _, refused := range p.refused {
		is.True(refused.RetryAfter <= 4*time.Second) // a third of the time that the caller has
		returning[refused.RetryAfter]++
	}
	for at, count := range returning {
		is.True(count == 1 || at == 4*time.Second)
	}
}

// Guards against refusing again, behind newer requests that miss their goals, a caller
// that came back when it was told to.
func TestReturnedRequestGoesBeforeOtherLateOnes(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t)
	p.askFor("customer", "running", 20)
	p.askMany("customer", "ask", 12)
	refused := p.refused["ask-11"]
	is.True(refused.RetryAfter > 1500*time.Millisecond)
	p.advance(refused.RetryAfter - 1500*time.Millisecond)
	p.askFor("customer", "late", 20)
	p.advance(1500 * time.Millisecond) // past its goal
	p.askFor("customer", "ask-11", 20)
	is.Equal(p.nextGranted(), "ask-11")
	is.Equal(p.nextGranted(), "late")
}

// Guards against counting or preferring callers that come back sooner than told.
func TestCallerThatReturnsTooSoonIsNotPreferred(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t)
	p.askFor("customer", "running", 20)
	p.askMany("customer", "ask", 12)
	is.True(p.refused["ask-11"].ID != "")
	delete(p.refused, "ask-11")
	p.advance(300 * time.Millisecond)
	p.askFor("customer", "ask-11", 20)
	is.True(!p.refused["ask-11"].Again)
	is.Equal(p.nextGranted(), "ask-0")
}

// awaitReservation fills the queue until requests are refused, and serves it. It returns
// at the time for which slots are reserved, for the request that it names.
func (p *enginePool) awaitReservation() string {
	p.askFor("customer", "running", 20)
	p.askMany("customer", "ask", 16)
	reserved, retryAfter := "", 4*time.Second
	for id, refused := range p.refused {
		if refused.RetryAfter < retryAfter {
			reserved, retryAfter = id, refused.RetryAfter
		}
	}
	p.is.True(reserved != "")
	for range 16 {
		p.nextGranted()
	}
	p.advance(retryAfter)
	return reserved
}

// Guards against serving many requests with the subject of one refused request on the slots
// that were reserved for that one.
func TestReservedSlotsServeOneReturnedRequest(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t)
	reserved := p.awaitReservation()
	p.askFor("customer", "running-again", 20)
	for i := range 4 {
		p.step(permit.Asked{At: p.now, Ask: permit.Ask{
			ID: fmt.Sprint("copy-", i), Request: fmt.Sprint("copy-", i), Subject: reserved, Customer: "customer", Tier: 1,
			PromptTokens: 1000, AnswerTokens: 20, Deadline: p.now.After(12 * time.Second), Goal: p.now.After(time.Second),
		}})
	}
	p.askFor("customer", "new", 20)
	is.Equal(p.nextGranted(), "copy-0")
	is.Equal(p.nextGranted(), "new")
}

// Guards against a full queue that refuses a higher rank while requests of a lower one wait
// for reserved slots.
func TestHigherRankDisplacesAReturnedRequestOfALowerOne(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t)
	reserved := p.awaitReservation()
	delete(p.refused, reserved)
	p.askFor("customer", "running-again", 20)
	p.step(permit.Configured{At: p.now, QueueLimit: 1, Weights: tierWeights, Endpoints: []permit.EndpointRules{engine(1)}, FairShare: true})
	p.askFor("customer", reserved, 20)
	is.Equal(p.refused[reserved].Reason, permit.Reason(""))
	p.step(permit.Asked{At: p.now, Ask: permit.Ask{
		ID: "higher", PromptTokens: 1000, AnswerTokens: 20, Deadline: p.now.After(12 * time.Second), Goal: p.now.After(time.Second),
	}})
	is.Equal(p.refused[reserved].Reason, permit.Displaced)
	is.Equal(p.nextGranted(), "higher")
}

// Guards against refusing callers a second time although they come back when told.
func TestFewerReturningCallersAreRefusedAgain(t *testing.T) {
	is := is.New(t)
	burst := policy{rateFactor: 0.8, burstFactor: 2, worstWeight: 0.2, identifiesCallers: true, customers: 16, excess: 1}
	plain := simulateLoad(burst)
	burst.fairShare = true
	scheduled := simulateLoad(burst)
	for _, s := range []*simulation{plain, scheduled} {
		t.Log(s.outcomes(), "value", s.valueShare(), "returns", s.returns, "second refusals", s.secondRefusals, "unmet reservations", s.unmetReservations)
	}
	again := func(s *simulation) float64 { return float64(s.secondRefusals) / float64(s.returns) }
	is.True(again(scheduled) < again(plain)-0.1)
	is.True(scheduled.unmetReservations < scheduled.returns/50)
	is.True(scheduled.valueShare() > plain.valueShare()-0.03) // what reservations take from arriving requests
}
