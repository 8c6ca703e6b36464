package recheck_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/replay/pkg/recheck"
)

// recordDecisions returns the record of 2,999 events of a small service that is busy.
func recordDecisions(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	var core permit.Core
	var out bytes.Buffer
	now := permit.Instant(time.Hour)
	var held []string
	step := func(n int64, e permit.Event) {
		actions := core.Step(e)
		for _, a := range actions {
			if g, granted := a.(permit.Granted); granted {
				held = append(held, g.ID)
			}
		}
		line, err := permit.Line{Service: "atelier", Owner: "entry-1", Epoch: 1, Number: n}.WithDecision(e, actions)
		is.NoErr(err)
		is.NoErr(json.NewEncoder(&out).Encode(map[string]any{"record": map[string]any{"decision": line}}))
	}
	step(1, permit.Configured{At: now, QueueLimit: 20, GoodputWeight: 0.5, Endpoints: []permit.EndpointRules{
		{Name: "a", Limit: 3, PrefillSpeed: 2000, DecodeSpeed: 50}, {Name: "b", Limit: 2, PrefillSpeed: 900, DecodeSpeed: 20},
	}})
	for n := int64(2); n < 3000; n++ {
		now = now.After(time.Duration(random.IntN(200)) * time.Millisecond)
		switch k := random.IntN(10); {
		case k < 5:
			step(n, permit.Asked{At: now, Ask: permit.Ask{
				ID: fmt.Sprint(n), Host: fmt.Sprint("entry-", random.IntN(3)), Tier: random.IntN(3), Suspendable: true,
				Deadline: now.After(time.Duration(1+random.IntN(20)) * time.Second), PromptTokens: random.IntN(3000), AnswerTokens: random.IntN(300),
			}})
		case k < 8 && len(held) > 0:
			id := held[0]
			held = held[1:]
			step(n, permit.Finished{At: now, ID: id, Usage: permit.Usage{
				PromptTokens: 500, AnswerTokens: 100, FirstByte: 300 * time.Millisecond, Total: 3 * time.Second,
			}})
		case k == 8:
			step(n, permit.HostLost{At: now, Host: fmt.Sprint("entry-", random.IntN(3))})
		default:
			step(n, permit.Ticked{At: now})
		}
	}
	return out.String()
}

func TestReplayReturnsTheRecordedDecisions(t *testing.T) {
	is := is.New(t)
	text := recordDecisions(t)
	is.True(strings.Contains(text, `"granted"`) && strings.Contains(text, `"refused"`) && strings.Contains(text, `"suspended"`))
	var records recheck.Records
	is.NoErr(records.Read(strings.NewReader(text)))
	result, err := records.Check()
	is.NoErr(err)
	is.Equal(result.Decisions, 2999)
}

func TestChangedDecisionIsReported(t *testing.T) {
	is := is.New(t)
	text := recordDecisions(t)
	i := strings.LastIndex(text, `"endpoint":"a"`)
	var records recheck.Records
	is.NoErr(records.Read(strings.NewReader(text[:i] + `"endpoint":"b"` + text[i+len(`"endpoint":"a"`):])))
	_, err := records.Check()
	differs := errors.HasType(err, (*recheck.DifferenceError)(nil))
	is.True(differs)
}

func TestMissingLineIsReported(t *testing.T) {
	is := is.New(t)
	lines := strings.SplitAfter(recordDecisions(t), "\n")
	var records recheck.Records
	is.NoErr(records.Read(strings.NewReader(strings.Join(append(lines[:40], lines[41:]...), ""))))
	_, err := records.Check()
	is.True(err != nil)
}
