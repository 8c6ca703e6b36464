package permit_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// Engines share their machines: a share slowShare of them takes slowFactor times as long
// for slowTime at a time.
const (
	slowShare  = 0.15
	slowFactor = 2.5
	slowTime   = 600 * time.Millisecond
)

// slowdowns slows engines of a simulation now and then. The nil value slows none.
type slowdowns struct {
	random *rand.Rand
	// reports is set if engines name their slowness with the first part of an answer.
	reports bool
	engines map[string]*slowdown
	// responses counts the first parts, and messages the reports of a slowness.
	responses, messages int
}

// slowdown is the state of one engine, until a time.
type slowdown struct {
	usual  float64
	isSlow bool
	until  time.Duration
}

func newSlowdowns(seed uint64, reports bool) *slowdowns {
	return &slowdowns{random: rand.New(rand.NewPCG(20261206, seed)), reports: reports, engines: map[string]*slowdown{}}
}

// apply sets the present slowness of each engine.
func (d *slowdowns) apply(s *simulation) {
	if d == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.engines)) {
		m := s.engines[name]
		state := d.engines[name]
		if state == nil {
			state = &slowdown{usual: m.slowness, isSlow: true}
			d.engines[name] = state
		}
		if s.now >= state.until {
			state.isSlow = !state.isSlow
			state.until = s.now + d.span(state.isSlow)
		}
		m.slowness = state.usual * state.factor()
	}
}

// span returns how long an engine is slow, or not slow.
func (d *slowdowns) span(isSlow bool) time.Duration {
	if isSlow {
		return slowTime
	}
	return time.Duration(d.random.ExpFloat64() * float64(slowTime) * (1 - slowShare) / slowShare)
}

func (s *slowdown) factor() float64 {
	if s.isSlow {
		return slowFactor
	}
	return 1
}

// report tells the core the slowness that an engine names with the first part of an
// answer, as entries do: only if it differs from what the grant said.
func (d *slowdowns) report(s *simulation, engine string, r *runningRequest) {
	if d == nil {
		return
	}
	d.responses++
	if !d.reports {
		return
	}
	r.namedSlowness = d.engines[engine].factor()
	if permit.SlownessDiffers(r.heardSlowness, r.namedSlowness) {
		d.messages++
		s.step(permit.Slowed{At: s.instant(), Endpoint: engine, Slowness: r.namedSlowness})
	}
}

// unevenLoad returns a load of engines that are slow now and then, with or without their
// reports.
func unevenLoad(rateFactor float64, seed uint64, reports bool) policy {
	const engines = 27
	return policy{
		rateFactor: rateFactor * engines / 9, burstFactor: 1, worstWeight: 0.2, identifiesCallers: true,
		engines: engines, slowdowns: newSlowdowns(seed, reports),
	}
}

// tightenGoals halves the goals of all kinds during a test.
func tightenGoals(t *testing.T) {
	usual := kinds
	kinds = slices.Clone(kinds)
	for i := range kinds {
		kinds[i].goal /= 2
	}
	t.Cleanup(func() { kinds = usual })
}

// Guards against reports that cost callers more than they gain.
func TestReportsOfSlowEnginesServeMoreInTime(t *testing.T) {
	is := is.New(t)
	tightenGoals(t)
	missedWithout, missedWith := 0, 0
	for _, factor := range []float64{0.7, 0.9} {
		for seed := range uint64(2) {
			without, with := simulateLoad(unevenLoad(factor, seed+1, false)), simulateLoad(unevenLoad(factor, seed+1, true))
			d := with.policy.slowdowns
			t.Logf("load %v: without %v %d, with %v %d of %d in time; %d messages for %d responses", factor,
				without.outcomes(), without.inTime(), with.outcomes(), with.inTime(), len(with.calls), d.messages, d.responses)
			missedWithout += len(without.calls) - without.inTime()
			missedWith += len(with.calls) - with.inTime()
			is.True(d.messages < d.responses/5)
		}
	}
	t.Logf("goals missed: %d without the reports, %d with them", missedWithout, missedWith)
	is.True(float64(missedWith) < 0.97*float64(missedWithout))
}

// twoEngines returns a pool with two equal engines of which nothing is slow.
func twoEngines(t *testing.T) *enginePool {
	one, other := engine(8), engine(8)
	one.Name, other.Name = "one", "other"
	return newEnginePool(t, one, other)
}

func (p *enginePool) slow(endpoint string, slowness float64, age time.Duration) {
	p.step(permit.Slowed{At: p.now, Endpoint: endpoint, Slowness: slowness, Age: age})
}

