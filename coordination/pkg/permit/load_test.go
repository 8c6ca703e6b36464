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
	// slotsPerEngine is the batch size of an engine, and tokensPerPart the number of
	// tokens in a part of an answer.
	slotsPerEngine = 12
	tokensPerPart  = 6
	// A step of an engine produces one token of each answer in the batch. It takes
	// stepTime, and stepTimePerRequest more for each request in the batch. Prompts are
	// prefilled between steps, promptRate tokens a second. No answer begins earlier
	// than startupTime after its grant.
	stepTime           = 3270 * time.Microsecond
	stepTimePerRequest = 82 * time.Microsecond
	promptRate         = 125_000.0
	startupTime        = 62 * time.Millisecond
	// maxRetryWaitShare is the largest share of the time it has left that a refused
	// caller waits before it asks again.
	maxRetryWaitShare = 1.0 / 3
)

// requestKind is one kind of request. Its index in kinds is its tier.
type requestKind struct {
	name string
	// rate is the number of requests a second.
	rate float64
	// meanPrompt is the mean size of prompts in tokens, and meanParts that of answers
	// in parts. The sizes are log-normal, and spread is the standard deviation of their
	// logarithm.
	meanPrompt, meanParts float64
	spread                float64
	goal                  time.Duration
	deadline              time.Duration
	// value is the value of an answer that meets its goal, lateValue that of one that
	// misses it.
	value, lateValue float64
}

var kinds = []requestKind{
	{name: "plan", rate: 25, meanPrompt: 6600, meanParts: 64, spread: 1, goal: 600 * time.Millisecond, deadline: 15 * time.Second, value: 7.5, lateValue: 2.2},
	{name: "chat", rate: 35, meanPrompt: 630, meanParts: 49, spread: 0.9, goal: 400 * time.Millisecond, deadline: 12 * time.Second, value: 2.1, lateValue: 0.64},
	{name: "check", rate: 49, meanPrompt: 1800, meanParts: 4, spread: 0.9, goal: 400 * time.Millisecond, deadline: 3 * time.Second, value: 0.3, lateValue: 0.09},
}

// call is one request of a caller over all its tries.
type call struct {
	// customer is empty if the policy does not divide the calls between customers.
	customer      string
	kind          int
	prompt, parts int
	// expectedParts is the number of parts that the caller expects.
	expectedParts int
	// firstTry is the time of the first try, and nextTry that of the latest or next
	// one.
	firstTry time.Duration
	nextTry  time.Duration
	tries    int
	// firstPart is when the first part arrived, zero if none has.
	firstPart time.Duration
	done      bool
}

// runningRequest is a request that runs on an engine.
type runningRequest struct {
	id      string
	host    string
	call    *call
	granted time.Duration
	// promptLeft is the number of tokens of the prompt that are left to prefill, and
	// answerTokens the number that the answer has so far.
	promptLeft   float64
	answerTokens float64
	firstPart    time.Duration
	// heardSlowness is what the grant said of the engine's slowness, and namedSlowness
	// what the engine named with the first part.
	heardSlowness, namedSlowness float64
}

// engineModel simulates one engine. While it prefills a prompt, none of its answers
// advances.
type engineModel struct {
	slowness float64
	running  []*runningRequest
}

// advance simulates one tick. It returns the requests that produced their first part
// in it, and those that ended.
func (m *engineModel) advance(now time.Duration) (first, ended []*runningRequest) {
	left := tick
	for _, r := range m.running {
		if r.promptLeft > 0 && left > 0 {
			taken := min(r.promptLeft, promptRate/m.slowness*left.Seconds())
			r.promptLeft -= taken
			left -= time.Duration(taken * m.slowness / promptRate * float64(time.Second))
		}
	}
	step := float64(stepTime+time.Duration(len(m.running))*stepTimePerRequest) * m.slowness
	for _, r := range m.running {
		if r.promptLeft > 0 || now-r.granted < time.Duration(float64(startupTime)*m.slowness) {
			continue
		}
		r.answerTokens += float64(left) / step
		if r.firstPart == 0 && r.answerTokens >= tokensPerPart {
			r.firstPart = now
			first = append(first, r)
		}
		if r.answerTokens >= float64(r.call.parts*tokensPerPart) {
			ended = append(ended, r)
		}
	}
	m.running = slices.DeleteFunc(m.running, func(r *runningRequest) bool { return slices.Contains(ended, r) })
	return first, ended
}

