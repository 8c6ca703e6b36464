package permit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// crashingPool is a core with many endpoints, some of whose requests crash them.
type crashingPool struct {
	is   *is.I
	core permit.Core
	now  permit.Instant
	// endpointOf holds where each granted request runs.
	endpointOf map[string]string
	asks       map[string]permit.Ask
	refused    map[string]permit.Refused
	held       []permit.HeldParts
	cleared    []string
	crashes    []permit.Crash
	count      int
}

func newCrashingPool(t *testing.T, endpoints int) *crashingPool {
	p := &crashingPool{is: is.New(t), now: start, endpointOf: map[string]string{}, asks: map[string]permit.Ask{}, refused: map[string]permit.Refused{}}
	rules := make([]permit.EndpointRules, endpoints)
	for i := range rules {
		rules[i] = permit.EndpointRules{Name: fmt.Sprintf("i-%03d", i), Limit: 12, PrefillSpeed: 1000, DecodeSpeed: 100}
	}
	p.step(permit.Configured{At: p.now, QueueLimit: 1000, Endpoints: rules})
	return p
}

func (p *crashingPool) step(event permit.Event) {
	for _, action := range p.core.Step(event) {
		switch a := action.(type) {
		case permit.Granted:
			p.endpointOf[a.ID] = a.Endpoint
		case permit.Refused:
			p.refused[a.ID] = a
		case permit.PartsHeld:
			p.held = append(p.held, a.Held)
		case permit.PartsCleared:
			p.cleared = append(p.cleared, a.Key)
		case permit.CrashFound:
			p.crashes = append(p.crashes, a.Crash)
		}
	}
}

func (p *crashingPool) advance(d time.Duration) {
	p.now = p.now.After(d)
	p.step(permit.Ticked{At: p.now})
}

// ask asks for one request with the given parts, all but the last shared with others.
func (p *crashingPool) ask(subject string, parts ...string) string {
	p.count++
	id := fmt.Sprint("ask-", p.count)
	ask := permit.Ask{ID: id, Request: "r-" + id, Host: "entry-1", Subject: subject, Parts: parts, Deadline: p.now.After(time.Minute), PromptTokens: 10, AnswerTokens: 100}
	p.asks[id] = ask
	p.step(permit.Asked{At: p.now, Ask: ask})
	return id
}

func (p *crashingPool) finish(id string) {
	p.step(permit.Finished{At: p.now, ID: id, Usage: permit.Usage{PromptTokens: 10, AnswerTokens: 5, FirstByte: 10 * time.Millisecond, Total: 20 * time.Millisecond, Begun: true}})
	delete(p.endpointOf, id)
}

// crash crashes the endpoint of a request. Of the requests there, the given ones were
// not begun to be answered.
func (p *crashingPool) crash(notBegun ...string) {
	endpoint := p.endpointOf[notBegun[0]]
	p.is.True(endpoint != "")
	var running []string
	for id, at := range p.endpointOf {
		if at == endpoint {
			running = append(running, id)
		}
	}
	slices.Sort(running)
	for _, id := range running {
		event := permit.Failed{At: p.now, ID: id, Fault: permit.Disconnected, Begun: !slices.Contains(notBegun, id)}
		if !event.Begun {
			suspect := p.asks[id].Suspect()
			event.Suspect = &suspect
		}
		p.step(event)
		delete(p.endpointOf, id)
	}
}

// crashWith sends a request that crashes its endpoint before its answer begins.
func (p *crashingPool) crashWith(subject string, parts ...string) {
	id := p.ask(subject, parts...)
	p.is.Equal(p.refused[id].Reason, permit.Reason(""))
	p.crash(id)
	p.advance(100 * time.Millisecond)
}

func (p *crashingPool) heldNames() []string {
	names := []string{}
	for _, h := range p.held {
		names = append(names, h.Key())
	}
	return names
}

func TestPartThatCrashesEndpointAfterEndpointIsHeld(t *testing.T) {
	for _, endpoints := range []int{9, 60, 90} {
		p := newCrashingPool(t, endpoints)
		p.finish(p.ask("sound", "system", "menu"))
		p.crashWith("s-1", "system", "deadly")
		p.finish(p.ask("sound-2", "system", "menu"))
		p.crashWith("s-1", "system", "deadly")
		p.crashWith("s-2", "system", "menu", "deadly")
		p.is.Equal(p.heldNames(), []string{"deadly"})
		r := p.refused[p.ask("s-3", "system", "deadly")]
		p.is.Equal(r.Reason, permit.Held)
		p.is.Equal(r.Held, "deadly")
		p.is.True(r.RetryAfter > 50*time.Second)
		p.is.Equal(p.refused[p.ask("s-4", "system", "menu")].Reason, permit.Reason(""))
	}
}