// granted asks for a request and returns its grant; it must be granted at once.
func (p *enginePool) granted(id string) permit.Granted {
	actions := p.core.Step(permit.Asked{At: p.now, Ask: permit.Ask{
		ID: id, PromptTokens: 1000, AnswerTokens: 20, Deadline: p.now.After(time.Minute), Goal: p.now.After(time.Second),
	}})
	p.is.Equal(len(actions), 1)
	granted, isGrant := actions[0].(permit.Granted)
	p.is.True(isGrant)
	return granted
}

// Guards against requests that go to an engine known to be slow while an equal one is not.
func TestRequestAvoidsAnEngineThatIsSlow(t *testing.T) {
	p := twoEngines(t)
	p.is.Equal(p.granted("a").Endpoint, "one")
	p.step(permit.Withdrawn{At: p.now, ID: "a"})
	p.slow("one", 2.5, 0)
	p.is.Equal(p.granted("b").Endpoint, "other")
}

// Guards against a value that is taken as true long after it was heard, or whose age on
// the way does not count.
func TestOldSlownessSaysNothing(t *testing.T) {
	p := twoEngines(t)
	usual := p.granted("a").Estimate
	p.step(permit.Withdrawn{At: p.now, ID: "a"})
	p.slow("one", 2.5, permit.SlownessSpan)
	p.is.Equal(p.granted("b").Endpoint, "one")
	p.step(permit.Withdrawn{At: p.now, ID: "b"})
	p.slow("one", 2.5, 0)
	p.slow("one", 1, time.Millisecond) // arrived earlier
	p.slow("other", 10, 0)
	slowed := p.granted("c")
	p.is.True(slowed.Endpoint == "one" && slowed.Estimate > usual)
	p.is.True(slowed.Estimate < usual+permit.SlownessSpan) // not for the whole request
	p.step(permit.Withdrawn{At: p.now, ID: "c"})
	p.now = p.now.After(permit.SlownessSpan)
	p.is.Equal(p.granted("d").Estimate, usual)
}

// Guards against an endpoint that is taken for a slow one because its machine was slow
// while it was measured.
func TestSlowMomentIsNotLearnedAsASlowEndpoint(t *testing.T) {
	p := twoEngines(t)
	p.answered("usual", 30, 10*time.Millisecond, 400*time.Millisecond, 0)
	p.answered("slow", 5, 25*time.Millisecond, time.Second, 2.5)
	after := *p.granted("b").Rates
	p.is.True(firstPart(after) < 0.0115) // 10 ms is the usual
	p.is.True(after.PerPart < 0.035)     // 20 ms is, and 600 ms of each slow second count as 240 ms to 280 ms
}

// Guards against an endpoint that is always slow and is taken for a fast one once what it
// said is too old.
func TestSteadilySlowEndpointIsLearnedAsASlowOne(t *testing.T) {
	p := twoEngines(t)
	p.answered("slow", 300, 25*time.Millisecond, time.Second, 2.5)
	rates := *p.granted("b").Rates
	p.is.True(firstPart(rates) > 0.024)
	p.is.True(rates.PerPart > 0.045)
	usual := p.granted("c").Estimate
	p.slow("one", 2.5, 0)
	p.slow("other", 2.5, 0)
	slowed := p.granted("d").Estimate
	p.is.True(slowed >= usual && slowed < usual+usual/20) // it is not slowed twice
}

// firstPart returns the time to the first part, in seconds, after a prompt of 1,000 tokens.
func firstPart(rates permit.LearnedRates) float64 { return rates.PerRequest + 1000*rates.PerToken }

// answered asks for a number of requests that are answered in the given times, with the
// slowness that their responses name.
func (p *enginePool) answered(id string, count int, firstByte, total time.Duration, slowness float64) {
	for i := range count {
		request := fmt.Sprint(id, i)
		p.granted(request)
		p.step(permit.Finished{At: p.now, ID: request, Usage: permit.Usage{
			PromptTokens: 1000, AnswerTokens: 20, FirstByte: firstByte, Total: total, Slowness: slowness,
		}})
	}
}