// policy holds what differs between simulations of the load.
type policy struct {
	// rateFactor multiplies the usual request rates, and burstFactor those in the first
	// 3 s of every 10 s once more.
	rateFactor, burstFactor float64

	worstWeight float64
	// identifiesCallers sets the subject of each ask, by which the core recognises a
	// request that is asked for again after a refusal.
	identifiesCallers bool
	// engines is the number of engines, nine if zero. customers is the number of
	// customers with quotas, and hosts the number of entry hosts that list their permits.
	engines, customers, hosts int
	// excess is the factor by which customer 0 sends more than its usual load, which is
	// the same for each customer; zero if calls have no fixed customer.
	excess float64
	// fairShare divides the engines' work between the customers.
	fairShare bool
	// ownerLostAt is when a new owner without any state takes over; zero if none does.
	ownerLostAt time.Duration
	// records keeps the events of the load in simulation.events.
	records bool
	// slowdowns slows engines for a time; nil if none are slow.
	slowdowns *slowdowns
	// sites divides engines and callers between data centres; nil if there is one only.
	sites *sites
}

func (p policy) engineCount() int { return cmp.Or(p.engines, 9) }

// simulation is one simulation of the load.
type simulation struct {
	policy  policy
	core    permit.Core
	now     time.Duration
	engines map[string]*engineModel
	calls   []*call
	// due holds the tries that are still to come, by time.
	due []*call
	// callsByID maps the ID of each ask to its call.
	callsByID map[string]*call
	nextID    int
	// rules configures an owner; waiting holds the asks that are not decided.
	rules   permit.Configured
	waiting map[string]permit.Ask
	// returns counts the calls that came back after a refusal, secondRefusals those of
	// them that were refused again, and unmetReservations those for which slots had been
	// reserved.
	returns, secondRefusals, unmetReservations int
	// busy is the time that requests ran on the engines during the load, over all slots.
	busy time.Duration
	// events holds the events that arrived during the load, if the policy records them.
	events []permit.Event
}

// simulateLoad simulates the load under a policy, and 20 s more, which is longer than
// any deadline.
func simulateLoad(p policy) *simulation {
	s := &simulation{policy: p, engines: map[string]*engineModel{}, callsByID: map[string]*call{}, waiting: map[string]permit.Ask{}}
	var rules []permit.EndpointRules
	for i := range p.engineCount() {
		name := fmt.Sprint("engine-", i)
		s.engines[name] = &engineModel{slowness: []float64{0.68, 0.68, 3}[i%3]}
		rules = append(rules, permit.EndpointRules{Name: name, Limit: slotsPerEngine, DataCentre: p.sites.ofEngine(i)})
	}
	s.drawAllCalls()
	s.rules = permit.Configured{
		At: start, QueueLimit: 2000, Weights: tierWeights, WorstWeight: p.worstWeight, Endpoints: rules,
		Quotas: p.quotas(), QuotaWindow: 8 * time.Second, FairShare: p.fairShare,
	}
	s.step(s.rules)
	for ; s.now < loadSpan+20*time.Second; s.now += tick {
		s.advance()
	}
	return s
}

// drawAllCalls draws the calls of all customers, and those that customer 0 sends beyond
// its usual load. The others are the same without these.
func (s *simulation) drawAllCalls() {
	s.drawCalls(rand.New(rand.NewPCG(20261204, 8)), s.policy.rateFactor)
	if s.policy.excess > 0 {
		for i, c := range s.calls {
			c.customer = s.policy.customerOf(i)
		}
	}
	if s.policy.excess > 1 {
		usual := len(s.calls)
		s.drawCalls(rand.New(rand.NewPCG(20261206, 8)), s.policy.rateFactor*(s.policy.excess-1)/float64(s.policy.customers))
		for _, c := range s.calls[usual:] {
			c.customer = s.policy.customerOf(0)
		}
	}
	slices.SortStableFunc(s.calls, func(a, b *call) int { return cmp.Compare(a.firstTry, b.firstTry) })
	s.due = slices.Clone(s.calls)
}

