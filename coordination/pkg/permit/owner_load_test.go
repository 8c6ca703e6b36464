package permit_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// grownLoad is the load of a fleet of 67 hosts and 60 engines. At a factor of 1 it is
// what these engines carry.
func grownLoad(factor float64) policy {
	const engines = 60
	return policy{
		rateFactor: factor * engines / 9, burstFactor: 1, worstWeight: 0.2, identifiesCallers: true,
		engines: engines, customers: 16, hosts: 67, records: true,
	}
}

var loadFactors = []float64{0.5, 1, 2, 3}

// asksIn counts the asks among events.
func asksIn(events []permit.Event) int {
	asks := 0
	for _, e := range events {
		if _, isAsk := e.(permit.Asked); isAsk {
			asks++
		}
	}
	return asks
}

// replay passes events to a new core, and each decision to use.
func replay(events []permit.Event, use func(permit.Event, []permit.Action)) {
	var core permit.Core
	for _, e := range events {
		use(e, core.Step(e))
	}
}

// benchmarkReplay measures the replay of the grown load, in time and allocations for
// each ask.
func benchmarkReplay(b *testing.B, use func(permit.Event, []permit.Action)) {
	benchmarkLoads(b, grownLoad, use)
}

// benchmarkLoads measures the replay of the loads of a policy by load factor.
func benchmarkLoads(b *testing.B, load func(factor float64) policy, use func(permit.Event, []permit.Action)) {
	for _, factor := range loadFactors {
		b.Run(fmt.Sprintf("load=%vx", factor), func(b *testing.B) {
			events := simulateLoad(load(factor)).events
			asks := asksIn(events)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			b.ResetTimer()
			for b.Loop() {
				replay(events, use)
			}
			runtime.ReadMemStats(&after)
			total := float64(asks * b.N)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/total, "us/ask")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/ask")
			b.ReportMetric(float64(asks)/loadSpan.Seconds(), "asks/s")
			b.ReportMetric(float64(len(events))/float64(asks), "events/ask")
		})
	}
}

func BenchmarkCoreAtGrownLoad(b *testing.B) {
	benchmarkReplay(b, func(permit.Event, []permit.Action) {})
}

func BenchmarkCoreAndRecordAtGrownLoad(b *testing.B) {
	benchmarkReplay(b, func(e permit.Event, actions []permit.Action) {
		line, err := permit.Line{Service: "pool", Owner: "entry-1", Number: 1}.WithDecision(e, actions)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := json.Marshal(struct{ Decision *permit.Line }{&line}); err != nil {
			b.Fatal(err)
		}
	})
}

// fullCore returns a core with 60 endpoints whose slots are all taken, and a number of
// waiting requests that can wait for minutes.
func fullCore(waiting int) *permit.Core {
	core := &permit.Core{}
	configured := permit.Configured{At: start, QueueLimit: 2 * waiting, Weights: tierWeights, WorstWeight: 0.2}
	for i := range 60 {
		speed := []float64{1, 1, 0.22}[i%3]
		configured.Endpoints = append(configured.Endpoints, permit.EndpointRules{
			Name: fmt.Sprint("engine-", i), Limit: 10, PrefillSpeed: 125_000 * speed, DecodeSpeed: 20 * speed,
		})
	}
	core.Step(configured)
	for i := 0; ; i++ {
		core.Step(permit.Asked{At: start, Ask: patientAsk(i)})
		if waits, _ := core.Load(); waits >= waiting {
			return core
		}
	}
}

func patientAsk(number int) permit.Ask {
	id := fmt.Sprint("ask-", number)
	return permit.Ask{
		ID: id, Request: id, Subject: id, Host: fmt.Sprint("entry-", number%67), Tier: number % 3, PromptTokens: 600, AnswerTokens: 36,
		Deadline: start.After(time.Hour), Goal: start.After(30 * time.Minute), Patience: start.After(40 * time.Minute),
	}
}

func BenchmarkAskBehindWaitingRequests(b *testing.B) {
	for _, waiting := range []int{100, 500, 2000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			core := fullCore(waiting)
			ask := patientAsk(-1)
			b.ReportAllocs()
			for b.Loop() {
				core.Step(permit.Asked{At: start, Ask: ask})
				core.Step(permit.Withdrawn{At: start, ID: ask.ID})
			}
		})
	}
}

// evaluationsOfAsk returns how often the core evaluates an endpoint for one more ask
// behind a number of waiting requests.
func evaluationsOfAsk(waiting int) uint64 {
	core := fullCore(waiting)
	before := core.Evaluations()
	core.Step(permit.Asked{At: start, Ask: patientAsk(-1)})
	return core.Evaluations() - before
}

func TestAskEvaluatesEndpointsForEachRequestThatWaits(t *testing.T) {
	is := is.New(t)
	few, many := evaluationsOfAsk(100), evaluationsOfAsk(2000)
	t.Logf("evaluations of endpoints for an ask: %d behind 100 waiting, %d behind 2000", few, many)
	is.True(many < 2*few) // at most as the logarithm of the number that waits
}

// BenchmarkFairCoreAtGrownLoad measures the grown load with one customer of 16 that sends
// five times its usual load, without and with fair shares.
func BenchmarkFairCoreAtGrownLoad(b *testing.B) {
	for _, fair := range []bool{false, true} {
		b.Run(fmt.Sprintf("fair=%v", fair), func(b *testing.B) {
			benchmarkLoads(b, func(factor float64) policy {
				p := grownLoad(factor)
				p.excess, p.fairShare = 5, fair
				return p
			}, func(permit.Event, []permit.Action) {})
		})
	}
}
