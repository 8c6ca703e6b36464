package permit_test

import (
	"fmt"
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

// A program can embed the decisions for one service, a Core. It calls Step from its
// own loop and passes the time of its own clock in every event.
func ExampleCore() {
	var core permit.Core
	now := permit.Instant(0)
	// Tier 0 is the highest. Limit is the number of requests at a time, DecodeSpeed
	// is in tokens per second.
	core.Step(permit.Configured{At: now, QueueLimit: 10, Endpoints: []permit.EndpointRules{
		{Name: "engine", Limit: 1, DecodeSpeed: 50},
	}})
	show := func(actions []permit.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case permit.Granted:
				fmt.Printf("%s goes to %s after %v\n", a.ID, a.Endpoint, a.Waited)
			case permit.Refused:
				fmt.Printf("%s is refused: %s\n", a.ID, a.Reason)
			}
		}
	}
	show(core.Step(permit.Asked{At: now, Ask: permit.Ask{ID: "review", Tier: 1, AnswerTokens: 100, Deadline: now.After(time.Minute)}}))
	show(core.Step(permit.Asked{At: now, Ask: permit.Ask{ID: "bench", AnswerTokens: 10, Deadline: now.After(5 * time.Second)}}))
	show(core.Step(permit.Finished{At: now.After(2 * time.Second), ID: "review"}))
	// Output:
	// review goes to engine after 0s
	// bench goes to engine after 2s
}