// Guards against an answer that counts twice in the mean slowness as its first part was
// reported before its end.
func TestSlownessOfAnAnswerIsLearnedOnce(t *testing.T) {
	whole, inParts := twoEngines(t), twoEngines(t)
	for _, p := range []*enginePool{whole, inParts} {
		p.answered("usual", 1, 10*time.Millisecond, 400*time.Millisecond, 1)
	}
	whole.answered("slow", 1, 25*time.Millisecond, time.Second, 2.5)
	inParts.granted("slow")
	inParts.step(permit.Progressed{At: inParts.now, ID: "slow", Usage: permit.Usage{PromptTokens: 1000, FirstByte: 25 * time.Millisecond, Slowness: 2.5}})
	inParts.step(permit.Finished{At: inParts.now, ID: "slow", Usage: permit.Usage{
		PromptTokens: 1000, AnswerTokens: 20, FirstByte: 25 * time.Millisecond, Total: time.Second, Slowness: 2.5,
	}})
	inParts.is.True(whole.core.MeanSlowness("one") > 1)
	inParts.is.Equal(inParts.core.MeanSlowness("one"), whole.core.MeanSlowness("one"))
}

// Guards against late first parts that count as early ones in a slow moment, as the estimate
// includes the slowness and the measured time does not.
func TestOvershootInASlowMomentIsLearned(t *testing.T) {
	p := twoEngines(t)
	p.answered("usual", 30, 10*time.Millisecond, 400*time.Millisecond, 1)
	usual := p.core.MeanOvershoot()
	p.slow("one", 2.5, 0)
	p.slow("other", 2.5, 0)
	p.answered("late", 1, 60*time.Millisecond, time.Second, 2.5) // 25 ms are expected
	p.is.True(p.core.MeanOvershoot() > usual+0.03)
}

// Guards against values that would make an estimate negative or endless.
func TestOddSlownessChangesNoEstimateWithoutBounds(t *testing.T) {
	p := twoEngines(t)
	usual := p.granted("a").Estimate
	for i, value := range []float64{0, -1, 1e-300, 1e300, 0.9} {
		p.slow("one", value, 0)
		p.slow("other", value, 0)
		estimate := p.granted(fmt.Sprint("odd-", i)).Estimate
		p.is.True(estimate > 0 && estimate <= usual*2+permit.SlownessSpan)
		p.step(permit.Finished{At: p.now, ID: fmt.Sprint("odd-", i), Usage: permit.Usage{
			PromptTokens: 1000, AnswerTokens: 20, FirstByte: 10 * time.Millisecond, Total: 400 * time.Millisecond, Slowness: value,
		}})
	}
	rates := p.granted("b").Rates
	p.is.True(rates.PerToken >= 0 && rates.PerPart > 0 && rates.PerPart < 1)
}

// Guards against messages for a slowness that the owner has heard of.
func TestGrantSaysWhatTheOwnerHeardOfASlowness(t *testing.T) {
	p := twoEngines(t)
	p.is.Equal(p.granted("a").Slowness, 0.0)
	for i, value := range []float64{2.5, 0.5, 1e-9, 40, 1.3, 1.2, 1} {
		p.slow("one", value, 0)
		p.slow("other", value, 0)
		// At a steady value no response is reported, however long ago it was heard.
		for n := range 3 {
			p.is.True(!permit.SlownessDiffers(p.granted(fmt.Sprint("g", i, n)).Slowness, value))
			p.now = p.now.After(permit.SlownessSpan)
		}
		p.step(permit.HostLost{At: p.now})
		p.now = p.now.After(time.Minute)
		p.step(permit.Ticked{At: p.now})
	}
}

// Guards against a report of a slowness that the owner has heard of, because the message
// with the grant was lost and the repeated one does not say it.
func TestRepeatedGrantSaysWhatTheOwnerHeardOfASlowness(t *testing.T) {
	p := twoEngines(t)
	p.slow("one", 2.5, 0)
	p.slow("other", 2.5, 0)
	p.is.Equal(p.granted("a").Slowness, 2.5)
	p.is.Equal(p.granted("a").Slowness, 2.5)
}

// Guards against a record with slow endpoints that does not replay.
func TestRecordOfSlowEnginesReplaysIdentically(t *testing.T) {
	is := is.New(t)
	p := unevenLoad(0.9, 1, true)
	p.engines, p.rateFactor, p.records = 9, 0.9, true
	events := simulateLoad(p).events
	var first, second permit.Core
	for _, event := range events {
		line, err := permit.Line{}.WithDecision(event, first.Step(event))
		is.NoErr(err)
		decoded, err := line.Decode()
		is.NoErr(err)
		replayed, err := permit.Line{}.WithDecision(decoded, second.Step(decoded))
		is.NoErr(err)
		recorded, err := json.Marshal(line)
		is.NoErr(err)
		again, err := json.Marshal(replayed)
		is.NoErr(err)
		is.Equal(string(recorded), string(again))
	}
}
