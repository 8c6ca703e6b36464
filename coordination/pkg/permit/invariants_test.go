package permit_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"godwitmoor.example/coordination/pkg/permit"
	"pgregory.net/rapid"
)

// Every run draws the same events: a result that changes from run to run proves
// nothing.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// watcher drives a core and checks its actions against the invariants, with its own
// count of the asks and permits.
type watcher struct {
	t      *rapid.T
	core   permit.Core
	now    permit.Instant
	limits map[string]int
	asks   map[string]permit.Ask
	// held maps the ID of each permit in use to its endpoint.
	held    map[string]string
	ended   map[string]bool
	counter int
}

// step passes an event to the core and checks the actions and the counts.
func (w *watcher) step(e permit.Event) {
	for _, action := range w.core.Step(e) {
		switch a := action.(type) {
		case permit.Granted:
			w.granted(a)
		case permit.Refused:
			w.end(a.ID)
		case permit.Suspended:
			if w.held[a.ID] == "" {
				w.t.Fatalf("%s was suspended but holds no permit", a.ID)
			}
			if w.asks[a.ID].Tier <= w.asks[a.For].Tier {
				w.t.Fatalf("%s was suspended for %s, which is not of a higher tier", a.ID, a.For)
			}
		}
	}
	waiting, held := w.core.Load()
	if held != len(w.held) || waiting != len(w.asks)-len(w.held)-len(w.ended) {
		w.t.Fatalf("the core counts %d waiting requests and %d permits, the test %d and %d", waiting, held, len(w.asks)-len(w.held)-len(w.ended), len(w.held))
	}
}

func (w *watcher) granted(a permit.Granted) {
	if w.ended[a.ID] || w.held[a.ID] != "" {
		w.t.Fatalf("%s was granted after it had ended, or twice", a.ID)
	}
	ask := w.asks[a.ID]
	if w.now > ask.Deadline {
		w.t.Fatalf("%s was granted after its deadline", a.ID)
	}
	w.held[a.ID] = a.Endpoint
	used := 0
	for _, endpoint := range w.held {
		if endpoint == a.Endpoint {
			used++
		}
	}
	if used > w.limits[a.Endpoint] {
		w.t.Fatalf("%s holds %d permits, its limit is %d", a.Endpoint, used, w.limits[a.Endpoint])
	}
}

func (w *watcher) end(id string) {
	if w.ended[id] || w.asks[id].ID == "" {
		w.t.Fatalf("%s ended twice, or was never asked for", id)
	}
	delete(w.held, id)
	w.ended[id] = true
}

// oneHeld draws one of the permits in use.
func (w *watcher) oneHeld() (string, bool) {
	if len(w.held) == 0 {
		return "", false
	}
	ids := make([]string, 0, len(w.held))
	for i := range w.counter + 1 {
		if id := fmt.Sprint(i); w.held[id] != "" {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(w.t, "held"), true
}

// ask makes an ask with drawn values.
func (w *watcher) ask() {
	w.counter++
	a := permit.Ask{
		ID:           fmt.Sprint(w.counter),
		Host:         rapid.SampledFrom([]string{"entry-1", "entry-2"}).Draw(w.t, "host"),
		Tier:         rapid.IntRange(0, 2).Draw(w.t, "tier"),
		Deadline:     w.now.After(time.Duration(rapid.IntRange(1, 60_000).Draw(w.t, "deadline")) * time.Millisecond),
		PromptTokens: rapid.IntRange(0, 5000).Draw(w.t, "prompt"),
		AnswerTokens: rapid.IntRange(0, 500).Draw(w.t, "answer"),
		Suspendable:  rapid.Bool().Draw(w.t, "suspendable"),
	}
	w.asks[a.ID] = a
	w.step(permit.Asked{At: w.now, Ask: a})
}

// giveBack returns a drawn permit, as finished if it was used and as failed if not.
func (w *watcher) giveBack(used bool) {
	id, any := w.oneHeld()
	if !any {
		return
	}
	w.end(id)
	if !used {
		w.step(permit.Failed{At: w.now, ID: id})
		return
	}
	w.step(permit.Finished{At: w.now, ID: id, Usage: permit.Usage{
		PromptTokens: 100, AnswerTokens: 20, FirstByte: 50 * time.Millisecond, Total: 700 * time.Millisecond,
	}})
}

// mark opens or closes a drawn endpoint for new requests.
func (w *watcher) mark() {
	endpoint := rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "endpoint")
	w.step(permit.Marked{At: w.now, Endpoint: endpoint, Open: rapid.Bool().Draw(w.t, "open")})
}

func TestRandomEventsKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &watcher{
			t: t, now: start, limits: map[string]int{"a": 3, "b": 1},
			asks: map[string]permit.Ask{}, held: map[string]string{}, ended: map[string]bool{},
		}
		w.step(permit.Configured{
			At: start, Tiers: 3, QueueLimit: 6, GoodputWeight: rapid.Float64Range(0, 1).Draw(t, "weight"),
			Endpoints: []permit.EndpointRules{
				{Name: "a", Limit: 3, PrefillSpeed: 4000, DecodeSpeed: 60}, {Name: "b", Limit: 1, DecodeSpeed: 15},
			},
		})
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			w.now = w.now.After(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				w.ask()
			case 3:
				w.giveBack(true)
			case 4:
				w.giveBack(false)
			case 5:
				w.mark()
			case 6:
				w.step(permit.Ticked{At: w.now})
			}
		}
		// With endpoint a open and permits being returned, every request ends.
		w.step(permit.Marked{At: w.now, Endpoint: "a", Open: true})
		for len(w.asks) > len(w.ended) {
			w.now = w.now.After(time.Second)
			w.step(permit.Ticked{At: w.now})
			w.giveBack(true)
		}
	})
}