// drawCalls draws the times and sizes of calls at a multiple of the usual rates.
func (s *simulation) drawCalls(r *rand.Rand, rateFactor float64) {
	var drawn []*call
	for index, k := range kinds {
		for at := time.Duration(0); at < loadSpan; {
			rate := k.rate * rateFactor
			if at%(10*time.Second) < 3*time.Second {
				rate *= s.policy.burstFactor
			}
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			size := func(mean float64) float64 {
				return mean * math.Exp(k.spread*r.NormFloat64()-k.spread*k.spread/2)
			}
			parts := max(1, int(size(k.meanParts)))
			expected := max(1, int(float64(parts)*math.Exp(0.5*r.NormFloat64())))
			drawn = append(drawn, &call{kind: index, prompt: int(size(k.meanPrompt)) + 1, parts: min(parts, int(10*k.meanParts)), expectedParts: expected, firstTry: at, nextTry: at})
		}
	}
	slices.SortFunc(drawn, func(a, b *call) int { return cmp.Compare(a.firstTry, b.firstTry) })
	s.calls = append(s.calls, drawn...)
}

// advance simulates one tick.
func (s *simulation) advance() {
	s.policy.slowdowns.apply(s)
	s.policy.sites.measure(s)
	for len(s.due) > 0 && s.due[0].nextTry <= s.now {
		c := s.due[0]
		s.due = s.due[1:]
		s.ask(c)
	}
	for _, name := range slices.Sorted(maps.Keys(s.engines)) {
		if s.now < loadSpan {
			s.busy += time.Duration(len(s.engines[name].running)) * tick
		}
		first, ended := s.engines[name].advance(s.now)
		for _, r := range first {
			r.call.firstPart = s.now + s.policy.sites.roundTrip(r.id, name)
			s.policy.slowdowns.report(s, name, r)
			s.step(permit.Progressed{At: s.instant(), ID: r.id, Usage: permit.Usage{PromptTokens: r.call.prompt, FirstByte: s.now - r.granted, Slowness: r.namedSlowness}})
		}
		for _, r := range ended {
			r.call.done = true
			s.step(permit.Finished{At: s.instant(), ID: r.id, Usage: permit.Usage{
				PromptTokens: r.call.prompt, AnswerTokens: r.call.parts, FirstByte: r.firstPart - r.granted, Total: s.now - r.granted, Slowness: r.namedSlowness,
			}})
		}
	}
	if s.policy.ownerLostAt > 0 && s.now == s.policy.ownerLostAt {
		s.replaceOwner()
	}
	if s.now%(10*tick) == 0 {
		s.step(permit.Ticked{At: s.instant()})
	}
	if s.now%(2*time.Second) == 0 {
		s.listPermits()
	}
}

// replaceOwner lets a new owner decide, which the hosts tell of their permits and of the
// requests that wait.
func (s *simulation) replaceOwner() {
	s.core = permit.Core{}
	s.rules.At = s.instant()
	s.step(s.rules)
	s.listPermits()
	for _, id := range slices.Sorted(maps.Keys(s.waiting)) {
		s.step(permit.Asked{At: s.instant(), Ask: s.waiting[id]})
	}
}

// listPermits lists the permits of each entry host.
func (s *simulation) listPermits() {
	for host := range s.policy.hosts {
		list := permit.Listed{At: s.instant(), Host: s.policy.hostOf(host)}
		for name, m := range s.engines {
			for _, r := range m.running {
				if r.host == list.Host {
					list.Permits = append(list.Permits, permit.Permit{ID: r.id, Endpoint: name, Tier: r.call.kind})
				}
			}
		}
		s.step(list)
	}
}

