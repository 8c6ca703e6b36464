package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// enginePool drives a core that serves model engines, whose requests have goals, and
// records its decisions.
type enginePool struct {
	is   *is.I
	core permit.Core
	now  permit.Instant
	// grantedTo maps the ID of each permit in use to its endpoint.
	grantedTo map[string]string
	refused   map[string]permit.Refused
	// reportsFirstPart holds, by ID, whether the grant asks for a report of the first
	// part.
	reportsFirstPart map[string]bool
}

// tierWeights are what an answer of each tier is worth, the highest tier first.
var tierWeights = []float64{20, 5.5, 1}

// newEnginePool returns a pool of the given endpoints, with three tiers.
func newEnginePool(t *testing.T, endpoints ...permit.EndpointRules) *enginePool {
	p := &enginePool{is: is.New(t), now: permit.Instant(time.Hour), grantedTo: map[string]string{}, refused: map[string]permit.Refused{}, reportsFirstPart: map[string]bool{}}
	p.step(permit.Configured{At: p.now, QueueLimit: 1000, Weights: tierWeights, Endpoints: endpoints})
	return p
}

// engine returns the rules of an engine whose speeds are configured.
func engine(limit int) permit.EndpointRules {
	return permit.EndpointRules{Name: "i-1", Limit: limit, PrefillSpeed: 100_000, DecodeSpeed: 50}
}

func (p *enginePool) step(e permit.Event) {
	for _, action := range p.core.Step(e) {
		switch a := action.(type) {
		case permit.Granted:
			p.grantedTo[a.ID] = a.Endpoint
			p.reportsFirstPart[a.ID] = a.ReportFirstPart
		case permit.Refused:
			p.refused[a.ID] = a
		case permit.Suspended:
			p.is.Fail() // these engines can't resume an answer, so nothing may be suspended
		}
	}
}

// askWithGoal asks for an answer whose first part should arrive within goal.
func (p *enginePool) askWithGoal(id string, goal time.Duration) {
	p.step(permit.Asked{At: p.now, Ask: permit.Ask{
		ID: id, Tier: 1, PromptTokens: 1000, AnswerTokens: 20, GapGoal: 300 * time.Millisecond,
		Deadline: p.now.After(12 * time.Second), Goal: p.now.After(goal), Patience: p.now.After(2400 * time.Millisecond),
	}})
}

// advance lets d pass, with a tick every 10 ms.
func (p *enginePool) advance(d time.Duration) {
	for end := p.now.After(d); p.now < end; p.now = p.now.After(10 * time.Millisecond) {
		p.step(permit.Ticked{At: p.now})
	}
}

// finish returns the permit of a request whose answer took total.
func (p *enginePool) finish(id string, total time.Duration) {
	delete(p.grantedTo, id)
	p.step(permit.Finished{At: p.now, ID: id, Usage: permit.Usage{PromptTokens: 1000, AnswerTokens: 20, FirstByte: 50 * time.Millisecond, Total: total}})
}

func TestRequestsAreServedByTheirValueForTheTimeTheyTake(t *testing.T) {
	p := newEnginePool(t, engine(1))
	// The engine produces 50 parts a second, so a plan takes 2 s, a question 1 s and
	// a check 0.1 s. The check is worth least, but it frees its slot so soon that it
	// goes before the question.
	parts := []int{100, 50, 5}
	askWithoutPatience := func(id string, tier int) {
		p.step(permit.Asked{At: p.now, Ask: permit.Ask{ID: id, Tier: tier, PromptTokens: 1000, AnswerTokens: parts[tier], Deadline: p.now.After(time.Minute), Goal: p.now.After(time.Second)}})
	}
	askWithoutPatience("running", 1)
	askWithoutPatience("question", 1)
	askWithoutPatience("check", 2)
	askWithoutPatience("plan", 0)
	for _, next := range []string{"plan", "check", "question"} {
		for id := range p.grantedTo {
			p.finish(id, 100*time.Millisecond)
		}
		p.is.Equal(p.grantedTo[next], "i-1")
	}
}

