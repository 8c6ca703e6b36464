package permit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// Guards against decisions whose memory and time depend on the number of a rank instead of
// on how many ranks are in use.
func TestLargeRankCostsNoMoreThanASmallOne(t *testing.T) {
	is := is.New(t)
	cost := func(lowest int) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		core := newCore(permit.EndpointRules{Name: "only", Limit: 1, DecodeSpeed: 100})
		for n := range 100 {
			core.Step(askAt(0, fmt.Sprint(n), []int{0, 1, lowest}[n%3], 10, time.Minute))
		}
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc
	}
	small := cost(2)
	large := cost(1 << 40)
	t.Logf("%d bytes with rank 2, %d with rank 2^40", small, large)
	is.True(large < 2*small)
}

func TestRanksAreServedInOrderHoweverFarApart(t *testing.T) {
	is := is.New(t)
	const lowest = 1_000_000
	core := newCore(permit.EndpointRules{Name: "only", Limit: 1, DecodeSpeed: 100})
	is.Equal(describe(core.Step(askAt(0, "running", 7, 100, time.Minute))), "running to only;")
	core.Step(askAt(0, "low", lowest, 10, time.Minute))
	core.Step(askAt(0, "middle", 7, 10, time.Minute))
	core.Step(askAt(0, "high", 0, 10, time.Minute))
	core.Step(askAt(0, "also low", lowest, 10, time.Minute))
	is.Equal(describe(core.Step(askAt(0, "full", 8, 10, time.Minute))), "also low refused for displaced;") // the queue takes four
	for _, next := range []string{"high", "middle", "full", "low"} {
		running := map[string]string{"high": "running", "middle": "high", "full": "middle", "low": "full"}[next]
		is.Equal(describe(core.Step(permit.Finished{At: at(time.Second), ID: running, Usage: permit.Usage{Total: time.Second}})), next+" to only;")
	}
}

func TestRankWithoutRequestsIsForgottenAndBeginsAnew(t *testing.T) {
	is := is.New(t)
	rules := permit.EndpointRules{Name: "only", Limit: 1, DecodeSpeed: 100}
	core := newCore(rules)
	for n := range 1000 {
		// Each version of the configuration has another rank.
		now := at(time.Duration(n) * time.Minute)
		core.Step(permit.Configured{At: now, QueueLimit: 4, Endpoints: []permit.EndpointRules{rules}})
		id := fmt.Sprint("ask-", n)
		asked := permit.Asked{At: now, Ask: permit.Ask{ID: id, Host: "entry-1", Tier: n, Deadline: now.After(time.Minute), AnswerTokens: 10}}
		is.Equal(describe(core.Step(asked)), id+" to only;")
		core.Step(permit.Finished{At: now, ID: id, Usage: permit.Usage{Total: time.Second}})
	}
	is.True(core.TierCount() <= 2)
}