// hostOf returns the entry host of a request by its number; empty without hosts.
func (p policy) hostOf(number int) string {
	if p.hosts == 0 {
		return ""
	}
	return fmt.Sprint("entry-", number%p.hosts)
}

// customerOf returns the customer of a request by its number; empty without customers.
func (p policy) customerOf(number int) string {
	if p.customers == 0 {
		return ""
	}
	return fmt.Sprint("customer-", number%p.customers)
}

// quotas returns quotas that no customer uses up.
func (p policy) quotas() []permit.Quota {
	quotas := make([]permit.Quota, p.customers)
	for i := range quotas {
		quotas[i] = permit.Quota{Customer: p.customerOf(i), Limit: 1e9, Total: 1e9}
	}
	return quotas
}

func (s *simulation) instant() permit.Instant { return start.After(s.now) }

func (s *simulation) ask(c *call) {
	k := kinds[c.kind]
	id := fmt.Sprint("ask-", s.nextID)
	s.nextID++
	s.callsByID[id] = c
	c.tries++
	if c.tries > 1 {
		s.returns++
	}
	ask := permit.Ask{
		ID: id, Request: id, Tier: c.kind, PromptTokens: c.prompt, AnswerTokens: c.expectedParts, GapGoal: 300 * time.Millisecond,
		Host: s.policy.hostOf(s.nextID), Customer: cmp.Or(c.customer, s.policy.customerOf(s.nextID)), QuotaTokens: c.prompt,
		Deadline: start.After(c.firstTry + k.deadline), Goal: s.instant().After(k.goal), Patience: s.instant().After(2400 * time.Millisecond),
	}
	if s.policy.identifiesCallers {
		ask.Subject = fmt.Sprint("subject-", c.firstTry, c.prompt)
	}
	ask.DataCentre = s.policy.sites.ofCall(id)
	s.waiting[id] = ask
	s.step(permit.Asked{At: s.instant(), Ask: ask})
}

func (s *simulation) step(e permit.Event) {
	if s.policy.records && s.now < loadSpan {
		s.events = append(s.events, e)
	}
	for _, action := range slices.Clone(s.core.Step(e)) {
		switch a := action.(type) {
		case permit.Granted:
			delete(s.waiting, a.ID)
			m := s.engines[a.Endpoint]
			s.policy.sites.count(a)
			m.running = append(m.running, &runningRequest{id: a.ID, host: a.Host, call: s.callsByID[a.ID], granted: s.now, promptLeft: float64(s.callsByID[a.ID].prompt), heardSlowness: a.Slowness})
		case permit.Refused:
			delete(s.waiting, a.ID)
			if a.Reserved {
				s.unmetReservations++
			}
			if s.callsByID[a.ID].tries > 1 {
				s.secondRefusals++
			}
			s.scheduleRetry(s.callsByID[a.ID], a.RetryAfter)
		}
	}
}

// scheduleRetry schedules the second try of a refused call, unless it has had two
// tries or its deadline has passed.
func (s *simulation) scheduleRetry(c *call, wait time.Duration) {
	left := kinds[c.kind].deadline - (s.now - c.firstTry)
	if c.tries > 1 || left <= 0 {
		return
	}
	c.nextTry = s.now + min(wait, time.Duration(float64(left)*maxRetryWaitShare))
	at, _ := slices.BinarySearchFunc(s.due, c, func(a, b *call) int { return cmp.Compare(a.nextTry, b.nextTry) })
	s.due = slices.Insert(s.due, at, c)
}

// outcome counts the calls of one kind, and the answers that met their goal or came
// later.
type outcome struct{ asked, inTime, late int }

func (s *simulation) outcomes() []outcome {
	return s.outcomesOf(func(*call) bool { return true })
}

