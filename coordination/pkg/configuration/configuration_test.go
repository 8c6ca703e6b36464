package configuration_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/keyvalue/keyvaluetest"
)

// validText is a valid configuration. The tests replace parts of it, and expect
// problems at its line numbers.
const validText = `{
  "goodput-weight": 0.5,
  "tiers": [{"name": "bench", "deadline": "2s"}, {"name": "review", "deadline": "10m"}],
  "customers": [{"name": "shop", "token-sha256": "ba4a3eb3d6b294ceaf5c52c175abe698943d560b8df1441175a3afc58fda2cbd", "tiers": ["bench"]}],
  // the model workers
  "services": [{"name": "atelier", "prefix": "/atelier", "kind": "model", "queue-limit": 10, "body-limit": 1000, "first-byte-timeout": "5s", "gap-timeout": "2s",
    "endpoints": [{"name": "e1", "address": "127.0.0.1:1", "data-centre": "lorient", "in-flight-limit": 4}]}],
  "rules": [{"service": "atelier", "methods": ["POST"], "path": "/v1/**", "idempotent": true, "tier": "review"}],
  "claims": {"retention": "24h", "stored-answer-limit": 100},
}`

func TestProblemsNameTheirPlaceAndRemedy(t *testing.T) {
	cases := []struct{ old, replacement, want string }{
		{`"tiers": [{`, `"tierz": [{`, "small:3: /tierz: unknown field; remove it"},
		{`"2s"}, {"name": "rev`, `"fast"}, {"name": "rev`, `small:3: /tiers/0/deadline: "fast" is not a duration`},
		{`"goodput-weight": 0.5`, `"goodput-weight": 2`, "small:2: /goodput-weight: is outside 0 to 1; set"},
		{`"in-flight-limit": 4`, `"in-flight-limit": 0`, "small:7: /services/0/endpoints/0/in-flight-limit: 0 is outside 1 to 4096"},
		{`127.0.0.1:1`, `localhost:1`, "small:7: /services/0/endpoints/0/address"},
		{`"tier": "review"}]`, `"tier": "later"}]`, `small:8: /rules/0/tier: there is no tier "later"; name one`},
		{`"kind": "model"`, `"kind": "modem"`, "small:6: /services/0/kind"},
		{`"queue-limit": 10, `, ``, "small:6: /services/0/queue-limit: 0 is outside"},
		{`"24h"`, `"1s"`, "small:9: /claims/retention: 1s is outside"},
		{`"name": "review"`, `"name": "bench"`, `small:3: /tiers/1/name: "bench" is used twice`},
		{`"goodput-weight": 0.5,`, `"goodput-weight": 0.5,,`, "small:2: /: hujson"},
	}
	for _, c := range cases {
		t.Run(c.replacement, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Count(validText, c.old), 1) // the replaced text occurs exactly once
			_, err := configuration.Parse("small", []byte(strings.Replace(validText, c.old, c.replacement, 1)))
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
	_, err := configuration.Parse("small", []byte(validText))
	is.New(t).NoErr(err)
}

func TestRulesAndRoutes(t *testing.T) {
	is := is.New(t)
	c, err := configuration.Parse("small", []byte(validText))
	is.NoErr(err)
	service, rest, found := c.Route("/atelier/v1/completions")
	is.True(found)
	is.Equal(service.Name, "atelier")
	is.Equal(rest, "/v1/completions")
	_, _, found = c.Route("/ateliers/v1")
	is.True(!found) // a prefix ends at a slash
	is.True(c.RuleFor("atelier", "POST", "/v1/completions").Idempotent)
	is.True(!c.RuleFor("atelier", "POST", "/v2/x").Idempotent) // a POST that no rule matches is not idempotent
	is.True(c.RuleFor("atelier", "GET", "/v2/x").Idempotent)
	is.Equal(c.RuleFor("atelier", "PUT", "/").Tier, "review")
}

func TestDifferencesNameItemsByName(t *testing.T) {
	is := is.New(t)
	before, err := configuration.Parse("small", []byte(validText))
	is.NoErr(err)
	differences, err := configuration.Differences(before, before.WithEndpointLeaving("e1"))
	is.NoErr(err)
	is.Equal(fmt.Sprint(differences), "[+ /services/atelier/endpoints/e1/leaving = true]")
	is.True(!before.Services[0].Endpoints[0].Leaving) // the original is unchanged
}

func change(id, by string, base int64) configuration.Change {
	return configuration.Change{ID: id, By: by, Text: validText, Base: base}
}

func TestOneOfTwoConcurrentAppliesWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		results := make(chan configuration.Result, 2)
		for _, by := range []string{"mei", "yann"} {
			configurations := &configuration.Store{KeyValue: store.Link(func(keyvaluetest.Call) error {
				time.Sleep(time.Millisecond)
				return nil
			})}
			go func() {
				r, err := configurations.Apply(t.Context(), change("change-of-"+by, by, 0))
				is.NoErr(err)
				results <- r
			}()
		}
		var won, lost int
		var winner string
		for range 2 {
			switch r := (<-results).(type) {
			case configuration.Applied:
				won++
				is.Equal(r.Version, int64(1))
			case configuration.Superseded:
				lost++
				winner = r.By
			}
		}
		is.Equal(won, 1)
		is.Equal(lost, 1)
		current, err := (&configuration.Store{KeyValue: store.Link(nil)}).Current(t.Context())
		is.NoErr(err)
		is.Equal(current.By, winner) // the other operator gets the name of the one who was first
	})
}

func TestApplyFindsItsChangeAfterALostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		other := &configuration.Store{KeyValue: store.Link(nil)}
		lose := true
		configurations := &configuration.Store{KeyValue: store.Link(func(c keyvaluetest.Call) error {
			if c.Stage != keyvaluetest.After || c.Operation != "create" || !lose {
				return nil
			}
			lose = false
			// Another change is applied before the operator reads the release again.
			r, err := other.Apply(context.Background(), change("later", "yann", 1))
			is.NoErr(err)
			is.Equal(r, configuration.Applied{Version: 2})
			return keyvaluetest.ErrInjected
		})}
		r, err := configurations.Apply(t.Context(), change("first", "mei", 0))
		is.NoErr(err)
		is.Equal(r, configuration.Applied{Version: 1}) // found among the earlier changes
	})
}

func TestApplyWithoutAReplyReportsAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		configurations := &configuration.Store{KeyValue: store.Link(func(c keyvaluetest.Call) error {
			if c.Stage == keyvaluetest.After {
				return keyvaluetest.ErrInjected
			}
			return nil
		})}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := configurations.Apply(ctx, change("first", "mei", 0))
		unsettled := errors.HasType(err, (*configuration.UnknownOutcomeError)(nil))
		is.True(unsettled)
		is.True(strings.Contains(err.Error(), "--change-id first"))
	})
}

func TestEmptyConfigurationHasProblemsOnLineOne(t *testing.T) {
	is := is.New(t)
	var empty configuration.Configuration
	problems := document.Locate("f", []byte("{}"), empty.Check())
	is.True(len(problems) >= 2) // at least: no tier, and a retention outside the range
	is.Equal(problems[0].Line, 1)
}
