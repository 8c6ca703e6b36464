package permit_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// These tests simulate the load of a lunch assistant: nine engines of different
// speeds, three kinds of requests, bursts, and callers that ask once more after a
// refusal.
const (
	tick     = 5 * time.Millisecond
	loadSpan = 30 * time.Second
	// places is the batch size of an engine, and partTokens the number of tokens in a
	// part of an answer.
	places     = 12
	partTokens = 6
	// A step of an engine produces one token of each answer in the batch. It takes
	// stepTime, and stepPerPlace more for each request in the batch. Prompts are
	// prefilled between steps, promptRate tokens a second. No answer begins earlier
	// than startTime after its grant.
	stepTime     = 3270 * time.Microsecond
	stepPerPlace = 82 * time.Microsecond
	promptRate   = 125_000.0
	startTime    = 62 * time.Millisecond
	// comesBackWithin is the largest share of the time it has left that a refused
	// caller waits before it asks again.
	comesBackWithin = 1.0 / 3
)

// kind is one kind of request. Its index in kinds is its tier.
type kind struct {
	name string
	// rate is the number of requests a second.
	rate float64
	// prompt and parts are the mean sizes, in tokens and in parts of the answer. The
	// sizes are log-normal, and spread is the standard deviation of their logarithm.
	prompt, parts float64
	spread        float64
	goal          time.Duration
	deadline      time.Duration
	// worth is the value of an answer that meets its goal, late that of one that
	// misses it.
	worth, late float64
}

var kinds = []kind{
	{name: "plan", rate: 25, prompt: 6600, parts: 64, spread: 1, goal: 600 * time.Millisecond, deadline: 15 * time.Second, worth: 7.5, late: 2.2},
	{name: "chat", rate: 35, prompt: 630, parts: 49, spread: 0.9, goal: 400 * time.Millisecond, deadline: 12 * time.Second, worth: 2.1, late: 0.64},
	{name: "check", rate: 49, prompt: 1800, parts: 4, spread: 0.9, goal: 400 * time.Millisecond, deadline: 3 * time.Second, worth: 0.3, late: 0.09},
}

// call is one request of a caller over all its tries.
type call struct {
	kind          int
	prompt, parts int
	// guess is the number of parts that the caller expects.
	guess int
	// begun is the time of the first try, at that of the latest or next one.
	begun time.Duration
	at    time.Duration
	tries int
	// first is when the first part arrived, zero if none has.
	first time.Duration
	done  bool
}

// run is a request that runs on an engine.
type run struct {
	id      string
	call    *call
	granted time.Duration
	// prompt is the number of tokens of the prompt that are left to prefill, and
	// tokens the number that the answer has so far.
	prompt float64
	tokens float64
	first  time.Duration
}

// machine simulates one engine. While it prefills a prompt, none of its answers
// advances.
type machine struct {
	slowness float64
	runs     []*run
}

// step simulates one tick. It returns the runs that produced their first part in it,
// and those that ended.
func (m *machine) step(now time.Duration) (first, ended []*run) {
	left := tick
	for _, r := range m.runs {
		if r.prompt > 0 && left > 0 {
			taken := min(r.prompt, promptRate/m.slowness*left.Seconds())
			r.prompt -= taken
			left -= time.Duration(taken * m.slowness / promptRate * float64(time.Second))
		}
	}
	step := float64(stepTime+time.Duration(len(m.runs))*stepPerPlace) * m.slowness
	for _, r := range m.runs {
		if r.prompt > 0 || now-r.granted < time.Duration(float64(startTime)*m.slowness) {
			continue
		}
		r.tokens += float64(left) / step
		if r.first == 0 && r.tokens >= partTokens {
			r.first = now
			first = append(first, r)
		}
		if r.tokens >= float64(r.call.parts*partTokens) {
			ended = append(ended, r)
		}
	}
	m.runs = slices.DeleteFunc(m.runs, func(r *run) bool { return slices.Contains(ended, r) })
	return first, ended
}

// policy holds what differs between simulations of the load.
type policy struct {
	// load is a factor of the usual request rates; burst is a further one in the first
	// 3 s of every 10.
	load, burst float64

	worstWeight float64
	// knowsCallers sets the subject of each ask, by which the core recognises a request
	// that is asked for again after a refusal.
	knowsCallers bool
}

