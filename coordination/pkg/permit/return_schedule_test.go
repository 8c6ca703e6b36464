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
	for i := range 16 {
		p.askFor("customer", fmt.Sprint("ask-", i), 20)
	}
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
	for i := range 12 {
		p.askFor("customer", fmt.Sprint("ask-", i), 20)
	}
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
	for i := range 12 {
		p.askFor("customer", fmt.Sprint("ask-", i), 20)
	}
	is.True(p.refused["ask-11"].ID != "")
	delete(p.refused, "ask-11")
	p.advance(300 * time.Millisecond)
	p.askFor("customer", "ask-11", 20)
	is.True(!p.refused["ask-11"].Again)
	is.Equal(p.nextGranted(), "ask-0")
}

// Guards against serving many requests with the subject of one refused request on the slots
// that were reserved for that one.
func TestReservedSlotsServeOneReturnedRequest(t *testing.T) {
	is := is.New(t)
	p := newSharedPool(t)
	p.askFor("customer", "running", 20)
	for i := range 16 {
		p.askFor("customer", fmt.Sprint("ask-", i), 20)
	}
	promised, retryAfter := "", 4*time.Second
	for id, refused := range p.refused {
		if refused.RetryAfter < retryAfter {
			promised, retryAfter = id, refused.RetryAfter
		}
	}
	is.True(promised != "")
	for range 16 {
		p.nextGranted()
	}
	p.advance(retryAfter)
	p.askFor("customer", "running-again", 20)
	for i := range 4 {
		p.step(permit.Asked{At: p.now, Ask: permit.Ask{
			ID: fmt.Sprint("copy-", i), Request: fmt.Sprint("copy-", i), Subject: promised, Customer: "customer", Tier: 1,
			PromptTokens: 1000, AnswerTokens: 20, Deadline: p.now.After(12 * time.Second), Goal: p.now.After(time.Second),
		}})
	}
	p.askFor("customer", "new", 20)
	is.Equal(p.nextGranted(), "copy-0")
	is.Equal(p.nextGranted(), "new")
}

// Guards against refusing callers a second time although they come back when told.
func TestFewerReturningCallersAreRefusedAgain(t *testing.T) {
	is := is.New(t)
	burst := policy{rateFactor: 0.8, burstFactor: 2, worstWeight: 0.2, identifiesCallers: true, customers: 16, excess: 1}
	plain := simulateLoad(burst)
	burst.fairShare = true
	scheduled := simulateLoad(burst)
	for _, s := range []*simulation{plain, scheduled} {
		t.Log(s.outcomes(), "value", s.valueShare(), "returns", s.returns, "second refusals", s.secondRefusals, "broken promises", s.brokenPromises)
	}
	again := func(s *simulation) float64 { return float64(s.secondRefusals) / float64(s.returns) }
	is.True(again(scheduled) < again(plain)-0.1)
	is.True(scheduled.brokenPromises < scheduled.returns/50)
	is.True(scheduled.valueShare() > plain.valueShare()-0.03) // what promises take from arriving requests
}
