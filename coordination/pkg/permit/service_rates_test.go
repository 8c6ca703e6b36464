package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// coreThatLearned returns a core with one engine of eight slots that has answered prompts
// of different lengths alone, each of which took as long as took says.
func coreThatLearned(took func(tokens int) time.Duration) *permit.Core {
	var core permit.Core
	core.Step(permit.Configured{
		At: start, QueueLimit: 100, Weights: tierWeights, Endpoints: []permit.EndpointRules{{Name: "only", Limit: 8}},
	})
	for i := range 1000 {
		tokens := []int{500, 2000, 6000, 20_000, 40_000}[i%5]
		id, now := fmt.Sprint("learn-", i), at(time.Duration(i)*10*time.Second)
		core.Step(permit.Asked{At: now, Ask: permit.Ask{
			ID: id, Request: id, PromptTokens: tokens, AnswerTokens: 10, Goal: now.After(5 * time.Second), Deadline: now.After(9 * time.Second),
		}})
		first := took(tokens)
		core.Step(permit.Finished{At: now.After(first + 100*time.Millisecond), ID: id, Usage: permit.Usage{
			PromptTokens: tokens, AnswerTokens: 10, FirstByte: first, Total: first + 100*time.Millisecond,
		}})
	}
	return &core
}

// meetsGoal asks for a prompt with a goal after a core has learned, and reports whether it
// is granted as one that can meet its goal. Its caller doesn't wait for a late answer.
func meetsGoal(core *permit.Core, tokens int, goal time.Duration) bool {
	now := at(24 * time.Hour)
	actions := core.Step(permit.Asked{At: now, Ask: permit.Ask{
		ID: "asked", Request: "asked", PromptTokens: tokens, AnswerTokens: 10,
		Goal: now.After(goal), Patience: now.After(time.Millisecond), Deadline: now.After(time.Minute),
	}})
	return describe(actions) == "asked to only;"
}

// First parts that come later than estimated make requests that start at the last moment
// miss their goals.
func TestGoalLeavesRoomForFirstPartsThatComeLate(t *testing.T) {
	is := is.New(t)
	steady := func(int) time.Duration { return 100 * time.Millisecond }
	calls := 0
	unsteady := func(int) time.Duration {
		calls++
		return time.Duration(60+80*(calls%2)) * time.Millisecond
	}
	const goal = 115 * time.Millisecond
	is.True(meetsGoal(coreThatLearned(steady), 500, goal))
	is.True(!meetsGoal(coreThatLearned(unsteady), 500, goal))
}

// grantedBesideAnAnswer asks for a long prompt while an answer with a gap goal runs, and reports
// whether it is granted at once.
func grantedBesideAnAnswer(core *permit.Core) bool {
	now := at(24 * time.Hour)
	core.Step(permit.Asked{At: now, Ask: permit.Ask{
		ID: "running", Request: "running", PromptTokens: 500, AnswerTokens: 100,
		Goal: now.After(time.Second), GapGoal: 250 * time.Millisecond, Deadline: now.After(time.Minute),
	}})
	now = now.After(500 * time.Millisecond)
	actions := core.Step(permit.Asked{At: now, Ask: permit.Ask{
		ID: "long", Request: "long", PromptTokens: 40_000, AnswerTokens: 10, Goal: now.After(5 * time.Second), Deadline: now.After(time.Minute),
	}})
	return describe(actions) == "long to only;"
}

// learnPauses makes the only engine answer pairs of a short and a long prompt at the same
// time, where the answer to the short one pauses for the given time.
func learnPauses(core *permit.Core, pause time.Duration) {
	for i := range 20 {
		now := at(12*time.Hour + time.Duration(i)*10*time.Second)
		short, long := fmt.Sprint("short-", i), fmt.Sprint("beside-", i)
		core.Step(permit.Asked{At: now, Ask: permit.Ask{ID: short, Request: short, PromptTokens: 500, AnswerTokens: 100, Goal: now.After(time.Second), Deadline: now.After(time.Minute)}})
		now = now.After(500 * time.Millisecond)
		core.Step(permit.Asked{At: now, Ask: permit.Ask{ID: long, Request: long, PromptTokens: 20_000, AnswerTokens: 10, Goal: now.After(5 * time.Second), Deadline: now.After(time.Minute)}})
		core.Step(permit.Finished{At: now.After(2 * time.Second), ID: short, Usage: permit.Usage{
			PromptTokens: 500, AnswerTokens: 100, FirstByte: 60 * time.Millisecond, Total: 2500 * time.Millisecond, LongestPause: pause,
		}})
		core.Step(permit.Finished{At: now.After(3 * time.Second), ID: long, Usage: permit.Usage{
			PromptTokens: 20_000, AnswerTokens: 10, FirstByte: 300 * time.Millisecond, Total: 540 * time.Millisecond,
		}})
	}
}

// An engine that goes on with its answers while it processes a long prompt suits that
// prompt at once. Otherwise it would wait until it can hardly meet its goal.
func TestLongPromptDoesNotWaitWhereAnswersGoOn(t *testing.T) {
	is := is.New(t)
	proportional := func(tokens int) time.Duration {
		return 50*time.Millisecond + time.Duration(tokens)*10*time.Microsecond
	}
	stalling := coreThatLearned(proportional)
	learnPauses(stalling, 220*time.Millisecond)
	is.True(!grantedBesideAnAnswer(stalling))
	interleaving := coreThatLearned(proportional)
	learnPauses(interleaving, 100*time.Millisecond)
	is.True(grantedBesideAnAnswer(interleaving))
}

// A long answer occupies a slow engine until its deadline and is lost then. It waits for a
// faster one while there is time.
func TestLongAnswerWaitsForAnEngineThatEndsItInTime(t *testing.T) {
	is := is.New(t)
	var core permit.Core
	core.Step(permit.Configured{At: start, QueueLimit: 100, Weights: tierWeights, Endpoints: []permit.EndpointRules{
		{Name: "slow", Limit: 1, PrefillSpeed: 10_000, DecodeSpeed: 20}, {Name: "fast", Limit: 1, PrefillSpeed: 10_000, DecodeSpeed: 200},
	}})
	ask := func(id string, answer int) permit.Asked {
		return permit.Asked{At: start, Ask: permit.Ask{
			ID: id, Request: id, PromptTokens: 100, AnswerTokens: answer, Goal: at(time.Second), Deadline: at(10 * time.Second),
		}}
	}
	is.Equal(describe(core.Step(ask("a", 150))), "a to fast;")
	is.Equal(describe(core.Step(ask("b", 150))), "") // 7.5 s at the slow engine, if the guess is right
	is.Equal(describe(core.Step(ask("c", 20))), "c to slow;")
	is.Equal(describe(core.Step(permit.Finished{At: at(500 * time.Millisecond), ID: "a"})), "b to fast;")
}