// play is one simulation of the load.
type play struct {
	policy   policy
	core     permit.Core
	now      time.Duration
	machines map[string]*machine
	calls    []*call
	// due holds the tries that are still to come, by time.
	due []*call
	// asking maps the ID of each ask to its call.
	asking map[string]*call
	next   int
}

// playLoad simulates the load under a policy, and 20 s more, which is longer than any
// deadline.
func playLoad(p policy) *play {
	l := &play{policy: p, machines: map[string]*machine{}, asking: map[string]*call{}}
	var rules []permit.EndpointRules
	for i := range 9 {
		name := fmt.Sprint("engine-", i)
		l.machines[name] = &machine{slowness: []float64{0.68, 0.68, 3}[i%3]}
		rules = append(rules, permit.EndpointRules{Name: name, Limit: places})
	}
	l.arrive(rand.New(rand.NewPCG(20261204, 8)))
	l.core.Step(permit.Configured{At: start, Tiers: len(kinds), QueueLimit: 2000, Weights: weights, WorstWeight: p.worstWeight, Endpoints: rules})
	for ; l.now < loadSpan+20*time.Second; l.now += tick {
		l.pass()
	}
	return l
}

// arrive draws the times and sizes of all calls.
func (l *play) arrive(r *rand.Rand) {
	for index, k := range kinds {
		for at := time.Duration(0); at < loadSpan; {
			rate := k.rate * l.policy.load
			if at%(10*time.Second) < 3*time.Second {
				rate *= l.policy.burst
			}
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			size := func(mean float64) float64 {
				return mean * math.Exp(k.spread*r.NormFloat64()-k.spread*k.spread/2)
			}
			parts := max(1, int(size(k.parts)))
			guess := max(1, int(float64(parts)*math.Exp(0.5*r.NormFloat64())))
			l.calls = append(l.calls, &call{kind: index, prompt: int(size(k.prompt)) + 1, parts: min(parts, int(10*k.parts)), guess: guess, begun: at, at: at})
		}
	}
	slices.SortFunc(l.calls, func(a, b *call) int { return cmp.Compare(a.begun, b.begun) })
	l.due = slices.Clone(l.calls)
}

// pass simulates one tick.
func (l *play) pass() {
	for len(l.due) > 0 && l.due[0].at <= l.now {
		c := l.due[0]
		l.due = l.due[1:]
		l.ask(c)
	}
	for _, name := range slices.Sorted(maps.Keys(l.machines)) {
		first, ended := l.machines[name].step(l.now)
		for _, r := range first {
			r.call.first = l.now
			l.step(permit.Progressed{At: l.instant(), ID: r.id, Usage: permit.Usage{PromptTokens: r.call.prompt, FirstByte: l.now - r.granted}})
		}
		for _, r := range ended {
			r.call.done = true
			l.step(permit.Finished{At: l.instant(), ID: r.id, Usage: permit.Usage{
				PromptTokens: r.call.prompt, AnswerTokens: r.call.parts, FirstByte: r.first - r.granted, Total: l.now - r.granted,
			}})
		}
	}
	if l.now%(10*tick) == 0 {
		l.step(permit.Ticked{At: l.instant()})
	}
}

func (l *play) instant() permit.Instant { return start.After(l.now) }

func (l *play) ask(c *call) {
	k := kinds[c.kind]
	id := fmt.Sprint("ask-", l.next)
	l.next++
	l.asking[id] = c
	c.tries++
	ask := permit.Ask{
		ID: id, Request: id, Tier: c.kind, PromptTokens: c.prompt, AnswerTokens: c.guess, GapGoal: 300 * time.Millisecond,
		Deadline: start.After(c.begun + k.deadline), Goal: l.instant().After(k.goal), Patience: l.instant().After(2400 * time.Millisecond),
	}
	if l.policy.knowsCallers {
		ask.Subject = fmt.Sprint("subject-", c.begun, c.prompt)
	}
	l.step(permit.Asked{At: l.instant(), Ask: ask})
}

func (l *play) step(e permit.Event) {
	for _, action := range slices.Clone(l.core.Step(e)) {
		switch a := action.(type) {
		case permit.Granted:
			m := l.machines[a.Endpoint]
			m.runs = append(m.runs, &run{id: a.ID, call: l.asking[a.ID], granted: l.now, prompt: float64(l.asking[a.ID].prompt)})
		case permit.Refused:
			l.comeBack(l.asking[a.ID], a.RetryAfter)
		}
	}
}