func TestTwoPartsThatCrashEndpointsAtOnceAreBothHeld(t *testing.T) {
	p := newCrashingPool(t, 20)
	for i := range 3 {
		p.crashWith(fmt.Sprint("a-", i), "system", "deadly-1")
		p.finish(p.ask(fmt.Sprint("sound-", i), "system"))
		p.crashWith(fmt.Sprint("b-", i), "system", "deadly-2")
		p.finish(p.ask(fmt.Sprint("sound-too-", i), "system"))
	}
	p.is.Equal(p.heldNames(), []string{"deadly-1", "deadly-2"})
}

func TestPartsOfRequestsThatWereBegunAreNotHeld(t *testing.T) {
	p := newCrashingPool(t, 1)
	for i := range 6 {
		begun := p.ask(fmt.Sprint("begun-", i), "system", "popular")
		p.crash(p.ask(fmt.Sprint("s-", i), "system", fmt.Sprint("rare-", i)), begun)
		p.advance(2 * time.Second)
		p.finish(p.ask(fmt.Sprint("again-", i), "system", "popular"))
	}
	p.is.Equal(p.heldNames(), []string{})
}

func TestCrashesWithoutACauseHoldNoPartThatIsAnswered(t *testing.T) {
	p := newCrashingPool(t, 30)
	for round := range 40 {
		var running []string
		for i := range 30 {
			running = append(running, p.ask(fmt.Sprintf("s-%d-%d", round, i), "system", fmt.Sprint("topic-", i%7)))
		}
		p.crash(running[round%30])
		p.advance(100 * time.Millisecond)
		for _, id := range running {
			p.finish(id)
		}
		p.advance(time.Second)
	}
	p.is.True(len(p.crashes) > 30)
	p.is.Equal(p.heldNames(), []string{})
}

func TestSingleBrokenConnectionsAreNoCrash(t *testing.T) {
	p := newCrashingPool(t, 1)
	for i := range 8 {
		p.ask(fmt.Sprint("running-", i), "system", "menu")
	}
	for i := range 4 {
		id := p.ask(fmt.Sprint("s-", i), "system", "other")
		suspect := p.asks[id].Suspect()
		p.step(permit.Failed{At: p.now, ID: id, Fault: permit.Disconnected, Suspect: &suspect})
		p.advance(time.Second)
	}
	p.is.Equal(len(p.crashes), 0)
	p.is.Equal(p.heldNames(), []string{})
}

func TestPartsOfOneRequestThatIsRepeatedAreNotHeldForOthers(t *testing.T) {
	p := newCrashingPool(t, 9)
	for range 3 {
		p.crashWith("only", "system", "menu")
	}
	p.is.Equal(p.heldNames(), []string{"/only"})
	p.is.Equal(p.refused[p.ask("only", "system", "menu")].Reason, permit.Held)
	p.is.Equal(p.refused[p.ask("other", "system", "menu")].Reason, permit.Reason(""))
}

func TestWaitingRequestsWithAHeldPartAreRefusedAtOnce(t *testing.T) {
	p := newCrashingPool(t, 9)
	for i := range 2 {
		p.crashWith(fmt.Sprint("s-", i), "deadly")
	}
	last := p.ask("s-2", "deadly")
	for i := range 2 * 9 * 12 {
		p.ask(fmt.Sprint("filler-", i), "system")
	}
	waiting := p.ask("s-3", "deadly")
	p.is.Equal(p.endpointOf[waiting], "")
	p.crash(last)
	p.advance(time.Second)
	p.is.Equal(p.refused[waiting].Reason, permit.Held)
}

func TestHeldPartIsTriedAgainWithOneRequestAndThenHeldLonger(t *testing.T) {
	p := newCrashingPool(t, 9)
	for i := range 3 {
		p.crashWith(fmt.Sprint("s-", i), "deadly")
	}
	p.advance(p.held[0].Left + time.Second)
	tried := p.ask("s-4", "deadly")
	p.is.True(p.endpointOf[tried] != "")
	p.is.Equal(p.refused[p.ask("s-5", "deadly")].Reason, permit.Held)
	p.crash(tried)
	p.advance(time.Second)
	p.is.True(p.held[len(p.held)-1].Hold > p.held[0].Hold)
	p.is.Equal(p.refused[p.ask("s-6", "deadly")].Reason, permit.Held)
}