// The order of the queues compares what a request is worth with the time it holds a
// slot. If that time were measured on the tier's own requests alone, one check on a
// slow endpoint would make all checks look much longer than they are.
func TestSlowEndpointDoesNotMakeATierLookExpensive(t *testing.T) {
	p := newEnginePool(t, permit.EndpointRules{Name: "i-1", Limit: 1}, permit.EndpointRules{Name: "i-2", Limit: 1})
	ask := func(id string, tier, parts int) {
		p.step(permit.Asked{At: p.now, Ask: permit.Ask{ID: id, Tier: tier, PromptTokens: 1000, AnswerTokens: parts, Deadline: p.now.After(time.Minute), Goal: p.now.After(30 * time.Second)}})
	}
	answer := func(id string, parts int, part time.Duration) {
		delete(p.grantedTo, id)
		total := 50*time.Millisecond + time.Duration(parts)*part
		p.step(permit.Finished{At: p.now, ID: id, Usage: permit.Usage{PromptTokens: 1000, AnswerTokens: parts, FirstByte: 50 * time.Millisecond, Total: total}})
	}
	const fast, slow = 10 * time.Millisecond, 100 * time.Millisecond
	ask("first", 1, 40)
	ask("check", 2, 4) // the only check so far runs on the slow endpoint
	slowEndpoint := p.grantedTo["check"]
	answer("check", 4, slow)
	answer("first", 40, fast)
	ask("again", 1, 40)
	ask("beside", 1, 40)
	p.is.Equal(len(p.grantedTo), 2)
	ask("question", 1, 40) // worth 5.5 times as much as a check, for six times the work
	ask("another", 2, 3)
	done := "again"
	if p.grantedTo[done] == slowEndpoint {
		done = "beside"
	}
	answer(done, 40, fast)
	p.is.True(p.grantedTo["another"] != "")
}

func TestRequestThatMissedItsGoalGoesBehindThoseThatCanMeetTheirs(t *testing.T) {
	p := newEnginePool(t, engine(1))
	p.askWithGoal("running", 400*time.Millisecond)
	p.askWithGoal("late", 100*time.Millisecond)
	p.advance(300 * time.Millisecond)
	p.askWithGoal("fresh", 400*time.Millisecond)
	p.finish("running", 100*time.Millisecond)
	p.is.Equal(p.grantedTo["fresh"], "i-1")
	p.finish("fresh", 100*time.Millisecond)
	p.is.Equal(p.grantedTo["late"], "i-1") // a late answer is still worth something
}

// The core keeps the goal of a refused request for when its caller asks again. A
// request of another customer with the same subject must not inherit that goal,
// which may have passed already.
func TestRefusalOfOneCustomerDoesNotMakeAnotherLate(t *testing.T) {
	p := newEnginePool(t, engine(1))
	ask := func(id, customer string) {
		p.step(permit.Asked{At: p.now, Ask: permit.Ask{
			ID: id, Subject: "menu", Customer: customer, Tier: 1, PromptTokens: 1000, AnswerTokens: 20,
			Deadline: p.now.After(12 * time.Second), Goal: p.now.After(time.Second),
		}})
	}
	p.step(permit.Configured{At: p.now, QueueLimit: 1, Weights: tierWeights, Endpoints: []permit.EndpointRules{engine(1)}})
	p.askWithGoal("running", 400*time.Millisecond)
	p.askWithGoal("waiting", time.Second)
	ask("refused", "tower") // the queue is full
	_, refused := p.refused["refused"]
	p.is.True(refused)
	p.step(permit.Withdrawn{At: p.now, ID: "waiting"})
	p.step(permit.Configured{At: p.now, QueueLimit: 9, Weights: tierWeights, Endpoints: []permit.EndpointRules{engine(1)}})
	p.advance(1100 * time.Millisecond) // the goal of the refused request has passed
	ask("back", "tower")
	ask("first", "shop")
	p.finish("running", 400*time.Millisecond)
	p.is.Equal(p.grantedTo["first"], "i-1")
	p.is.Equal(p.grantedTo["back"], "")
}

