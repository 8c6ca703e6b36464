package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

const (
	limitStep  = 20 * time.Millisecond
	answerTime = 100 * time.Millisecond
	// promptTokenTime is the time for one token of a prompt.
	promptTokenTime = 10 * time.Microsecond
)

// limitedPool is a core whose endpoints answer each request after answerTime and the time
// for its prompt, and may name limits.
type limitedPool struct {
	is   *is.I
	core permit.Core
	now  permit.Instant
	// grants holds when each endpoint was sent requests, ends when they are answered.
	grants  map[string][]permit.Instant
	large   map[string]int
	ends    map[permit.Instant][]string
	tokens  map[string]int
	refused int
	count   int
}

func newLimitedPool(t *testing.T, endpoints ...string) *limitedPool {
	p := &limitedPool{is: is.New(t), now: start, grants: map[string][]permit.Instant{}, large: map[string]int{}, ends: map[permit.Instant][]string{}, tokens: map[string]int{}}
	p.configure(0, endpoints...)
	return p
}

func (p *limitedPool) configure(share float64, endpoints ...string) {
	rules := make([]permit.EndpointRules, len(endpoints))
	for i, name := range endpoints {
		rules[i] = permit.EndpointRules{Name: name, Limit: 20, PrefillSpeed: 1e5, DecodeSpeed: 1e4}
	}
	p.step(permit.Configured{At: p.now, QueueLimit: 1000, Weights: []float64{5, 1}, Endpoints: rules, RateShare: share})
}

func (p *limitedPool) step(event permit.Event) []permit.Action {
	actions := p.core.Step(event)
	for _, action := range actions {
		switch a := action.(type) {
		case permit.Granted:
			p.grants[a.Endpoint] = append(p.grants[a.Endpoint], p.now)
			if a.ID[0] == 'l' {
				p.large[a.Endpoint]++
			}
			end := p.now.After((answerTime + time.Duration(p.tokens[a.ID])*promptTokenTime).Round(limitStep))
			p.ends[end] = append(p.ends[end], a.ID)
		case permit.Refused:
			p.refused++
		}
	}
	return actions
}

func (p *limitedPool) name(endpoint string, perSecond float64) {
	p.step(permit.Limited{At: p.now, Limit: permit.RateLimit{Endpoint: endpoint, Named: true, PerSecond: perSecond}})
}

func (p *limitedPool) ask(kind string, tier, tokens int) {
	p.count++
	id := fmt.Sprint(kind, p.count)
	p.tokens[id] = tokens
	p.step(permit.Asked{At: p.now, Ask: permit.Ask{
		ID: id, Request: fmt.Sprint("r-", p.count), Tier: tier, Deadline: p.now.After(4 * time.Second), Goal: p.now.After(time.Second),
		PromptTokens: tokens, AnswerTokens: 10,
	}})
}

// run advances the time, and asks for requests at each step.
func (p *limitedPool) run(d time.Duration, asks func(step int)) {
	for i := range int(d / limitStep) {
		p.now = p.now.After(limitStep)
		for _, id := range p.ends[p.now] {
			prompt := time.Duration(p.tokens[id]) * promptTokenTime
			p.step(permit.Finished{At: p.now, ID: id, Usage: permit.Usage{PromptTokens: p.tokens[id], AnswerTokens: 10, FirstByte: prompt, Total: prompt + answerTime}})
		}
		asks(i)
		p.step(permit.Ticked{At: p.now})
	}
}

func (p *limitedPool) askOne(int) { p.ask("small-", 1, 100) }

