package measure

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

const (
	decideBound    = 20.0
	decideRounds   = 20_000
	decideLimit    = 4
	letterSize     = 600
	decideTiers    = 5
	decideInterval = time.Second / 2200
)

// decide measures the time and the allocations that the decision core needs per
// request, for several numbers of endpoints and of waiting requests. The core runs
// without hosts around it, on one goroutine.
func decide(_ context.Context, _ Setting, r *report) error {
	for _, endpoints := range []int{10, 100, letterSize, 1000} {
		spent, allocations := decideOnce(endpoints, 1000)
		name := fmt.Sprintf("deciding at %d endpoints, 1000 waiting", endpoints)
		if endpoints == letterSize {
			r.target(name, spent, decideBound, " us")
		}
		r.figure(name, "%.2f us and %.1f allocations a request", spent, allocations)
	}
	for _, waiting := range []int{10, 100, 1000, 10_000, 100_000} {
		spent, allocations := decideOnce(letterSize, waiting)
		r.figure(fmt.Sprintf("deciding at %d endpoints, %d waiting", letterSize, waiting),
			"%.2f us and %.1f allocations a request", spent, allocations)
	}
	return nil
}

// decideOnce measures the core in a steady state in which every endpoint is at its
// in-flight limit and the given number of requests is waiting. In each round the
// clock advances, one request finishes and one new request arrives. A tenth of the
// rounds runs first as a warm-up.
func decideOnce(endpoints, waiting int) (microseconds, allocations float64) {
	var core permit.Core
	rules := make([]permit.EndpointRules, endpoints)
	for i := range rules {
		speed := float64(1 + i%4)
		rules[i] = permit.EndpointRules{Name: fmt.Sprint("e", i), Limit: decideLimit, PrefillSpeed: 4000 * speed, DecodeSpeed: 35 * speed}
	}
	now := permit.Instant(time.Hour)
	core.Step(permit.Configured{At: now, Tiers: decideTiers, QueueLimit: 2 * (waiting + 1), Endpoints: rules})
	d := decider{core: &core, now: now}
	for range endpoints*decideLimit + waiting {
		d.ask()
	}
	d.round(decideRounds / 10)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	d.round(decideRounds)
	spent := time.Since(began)
	runtime.ReadMemStats(&after)
	return float64(spent.Nanoseconds()) / 1e3 / decideRounds, float64(after.Mallocs-before.Mallocs) / decideRounds
}

type decider struct {
	core    *permit.Core
	now     permit.Instant
	asked   int
	granted []string
}

func (d *decider) take(actions []permit.Action) {
	for _, action := range actions {
		if g, granted := action.(permit.Granted); granted {
			d.granted = append(d.granted, g.ID)
		}
	}
}

func (d *decider) ask() {
	d.asked++
	d.take(d.core.Step(permit.Asked{At: d.now, Ask: permit.Ask{
		ID: fmt.Sprint(d.asked), Host: "entry-1", Tier: d.asked % decideTiers, Deadline: d.now.After(time.Hour),
		PromptTokens: 10 + d.asked%1000, AnswerTokens: 5 + d.asked%200,
	}}))
}

func (d *decider) round(n int) {
	for range n {
		d.now = d.now.After(decideInterval)
		id := d.granted[0]
		d.granted = d.granted[1:]
		d.take(d.core.Step(permit.Finished{At: d.now, ID: id, Usage: permit.Usage{
			PromptTokens: 100, AnswerTokens: 50, FirstByte: 10 * time.Millisecond, Total: time.Second,
		}}))
		d.ask()
		if d.asked%110 == 0 {
			d.take(d.core.Step(permit.Ticked{At: d.now}))
		}
	}
}