// A refused request that is asked for again keeps its first goal. With a new goal it
// would go before requests whose callers have not waited at all.
func TestReturningCallerKeepsItsFirstGoal(t *testing.T) {
	p := newEnginePool(t, engine(1))
	ask := func(id, subject string) {
		p.step(permit.Asked{At: p.now, Ask: permit.Ask{
			ID: id, Subject: subject, Tier: 1, PromptTokens: 1000, AnswerTokens: 20, GapGoal: 300 * time.Millisecond,
			Deadline: p.now.After(12 * time.Second), Goal: p.now.After(400 * time.Millisecond), Patience: p.now.After(2400 * time.Millisecond),
		}})
	}
	for i := range 20 {
		ask(fmt.Sprint("first-", i), fmt.Sprint("subject-", i))
	}
	returning := ""
	for i := range 20 {
		if _, refused := p.refused[fmt.Sprint("first-", i)]; refused {
			returning = fmt.Sprint("subject-", i)
		}
	}
	p.is.True(returning != "")
	p.advance(3 * time.Second) // the callers of all but the running request have run out of patience
	ask("back", returning)
	ask("fresh", "another")
	p.finish("first-0", 400*time.Millisecond)
	p.is.Equal(p.grantedTo["fresh"], "i-1") // its goal can still be met
	p.finish("fresh", 400*time.Millisecond)
	p.is.Equal(p.grantedTo["back"], "i-1")
	p.finish("back", 400*time.Millisecond)
	p.advance(6 * time.Second)
	ask("next", "other")
	ask("long-after", returning) // so long after the refusal it counts as a new request
	ask("fresh-too", "yet-another")
	p.finish("next", 400*time.Millisecond)
	p.is.Equal(p.grantedTo["long-after"], "i-1")
}

func TestHopelessRequestIsRefusedAtOnceWithARetryTime(t *testing.T) {
	p := newEnginePool(t, engine(1))
	for i := range 20 {
		id := fmt.Sprint("known-", i)
		p.askWithGoal(id, 400*time.Millisecond)
		p.finish(id, time.Second)
	}
	for i := range 12 { // the slot becomes free once a second, and callers wait 2.4 s
		p.askWithGoal(fmt.Sprint("ask-", i), 400*time.Millisecond)
	}
	p.is.True(len(p.refused) >= 7)
	for id, refused := range p.refused {
		p.is.Equal(refused.Reason, permit.Crowded)
		p.is.Equal(refused.Waited, time.Duration(0)) // refused at once, not after a wait
		p.is.True(refused.RetryAfter >= 250*time.Millisecond)
		p.is.Equal(p.grantedTo[id], "")
	}
}

// An endpoint without measurements may be slow. It gets two requests until the first
// part of an answer shows its speed, rather than all that its limit allows.
func TestUnmeasuredEndpointGetsTwoRequestsUntilItsFirstPart(t *testing.T) {
	p := newEnginePool(t, permit.EndpointRules{Name: "i-1", Limit: 12})
	for i := range 5 {
		p.askWithGoal(fmt.Sprint("ask-", i), 400*time.Millisecond)
	}
	p.is.Equal(len(p.grantedTo), 2)
	p.is.True(p.reportsFirstPart["ask-0"])
	p.step(permit.Progressed{At: p.now, ID: "ask-0", Usage: permit.Usage{PromptTokens: 1000, FirstByte: 60 * time.Millisecond}})
	p.is.Equal(len(p.grantedTo), 5)
}