// comeBack schedules the second try of a refused call, unless it has had two tries or
// its deadline has passed.
func (l *play) comeBack(c *call, wait time.Duration) {
	left := kinds[c.kind].deadline - (l.now - c.begun)
	if c.tries > 1 || left <= 0 {
		return
	}
	c.at = l.now + min(wait, time.Duration(float64(left)*comesBackWithin))
	at, _ := slices.BinarySearchFunc(l.due, c, func(a, b *call) int { return cmp.Compare(a.at, b.at) })
	l.due = slices.Insert(l.due, at, c)
}

// outcome counts the calls of one kind, and the answers that met their goal or came
// later.
type outcome struct{ asked, inTime, late int }

func (l *play) outcomes() []outcome {
	outcomes := make([]outcome, len(kinds))
	for _, c := range l.calls {
		o := &outcomes[c.kind]
		o.asked++
		switch {
		case !c.done:
		case c.first-c.begun <= kinds[c.kind].goal:
			o.inTime++
		default:
			o.late++
		}
	}
	return outcomes
}

// worth returns the value of the answers as a share of the value that all calls would
// have if they met their goals.
func (l *play) worth() float64 {
	earned, owed := 0.0, 0.0
	for index, o := range l.outcomes() {
		k := kinds[index]
		owed += k.worth * float64(o.asked)
		earned += k.worth*float64(o.inTime) + k.late*float64(o.late)
	}
	return earned / owed
}

func (o outcome) share() float64 { return float64(o.inTime) / float64(o.asked) }

// worst returns the smallest share of calls in time of any kind.
func (l *play) worst() float64 {
	least := 1.0
	for _, o := range l.outcomes() {
		least = min(least, o.share())
	}
	return least
}

func (l *play) inTime() int {
	total := 0
	for _, o := range l.outcomes() {
		total += o.inTime
	}
	return total
}

// bound returns a worth that no policy can exceed. It knows all calls in advance and
// serves those first that are worth most for the engine time they take, until all of
// that time is used. It ignores when calls arrive, so it is far above what bursts
// allow.
func (l *play) bound() float64 {
	full := float64(stepTime+places*stepPerPlace) / places / float64(time.Second)
	cost := func(c *call) float64 { return float64(c.prompt)/promptRate + float64(c.parts*partTokens)*full }
	calls := slices.Clone(l.calls)
	slices.SortStableFunc(calls, func(a, b *call) int {
		return cmp.Compare(kinds[b.kind].worth/cost(b), kinds[a.kind].worth/cost(a))
	})
	room, earned, owed := 0.0, 0.0, 0.0
	for _, m := range l.machines {
		room += loadSpan.Seconds() / m.slowness
	}
	for _, c := range calls {
		served := min(1, max(0, room/cost(c)))
		room -= served * cost(c)
		earned += served * kinds[c.kind].worth
		owed += kinds[c.kind].worth
	}
	return earned / owed
}

// heavy is the usual load with bursts, under the policy that hosts run.
var heavy = policy{load: 1, burst: 2.5, worstWeight: 0.2, knowsCallers: true}

func TestCalmLoadIsServedInTime(t *testing.T) {
	is := is.New(t)
	calm := playLoad(policy{load: 0.5, burst: 1, worstWeight: 0.2, knowsCallers: true})
	t.Log(calm.outcomes(), calm.worth())
	for _, o := range calm.outcomes() {
		is.True(o.share() > 0.95)
	}
}

func TestNoKindIsLeftForLastInABurst(t *testing.T) {
	is := is.New(t)
	plain := heavy
	plain.worstWeight = 0
	without, with := playLoad(plain), playLoad(heavy)
	t.Log("without", without.outcomes(), without.worth(), "with", with.outcomes(), with.worth())
	is.True(with.worst() > without.worst())
	is.True(with.worth() > without.worth()-0.05) // at little cost to the total value
}

func TestMoreCallersAreServedInTimeWhereThoseThatComeBackAreKnown(t *testing.T) {
	is := is.New(t)
	strangers := heavy
	strangers.knowsCallers = false
	without, with := playLoad(strangers), playLoad(heavy)
	t.Log("without", without.outcomes(), without.worth(), "with", with.outcomes(), with.worth(), "bound", with.bound())
	is.True(with.inTime() > without.inTime())
	is.True(with.worth() > without.worth())
	is.True(with.worth() <= with.bound())
}