// most returns how many requests an endpoint got at most in a window.
func (p *limitedPool) most(endpoint string, window time.Duration) int {
	most, first := 0, 0
	for i, at := range p.grants[endpoint] {
		for at.Since(p.grants[endpoint][first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestEndpointGetsWhatItsLimitAllowsAndNoMore(t *testing.T) {
	for _, perSecond := range []float64{1, 3.3, 8.1, 28} {
		p := newLimitedPool(t, "i-1")
		p.name("i-1", perSecond)
		p.run(20*time.Second, p.askOne)
		p.is.True(float64(p.most("i-1", 4*time.Second)) <= 4*1.2*perSecond+2)
		p.is.True(float64(len(p.grants["i-1"])) >= 0.95*20*perSecond-1)
		p.is.True(float64(p.most("i-1", time.Second)) <= 1.3*perSecond+2) // evenly
	}
}

func TestEndpointThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	p := newLimitedPool(t, "i-1", "i-2")
	p.name("i-1", 0)
	p.run(60*time.Second, p.askOne)
	p.is.True(len(p.grants["i-1"]) >= 3 && len(p.grants["i-1"]) <= 7)
}

func TestLimitThatIsLargerThanAllTrafficHoldsNothingBack(t *testing.T) {
	p := newLimitedPool(t, "i-1")
	p.name("i-1", 1e300)
	p.run(10*time.Second, p.askOne)
	p.is.True(len(p.grants["i-1"]) >= 490)
}

func TestEndpointThatNamesNoLimitAnyMoreGetsItsFullLoad(t *testing.T) {
	p := newLimitedPool(t, "i-1")
	p.name("i-1", 2)
	p.run(5*time.Second, p.askOne)
	p.is.True(len(p.grants["i-1"]) < 15)
	p.step(permit.Limited{At: p.now, Limit: permit.RateLimit{Endpoint: "i-1"}})
	before := len(p.grants["i-1"])
	p.run(5*time.Second, p.askOne)
	p.is.True(len(p.grants["i-1"])-before >= 240)
}

func TestOwnerOfPartOfTheFleetUsesItsPartOfALimit(t *testing.T) {
	p := newLimitedPool(t, "i-1")
	p.name("i-1", 10)
	p.configure(0.5, "i-1")
	p.run(10*time.Second, p.askOne)
	p.is.True(len(p.grants["i-1"]) <= 53)
}

func TestChangesOfALimitAreReportedOnce(t *testing.T) {
	p := newLimitedPool(t, "i-1")
	named := permit.Limited{At: p.now, Limit: permit.RateLimit{Endpoint: "i-1", Named: true, PerSecond: 4}}
	p.is.Equal(len(p.step(named)), 1)
	p.is.Equal(len(p.step(named)), 0)
	named.Limit.PerSecond = 2
	p.is.Equal(len(p.step(named)), 1)
	lifted := permit.Limited{At: p.now, Limit: permit.RateLimit{Endpoint: "i-1"}}
	p.is.Equal(len(p.step(lifted)), 1)
	p.is.Equal(len(p.step(lifted)), 0)
}

func TestGrantSaysWhatTheOwnerKnowsOfALimit(t *testing.T) {
	p := newLimitedPool(t, "i-1")
	p.name("i-1", 50)
	p.now = p.now.After(time.Second)
	actions := p.step(permit.Asked{At: p.now, Ask: permit.Ask{ID: "a", Deadline: p.now.After(time.Second)}})
	granted, isGrant := actions[0].(permit.Granted)
	p.is.True(isGrant)
	p.is.Equal(granted.Limit.PerSecond, 50.0)
}

// An endpoint that takes few requests a second has slots for the large ones.
func TestLargeRequestsGetTheScarceLimit(t *testing.T) {
	p := newLimitedPool(t, "limited", "other")
	both := func(step int) {
		p.ask("small-", 1, 100)
		if step%2 == 0 {
			p.ask("large-", 0, 2000)
		}
	}
	p.run(2*time.Second, both)
	p.name("limited", 20)
	clear(p.grants)
	clear(p.large)
	p.run(10*time.Second, both)
	p.is.True(len(p.grants["limited"]) > 180)
	p.is.True(float64(p.large["limited"]) > 0.9*float64(len(p.grants["limited"])))
	p.is.True(p.refused == 0)
}