// A long prompt or answer would keep a slow endpoint busy for seconds. Long requests
// therefore wait until the speed of an endpoint has been measured, or until they would
// miss their goals.
func TestLongRequestWaitsForAMeasuredEndpoint(t *testing.T) {
	p := newEnginePool(t, permit.EndpointRules{Name: "i-1", Limit: 12}, permit.EndpointRules{Name: "i-2", Limit: 12})
	ask := func(id string, prompt, parts int) {
		p.step(permit.Asked{At: p.now, Ask: permit.Ask{ID: id, PromptTokens: prompt, AnswerTokens: parts, Deadline: p.now.After(12 * time.Second), Goal: p.now.After(time.Second)}})
	}
	ask("short", 600, 10)
	ask("prompt", 30_000, 10)
	ask("answer", 600, 200)
	measured := p.grantedTo["short"]
	p.is.Equal(len(p.grantedTo), 1) // a slow endpoint would be busy with either of the long requests for seconds
	p.advance(100 * time.Millisecond)
	p.step(permit.Finished{At: p.now, ID: "short", Usage: permit.Usage{PromptTokens: 600, AnswerTokens: 10, FirstByte: 30 * time.Millisecond, Total: 100 * time.Millisecond}})
	p.is.Equal(p.grantedTo["prompt"], measured)
	p.is.Equal(p.grantedTo["answer"], measured)
	ask("alone", 30_000, 10)
	p.step(permit.Marked{At: p.now, Endpoint: measured})
	ask("next", 30_000, 10)
	p.is.Equal(p.grantedTo["next"], "")
	p.advance(950 * time.Millisecond)
	p.is.True(p.grantedTo["next"] != "") // an endpoint without measurements is better than missing the goal
}

// A new owner receives the learned rates with the permits that hosts list. Without
// the rates, the permits of the earlier owner would use up the two requests that an
// endpoint without measurements gets, and new requests would wait for them.
func TestNewOwnerUsesRatesThatTheEarlierOneLearned(t *testing.T) {
	earlier := newEnginePool(t, permit.EndpointRules{Name: "i-1", Limit: 12})
	earlier.askWithGoal("first", 400*time.Millisecond)
	earlier.finish("first", 450*time.Millisecond)
	var rates *permit.LearnedRates
	for _, action := range earlier.core.Step(permit.Asked{At: earlier.now, Ask: permit.Ask{ID: "second", PromptTokens: 1000, Deadline: earlier.now.After(time.Minute)}}) {
		if granted, isGrant := action.(permit.Granted); isGrant {
			rates = granted.Rates
		}
	}
	earlier.is.True(rates != nil)
	earlier.is.Equal(rates.PerPart, 0.02) // 20 parts in 400 ms

	p := newEnginePool(t, permit.EndpointRules{Name: "i-1", Limit: 12})
	p.step(permit.Listed{At: p.now, Host: "entry-1", Permits: []permit.Permit{{ID: "long-1", Endpoint: "i-1"}, {ID: "long-2", Endpoint: "i-1"}}, Rates: []permit.LearnedRates{*rates}})
	for i := range 5 {
		p.askWithGoal(fmt.Sprint("ask-", i), 400*time.Millisecond)
	}
	p.is.Equal(len(p.grantedTo), 5) // nothing waits for the long answers of the earlier owner
}

func TestPromptCostIsSeparatedFromFixedCost(t *testing.T) {
	p := newEnginePool(t, permit.EndpointRules{Name: "slow", Limit: 1}, permit.EndpointRules{Name: "fast", Limit: 1})
	// Each request costs 60 ms on both endpoints; a token of its prompt costs 24 µs on
	// the slow one and 5 µs on the fast one.
	cost := map[string]float64{"slow": 24, "fast": 5}
	for i := range 20 {
		tokens := 500 + 700*(i%7)
		ids := []string{fmt.Sprint("first-", i), fmt.Sprint("second-", i)} // one on each endpoint
		for _, id := range ids {
			p.step(permit.Asked{At: p.now, Ask: permit.Ask{ID: id, PromptTokens: tokens, Deadline: p.now.After(time.Minute), Goal: p.now.After(time.Second)}})
		}
		for _, id := range ids {
			first := 60*time.Millisecond + time.Duration(cost[p.grantedTo[id]]*float64(tokens))*time.Microsecond
			p.step(permit.Finished{At: p.now, ID: id, Usage: permit.Usage{PromptTokens: tokens, AnswerTokens: 1, FirstByte: first, Total: first + 10*time.Millisecond}})
		}
		p.advance(100 * time.Millisecond)
	}
	// Only the fast endpoint can meet a goal of 400 ms with a prompt of 30,000 tokens.
	p.step(permit.Asked{At: p.now, Ask: permit.Ask{ID: "long", PromptTokens: 30_000, AnswerTokens: 1, Deadline: p.now.After(time.Minute), Goal: p.now.After(400 * time.Millisecond)}})
	p.is.Equal(p.grantedTo["long"], "fast")
}