// outcomesOf returns the outcomes of some of the calls.
func (s *simulation) outcomesOf(counts func(*call) bool) []outcome {
	outcomes := make([]outcome, len(kinds))
	for _, c := range s.calls {
		if !counts(c) {
			continue
		}
		o := &outcomes[c.kind]
		o.asked++
		switch {
		case !c.done:
		case c.firstPart-c.firstTry <= kinds[c.kind].goal:
			o.inTime++
		default:
			o.late++
		}
	}
	return outcomes
}

// valueShare returns the value of the answers as a share of the value that all calls
// would have if they met their goals.
func (s *simulation) valueShare() float64 {
	earned, possible := 0.0, 0.0
	for index, o := range s.outcomes() {
		k := kinds[index]
		possible += k.value * float64(o.asked)
		earned += k.value*float64(o.inTime) + k.lateValue*float64(o.late)
	}
	return earned / possible
}

func (o outcome) inTimeShare() float64 { return float64(o.inTime) / float64(o.asked) }

// lowestInTimeShare returns the smallest share of calls in time among the kinds.
func (s *simulation) lowestInTimeShare() float64 {
	least := 1.0
	for _, o := range s.outcomes() {
		least = min(least, o.inTimeShare())
	}
	return least
}

func (s *simulation) inTime() int {
	total := 0
	for _, o := range s.outcomes() {
		total += o.inTime
	}
	return total
}

// valueShareBound returns a value share that no policy can exceed. It knows all calls
// in advance and serves those first that are worth most for the engine time they take,
// until all of that time is used. It ignores when calls arrive, so it is far above
// what bursts allow.
func (s *simulation) valueShareBound() float64 {
	tokenTime := float64(stepTime+slotsPerEngine*stepTimePerRequest) / slotsPerEngine / float64(time.Second)
	cost := func(c *call) float64 { return float64(c.prompt)/promptRate + float64(c.parts*tokensPerPart)*tokenTime }
	calls := slices.Clone(s.calls)
	slices.SortStableFunc(calls, func(a, b *call) int {
		return cmp.Compare(kinds[b.kind].value/cost(b), kinds[a.kind].value/cost(a))
	})
	engineTime, earned, possible := 0.0, 0.0, 0.0
	for _, m := range s.engines {
		engineTime += loadSpan.Seconds() / m.slowness
	}
	for _, c := range calls {
		served := min(1, max(0, engineTime/cost(c)))
		engineTime -= served * cost(c)
		earned += served * kinds[c.kind].value
		possible += kinds[c.kind].value
	}
	return earned / possible
}

// heavyLoad is the usual load with bursts, under the policy that hosts run.
var heavyLoad = policy{rateFactor: 1, burstFactor: 2.5, worstWeight: 0.2, identifiesCallers: true}

func TestCalmLoadIsServedInTime(t *testing.T) {
	is := is.New(t)
	calm := simulateLoad(policy{rateFactor: 0.5, burstFactor: 1, worstWeight: 0.2, identifiesCallers: true})
	t.Log(calm.outcomes(), calm.valueShare())
	for _, o := range calm.outcomes() {
		is.True(o.inTimeShare() > 0.95)
	}
}

func TestBurstDoesNotStarveOneKind(t *testing.T) {
	is := is.New(t)
	plain := heavyLoad
	plain.worstWeight = 0
	without, with := simulateLoad(plain), simulateLoad(heavyLoad)
	t.Log("without", without.outcomes(), without.valueShare(), "with", with.outcomes(), with.valueShare())
	is.True(with.lowestInTimeShare() > without.lowestInTimeShare())
	is.True(with.valueShare() > without.valueShare()-0.05) // at little cost to the total value
}

func TestRecognisingReturningCallersServesMoreInTime(t *testing.T) {
	is := is.New(t)
	unidentified := heavyLoad
	unidentified.identifiesCallers = false
	without, with := simulateLoad(unidentified), simulateLoad(heavyLoad)
	t.Log("without", without.outcomes(), without.valueShare(), "with", with.outcomes(), with.valueShare(), "bound", with.valueShareBound())
	is.True(with.inTime() > without.inTime())
	is.True(with.valueShare() > without.valueShare())
	is.True(with.valueShare() <= with.valueShareBound())
}
