package audit_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/replay/pkg/audit"
	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/replay/pkg/trace"
	"godwitmoor.example/standin/pkg/answer"
)

const (
	prompt     = "which allowance?"
	tokens     = 6
	finalEvent = "data: [DONE]\n\n"
	// wholeAnswers is the index of promise 3 in a report.
	wholeAnswers = 2
)

// events returns the events of the answer to prompt from one token to another.
func events(from, to int) string {
	var b strings.Builder
	digest := answer.Digest(prompt)
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "data: {\"index\":%d,\"text\":%q}\n\n", i, answer.Token(digest, i))
	}
	return b.String()
}

// host is the only destination of a test's callers.
type host struct{ address string }

func (h host) Pick(string) (caller.Destination, bool) {
	return caller.Destination{Name: "entry-1", Listen: h.address}, true
}

// judge returns the status of promise 3 after one caller received the stream, which
// ends regularly unless it is cut.
func judge(t *testing.T, stream string, cut bool) audit.Status {
	t.Helper()
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, stream)
		_ = http.NewResponseController(w).Flush()
		if cut {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.Close)
	var log bytes.Buffer
	callers := caller.New(host{strings.TrimPrefix(s.URL, "http://")}, func(string) string { return "secret" }, &log)
	request := trace.Request{Method: http.MethodPost, Path: "/atelier/v1/completions", Tier: "review", Prompt: prompt, Answer: tokens, Deadline: time.Minute}
	callers.Send(t.Context(), []trace.Request{request}, time.Now(), func(int) {})
	var outcome caller.Outcome
	is.NoErr(json.Unmarshal(log.Bytes(), &outcome))
	return audit.Check(audit.Evidence{Outcomes: []caller.Outcome{outcome}}).Results[wholeAnswers].Status
}

func TestWholeAnswerIsHeldAndABrokenOffOneIsNotJudged(t *testing.T) {
	is := is.New(t)
	is.Equal(judge(t, events(0, tokens)+finalEvent, false), audit.Held)
	is.Equal(judge(t, ": comment\n\nid: 7\n"+events(0, tokens)+finalEvent, false), audit.Held)
	is.Equal(judge(t, events(0, 4), true), audit.NotJudged)
}

func TestAnswerThatEndsAsCompleteAndIsNotWholeBreaksThePromise(t *testing.T) {
	whole := events(0, tokens)
	for name, stream := range map[string]string{
		"nothing":                          "",
		"early end":                        events(0, 4),
		"early end with the final event":   events(0, 4) + finalEvent,
		"end before the final event":       whole,
		"end inside an event":              events(0, 4) + `data: {"index"`,
		"end inside a JSON value":          events(0, 4) + "data: {\"index\"\n\n" + finalEvent,
		"second run from its start":        events(0, 4) + whole + finalEvent,
		"second run with a repeated token": events(0, 4) + events(3, tokens) + finalEvent,
		"second run with a gap":            events(0, 3) + events(4, tokens) + finalEvent,
		"text of an error":                 events(0, 4) + "the run failed",
		"text in the middle":               events(0, 4) + "the run failed\n\n" + events(4, tokens) + finalEvent,
		"text after the final event":       whole + finalEvent + "the run failed",
		"run after the final event":        whole + finalEvent + events(4, tokens),
		"two final events":                 whole + finalEvent + finalEvent,
		"two whole runs":                   whole + finalEvent + whole + finalEvent,
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(judge(t, stream, false), audit.Broken)
		})
	}
}