// newPoolAfterFault returns a pool whose engine failed request a, and which was then
// asked for b.
func newPoolAfterFault(t *testing.T, fault permit.Fault) *enginePool {
	p := newEnginePool(t, engine(5))
	p.askWithGoal("a", 400*time.Millisecond)
	p.step(permit.Failed{At: p.now, ID: "a", Fault: fault})
	p.askWithGoal("b", 400*time.Millisecond)
	return p
}

// An endpoint that rejects a request for lack of a slot has not failed: it gets work
// again sooner than after a failure.
func TestFullEndpointIsSkippedOnlyBriefly(t *testing.T) {
	p := newPoolAfterFault(t, permit.Rejected)
	p.is.Equal(p.grantedTo["b"], "")
	p.advance(200 * time.Millisecond)
	p.is.Equal(p.grantedTo["b"], "i-1")
}

func TestOneLostAnswerDoesNotCloseAnEndpoint(t *testing.T) {
	p := newPoolAfterFault(t, permit.Lost)
	p.is.Equal(p.grantedTo["b"], "i-1")
	for i := range 8 { // from here on every answer is lost
		id := fmt.Sprint("lost-", i)
		p.askWithGoal(id, 400*time.Millisecond)
		p.step(permit.Failed{At: p.now, ID: id, Fault: permit.Lost})
	}
	p.askWithGoal("c", 400*time.Millisecond)
	p.is.Equal(p.grantedTo["c"], "")
}

// A request that gets no data for long may meet an endpoint that hangs or may just be
// slow itself. The endpoint gets no new work only if it has answered no other request
// since the grant.
func TestUnresponsiveRequestStallsItsEndpointOnlyIfNoOtherIsAnswered(t *testing.T) {
	p := newEnginePool(t, engine(5))
	p.askWithGoal("slow", 400*time.Millisecond)
	p.askWithGoal("other", 400*time.Millisecond)
	p.advance(500 * time.Millisecond)
	p.finish("other", 500*time.Millisecond)
	p.step(permit.Stalled{At: p.now, ID: "slow"})
	p.askWithGoal("next", 400*time.Millisecond)
	p.is.Equal(p.grantedTo["next"], "i-1") // the endpoint has answered another request since
	p.advance(500 * time.Millisecond)
	p.step(permit.Stalled{At: p.now, ID: "next"})
	p.askWithGoal("later", 400*time.Millisecond)
	p.is.Equal(p.grantedTo["later"], "")
}

func TestLongPromptThatHoldsUpOthersWaitsUntilItsLatestStart(t *testing.T) {
	slow := permit.EndpointRules{Name: "slow", Limit: 5, PrefillSpeed: 20_000, DecodeSpeed: 20}
	p := newEnginePool(t, slow)
	p.askWithGoal("stream", 400*time.Millisecond)
	long := permit.Ask{ID: "long", PromptTokens: 8000, AnswerTokens: 20, Deadline: p.now.After(12 * time.Second), Goal: p.now.After(time.Second), Patience: p.now.After(2400 * time.Millisecond)}
	p.step(permit.Asked{At: p.now, Ask: long})
	p.is.Equal(p.grantedTo["long"], "") // 400 ms of prompt would hold up the stream beyond its gap goal of 300 ms
	p.advance(700 * time.Millisecond)
	p.is.Equal(p.grantedTo["long"], "slow") // it can't wait any longer
}
