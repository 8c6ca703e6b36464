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

// invariantChecker drives a core and checks its actions against the invariants, with
// its own count of the asks and permits.
type invariantChecker struct {
	t      *rapid.T
	core   permit.Core
	now    permit.Instant
	limits map[string]int
	asks   map[string]permit.Ask
	// held maps the ID of each permit in use to its endpoint.
	held   map[string]string
	ended  map[string]bool
	lastID int
	// shares is set if the core divides its slots between customers.
	shares bool
}

// step passes an event to the core and checks the actions and the counts.
func (c *invariantChecker) step(e permit.Event) {
	for _, action := range c.core.Step(e) {
		switch a := action.(type) {
		case permit.Granted:
			c.checkGrant(a)
		case permit.Refused:
			c.recordEnd(a.ID)
		case permit.Suspended:
			if c.held[a.ID] == "" {
				c.t.Fatalf("%s was suspended but holds no permit", a.ID)
			}
			if c.asks[a.ID].Tier <= c.asks[a.For].Tier {
				c.t.Fatalf("%s was suspended for %s, which is not of a higher tier", a.ID, a.For)
			}
		}
	}
	waiting, held := c.core.Load()
	if held != len(c.held) || waiting != len(c.asks)-len(c.held)-len(c.ended) {
		c.t.Fatalf("the core counts %d waiting requests and %d permits, the test %d and %d", waiting, held, len(c.asks)-len(c.held)-len(c.ended), len(c.held))
	}
}

func (c *invariantChecker) checkGrant(a permit.Granted) {
	if c.ended[a.ID] || c.held[a.ID] != "" {
		c.t.Fatalf("%s was granted after it had ended, or twice", a.ID)
	}
	ask := c.asks[a.ID]
	if c.now > ask.Deadline {
		c.t.Fatalf("%s was granted after its deadline", a.ID)
	}
	c.held[a.ID] = a.Endpoint
	used := 0
	for _, endpoint := range c.held {
		if endpoint == a.Endpoint {
			used++
		}
	}
	if used > c.limits[a.Endpoint] {
		c.t.Fatalf("%s holds %d permits, its limit is %d", a.Endpoint, used, c.limits[a.Endpoint])
	}
}

func (c *invariantChecker) recordEnd(id string) {
	if c.ended[id] || c.asks[id].ID == "" {
		c.t.Fatalf("%s ended twice, or was never asked for", id)
	}
	delete(c.held, id)
	c.ended[id] = true
}

// drawHeldPermit draws one of the permits in use.
func (c *invariantChecker) drawHeldPermit() (string, bool) {
	if len(c.held) == 0 {
		return "", false
	}
	ids := make([]string, 0, len(c.held))
	for i := range c.lastID + 1 {
		if id := fmt.Sprint(i); c.held[id] != "" {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(c.t, "held"), true
}

// ask makes an ask with drawn values.
func (c *invariantChecker) ask() {
	c.lastID++
	a := permit.Ask{
		ID:           fmt.Sprint(c.lastID),
		Host:         rapid.SampledFrom([]string{"entry-1", "entry-2"}).Draw(c.t, "host"),
		Tier:         rapid.IntRange(0, 2).Draw(c.t, "tier"),
		Deadline:     c.now.After(time.Duration(rapid.IntRange(1, 60_000).Draw(c.t, "deadline")) * time.Millisecond),
		PromptTokens: rapid.IntRange(0, 5000).Draw(c.t, "prompt"),
		AnswerTokens: rapid.IntRange(0, 500).Draw(c.t, "answer"),
		Suspendable:  rapid.Bool().Draw(c.t, "suspendable"),
	}
	if c.shares {
		a.Customer = rapid.SampledFrom([]string{"", "tower", "shop"}).Draw(c.t, "customer")
		a.Subject = rapid.SampledFrom([]string{"", "s-1", "s-2", "s-3"}).Draw(c.t, "subject")
		a.Goal = c.now.After(time.Duration(rapid.IntRange(1, 5000).Draw(c.t, "goal")) * time.Millisecond)
		a.Patience = a.Goal.After(time.Duration(rapid.IntRange(0, 3000).Draw(c.t, "patience")) * time.Millisecond)
	}
	c.asks[a.ID] = a
	c.step(permit.Asked{At: c.now, Ask: a})
}

// returnPermit returns a drawn permit, as finished if the request was answered and as
// failed if not.
func (c *invariantChecker) returnPermit(answered bool) {
	id, found := c.drawHeldPermit()
	if !found {
		return
	}
	c.recordEnd(id)
	if !answered {
		c.step(permit.Failed{At: c.now, ID: id})
		return
	}
	c.step(permit.Finished{At: c.now, ID: id, Usage: permit.Usage{
		PromptTokens: 100, AnswerTokens: 20, FirstByte: 50 * time.Millisecond, Total: 700 * time.Millisecond,
	}})
}

// openOrClose opens or closes a drawn endpoint for new requests.
func (c *invariantChecker) openOrClose() {
	endpoint := rapid.SampledFrom([]string{"a", "b"}).Draw(c.t, "endpoint")
	c.step(permit.Marked{At: c.now, Endpoint: endpoint, Open: rapid.Bool().Draw(c.t, "open")})
}

func TestRandomEventsKeepTheInvariants(t *testing.T) {
	checkRandomEvents(t, false)
}

// Guards against requests that are lost or decided twice when they move between the queues
// of shares.
func TestRandomEventsKeepTheInvariantsWithShares(t *testing.T) {
	checkRandomEvents(t, true)
}

func checkRandomEvents(t *testing.T, shares bool) {
	rapid.Check(t, func(t *rapid.T) {
		c := &invariantChecker{
			t: t, now: start, limits: map[string]int{"a": 3, "b": 1},
			asks: map[string]permit.Ask{}, held: map[string]string{}, ended: map[string]bool{}, shares: shares,
		}
		configured := permit.Configured{
			At: start, QueueLimit: 6, GoodputWeight: rapid.Float64Range(0, 1).Draw(t, "weight"),
			Endpoints: []permit.EndpointRules{
				{Name: "a", Limit: 3, PrefillSpeed: 4000, DecodeSpeed: 60}, {Name: "b", Limit: 1, DecodeSpeed: 15},
			},
		}
		if shares {
			configured.FairShare, configured.Weights, configured.QueueLimit = true, tierWeights, 20
		}
		c.step(configured)
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			c.now = c.now.After(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1, 2:
				c.ask()
			case 3:
				c.returnPermit(true)
			case 4:
				c.returnPermit(false)
			case 5:
				c.openOrClose()
			case 6:
				c.step(permit.Ticked{At: c.now})
			}
		}
		// With endpoint a open and permits being returned, every request ends.
		c.step(permit.Marked{At: c.now, Endpoint: "a", Open: true})
		for len(c.asks) > len(c.ended) {
			c.now = c.now.After(time.Second)
			c.step(permit.Ticked{At: c.now})
			c.returnPermit(true)
		}
	})
}