func TestAnswerClearsAPartThatWasHeldWrongly(t *testing.T) {
	p := newCrashingPool(t, 9)
	running := p.ask("running", "menu")
	for i := range 3 {
		p.crashWith(fmt.Sprint("s-", i), "menu")
	}
	p.is.Equal(p.heldNames(), []string{"menu"})
	p.finish(running)
	p.is.Equal(p.cleared, []string{"menu"})
	p.is.Equal(p.refused[p.ask("later", "menu")].Reason, permit.Reason(""))
}

func TestNewOwnerHoldsWhatEarlierOwnersLearned(t *testing.T) {
	p, next := newCrashingPool(t, 9), newCrashingPool(t, 9)
	for i := range 2 {
		p.crashWith(fmt.Sprint("s-", i), "deadly")
	}
	next.now = p.now.After(time.Second)
	next.step(permit.Warned{At: next.now, Crashes: p.crashes})
	next.step(permit.Warned{At: next.now, Crashes: p.crashes}) // from another entry
	next.crashWith("s-3", "deadly")
	next.is.Equal(next.heldNames(), []string{"deadly"})
	last := newCrashingPool(t, 9)
	last.step(permit.Warned{At: last.now, Held: next.core.HeldParts()})
	last.is.Equal(last.refused[last.ask("s-4", "deadly")].Reason, permit.Held)
}

func TestRecordOfCrashesIsBounded(t *testing.T) {
	p := newCrashingPool(t, 9)
	for i := range 2000 {
		p.crashWith(fmt.Sprint("s-", i), fmt.Sprint("deadly-", i/3))
		p.advance(31 * time.Second)
	}
	p.is.True(len(p.core.HeldParts()) <= 256)
}

func TestEndpointThatLeavesEndsItsConnectionsWithoutACrash(t *testing.T) {
	p := newCrashingPool(t, 1)
	id := p.ask("s-1", "menu")
	p.step(permit.Configured{At: p.now, QueueLimit: 10, Endpoints: []permit.EndpointRules{{Name: "i-000", Limit: 12, Leaving: true}}})
	p.crash(id)
	p.is.Equal(len(p.crashes), 0)
}

func TestPartsThatWereAlwaysTogetherAreHeldOnlyTogether(t *testing.T) {
	p := newCrashingPool(t, 9)
	for i := range 3 {
		p.crashWith(fmt.Sprint("s-", i), "caller", "deadly")
	}
	p.is.Equal(p.heldNames(), []string{"caller deadly"})
	p.is.Equal(p.refused[p.ask("s-4", "caller", "deadly")].Reason, permit.Held)
	sound := p.ask("s-5", "caller")
	p.is.Equal(p.refused[sound].Reason, permit.Reason(""))
	p.finish(sound)
	p.is.Equal(p.cleared, []string{"caller deadly"})
	p.is.Equal(p.heldNames(), []string{"caller deadly", "deadly"})
	p.is.Equal(p.refused[p.ask("s-6", "other", "deadly")].Reason, permit.Held)
	p.is.Equal(p.refused[p.ask("s-7", "caller")].Reason, permit.Reason(""))
}

func TestCrashTellsWhichOfTheHeldPartsIsToBlame(t *testing.T) {
	p := newCrashingPool(t, 9)
	for i := range 3 {
		p.crashWith(fmt.Sprint("s-", i), "caller", "deadly")
	}
	p.crashWith("s-4", "other", "deadly")
	p.is.Equal(p.heldNames(), []string{"caller deadly", "deadly"})
	p.is.Equal(p.refused[p.ask("s-5", "another", "deadly")].Reason, permit.Held)
	p.is.Equal(p.refused[p.ask("s-6", "caller")].Reason, permit.Reason(""))
}

func TestPartsOfBystandersAreNotHeldForCrashesOfAHeldPart(t *testing.T) {
	p := newCrashingPool(t, 9)
	for i := range 2 {
		p.crashWith(fmt.Sprint("s-", i), "deadly", "rare")
	}
	p.crashWith("s-3", "deadly")
	p.crashWith("s-4", "rare")
	p.is.Equal(p.heldNames(), []string{"deadly"})
}
