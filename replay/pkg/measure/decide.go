package measure

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

const (
	decideBound  = 20.0
	decideRounds = 20_000
	decideLimit  = 4
	// targetEndpoints is the deployment size for which decideBound must hold, from
	// the users' requirements.
	targetEndpoints = 600
	decideTiers     = 5
	decideInterval  = time.Second / 2200
)

// decide measures the time and the allocations that the decision core needs per
// request, for several numbers of endpoints and of waiting requests. The core runs
// without hosts around it, on one goroutine.
func decide(_ context.Context, _ Options, r *report) error {
	for _, endpoints := range []int{10, 100, targetEndpoints, 1000} {
		perRequest, allocations := measureDecisions(endpoints, 1000)
		name := fmt.Sprintf("deciding at %d endpoints, 1000 waiting", endpoints)
		if endpoints == targetEndpoints {
			r.checkTarget(name, perRequest, decideBound, " us")
		}
		r.printFigure(name, "%.2f us and %.1f allocations a request", perRequest, allocations)
	}
	for _, waiting := range []int{10, 100, 1000, 10_000, 100_000} {
		perRequest, allocations := measureDecisions(targetEndpoints, waiting)
		r.printFigure(fmt.Sprintf("deciding at %d endpoints, %d waiting", targetEndpoints, waiting),
			"%.2f us and %.1f allocations a request", perRequest, allocations)
	}
	return nil
}

// measureDecisions measures the core in a steady state in which every endpoint is
// at its in-flight limit and the given number of requests is waiting. In each round
// the clock advances, one request finishes and one new request arrives. A warm-up of
// a tenth of the rounds runs first. The results are per round.
func measureDecisions(endpoints, waiting int) (microseconds, allocations float64) {
	var core permit.Core
	rules := make([]permit.EndpointRules, endpoints)
	for i := range rules {
		speed := float64(1 + i%4)
		rules[i] = permit.EndpointRules{Name: fmt.Sprint("e", i), Limit: decideLimit, PrefillSpeed: 4000 * speed, DecodeSpeed: 35 * speed}
	}
	now := permit.Instant(time.Hour)
	core.Step(permit.Configured{At: now, QueueLimit: 2 * (waiting + 1), Endpoints: rules})
	d := coreDriver{core: &core, now: now}
	for range endpoints*decideLimit + waiting {
		d.ask()
	}
	d.runRounds(decideRounds / 10)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	d.runRounds(decideRounds)
	elapsed := time.Since(started)
	runtime.ReadMemStats(&after)
	return float64(elapsed.Nanoseconds()) / 1e3 / decideRounds, float64(after.Mallocs-before.Mallocs) / decideRounds
}

type coreDriver struct {
	core     *permit.Core
	now      permit.Instant
	askCount int
	granted  []string
}

func (d *coreDriver) collectGrants(actions []permit.Action) {
	for _, action := range actions {
		if g, granted := action.(permit.Granted); granted {
			d.granted = append(d.granted, g.ID)
		}
	}
}

func (d *coreDriver) ask() {
	d.askCount++
	d.collectGrants(d.core.Step(permit.Asked{At: d.now, Ask: permit.Ask{
		ID: fmt.Sprint(d.askCount), Host: "entry-1", Tier: d.askCount % decideTiers, Deadline: d.now.After(time.Hour),
		PromptTokens: 10 + d.askCount%1000, AnswerTokens: 5 + d.askCount%200,
	}}))
}

func (d *coreDriver) runRounds(n int) {
	for range n {
		d.now = d.now.After(decideInterval)
		id := d.granted[0]
		d.granted = d.granted[1:]
		d.collectGrants(d.core.Step(permit.Finished{At: d.now, ID: id, Usage: permit.Usage{
			PromptTokens: 100, AnswerTokens: 50, FirstByte: 10 * time.Millisecond, Total: time.Second,
		}}))
		d.ask()
		if d.askCount%110 == 0 {
			d.collectGrants(d.core.Step(permit.Ticked{At: d.now}))
		}
	}
}
