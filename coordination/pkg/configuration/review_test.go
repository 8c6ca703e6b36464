package configuration_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
)

// routedText is a configuration with routes in which a review finds nothing. The tests
// replace parts of it.
const routedText = `{
  "goodput-weight": 0.5,
  "tiers": [{"name": "bench", "deadline": "2s"}],
  "customers": [
    {"name": "shop", "token-sha256": "ba4a3eb3d6b294ceaf5c52c175abe698943d560b8df1441175a3afc58fda2cbd", "tiers": ["bench"], "keys": ["secret-1"],
     "quota": {"per-second": 100, "burst": 500, "plain-tokens": 200}},
    {"name": "desk", "token-sha256": "aa4a3eb3d6b294ceaf5c52c175abe698943d560b8df1441175a3afc58fda2cbd", "tiers": ["bench"], "keys": ["secret-2"]},
  ],
  "services": [
    {"name": "atelier", "prefix": "/atelier", "kind": "model", "queue-limit": 10, "body-limit": 4194304, "first-byte-timeout": "5s", "gap-timeout": "2s", "endpoints": []},
    {"name": "orders", "prefix": "/orders", "kind": "application", "queue-limit": 10, "body-limit": 1000, "first-byte-timeout": "5s", "gap-timeout": "2s", "endpoints": []},
  ],
  "rules": [
    {"service": "atelier", "methods": ["GET"], "path": "/v1/chat", "idempotent": true, "tier": "bench"},
    {"service": "atelier", "methods": ["GET", "POST"], "path": "/v1/**", "idempotent": true, "tier": "bench"},
    {"service": "atelier", "idempotent": false, "tier": "bench"},
  ],
  "claims": {"retention": "24h", "stored-answer-limit": 100},
  "routes": [
    {"name": "chat", "host": "a.example", "prefix": "/chat/", "targets": [{"service": "atelier", "weight": 1}],
     "repeat": "resumed", "timeout": "20s", "goal": "1s", "gap-goal": "500ms", "max-attempts": 3, "rank": 0},
    {"name": "orders", "host": "a.example", "prefix": "/orders/", "targets": [{"service": "orders", "weight": 9}, {"service": "atelier", "weight": 1}],
     "repeat": "freely", "timeout": "10s", "goal": "2s", "max-attempts": 2, "rank": 1},
  ],
}`

func reviewed(t *testing.T, text string, limits configuration.HostLimits) (errorTexts, warningTexts []string) {
	t.Helper()
	c, err := configuration.Parse("f", []byte(text))
	is.New(t).NoErr(err)
	findings := c.Review(limits)
	for _, p := range configuration.Locate("f", []byte(text), findings.Errors) {
		errorTexts = append(errorTexts, p.String())
	}
	for _, p := range configuration.Locate("f", []byte(text), findings.Warnings) {
		warningTexts = append(warningTexts, p.String())
	}
	return errorTexts, warningTexts
}

// Guards against a check that misses one kind of contradiction, and against one that
// reports more than that one.
func TestReviewWarnsOfEachKindOnItsOwn(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"rule for more methods after one for fewer", `"path": "/v1/**"`, `"path": "/v1/chat"`, ""},
		{
			"rule hidden by the one before it", `{"service": "atelier", "methods": ["GET"], "path": "/v1/chat"`, `{"service": "atelier", "path": "/v1/**"`,
			"f:15: /rules/1: never matches: /rules/0 takes all its requests before it; move it",
		},
		{"rule with a relative path", `"path": "/v1/chat"`, `"path": "v1/chat"`, `f:14: /rules/0/path: "v1/chat" never matches`},
		{"route hidden by another", `"prefix": "/chat/"`, `"prefix": "/orders/"`, "f:20: /routes/0: never matches: /routes/1 has the same host"},
		{"route with a port", `"name": "chat", "host": "a.example"`, `"name": "chat", "host": "a.example:80"`, `f:20: /routes/0/host: "a.example:80" never matches`},
		{"route with a capital", `"name": "chat", "host": "a.example"`, `"name": "chat", "host": "A.example"`, `/routes/0/host: "A.example" never matches`},
		{"prefix without a final slash", `"prefix": "/chat/"`, `"prefix": "/chat"`, `/routes/0/prefix: "/chat" never matches; begin and end it`},
		{"target without a weight", `"atelier", "weight": 1}],
     "repeat": "freely"`, `"atelier", "weight": 0}],
     "repeat": "freely"`, `f:22: /routes/1/targets/1/weight: service "atelier" gets no request of the route; set a weight above zero, or remove the target (value 0)`},
		{"service of no route or rule", `{"service": "orders", "weight": 9}, `, ``, `f:11: /services/1: no route or rule names service "orders"`},
		{"key of two customers", `"secret-2"`, `"secret-1"`, `f:5: /customers/0/keys/0: never matches: customer "desk" has the same key`},
		{"empty key", `["secret-2"]`, `["secret-2", ""]`, `f:7: /customers/1/keys/1: is empty`},
		{"customer without a key", `["secret-2"]`, `[]`, `f:7: /customers/1: customer "desk" has no key`},
		{"body above the memory", `"body-limit": 4194304`, `"body-limit": 33554432`, `f:10: /services/0/body-limit: 33554432 is above the memory of a host, 16777216 bytes; lower it`},
		{"timeout below the goal", `"timeout": "10s"`, `"timeout": "1s"`, `f:23: /routes/1/timeout: 1s is below the goal of the route, 2s; raise the timeout or lower the goal (value "1s")`},
		{"first byte below the goal", `"goal": "1s"`, `"goal": "6s"`, `f:21: /routes/0/goal: 6s is above the first-byte-timeout of service "atelier", 5s`},
		{"gap below the goal", `"gap-goal": "500ms"`, `"gap-goal": "3s"`, `f:21: /routes/0/gap-goal: 3s is above the gap-timeout of service "atelier", 2s`},
		{"burst below a request", `"burst": 500`, `"burst": 199`, `f:6: /customers/0/quota/burst: 199 is below one request, 200 tokens; raise it`},
	}
	limits := configuration.HostLimits{Memory: 16 << 20, Repeats: &configuration.RepeatLimit{Ratio: 0.1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Count(routedText, c.old), 1) // the replaced text occurs exactly once
			errorTexts, warningTexts := reviewed(t, strings.Replace(routedText, c.old, c.replacement, 1), limits)
			t.Log(warningTexts)
			is.Equal(len(errorTexts), 0)
			if c.want == "" {
				is.Equal(len(warningTexts), 0) // a rule for fewer methods does not hide one for more
				return
			}
			is.Equal(len(warningTexts), 1)
			is.True(strings.Contains(warningTexts[0], c.want))
			is.True(!strings.Contains(warningTexts[0], "secret")) // keys are not shown
		})
	}
	errorTexts, warningTexts := reviewed(t, routedText, limits)
	is.New(t).Equal(len(errorTexts)+len(warningTexts), 0)
}

// Guards against a route that is accepted although all its requests fail.
func TestReviewReportsRoutesThatLeadNowhereAsErrors(t *testing.T) {
	cases := []struct{ old, replacement, want string }{
		{`[{"service": "atelier", "weight": 1}]`, `[{"service": "attic", "weight": 1}]`, `f:20: /routes/0/targets/0/service: there is no service "attic"; name one of /services`},
		{`[{"service": "atelier", "weight": 1}]`, `[]`, `f:20: /routes/0/targets: names no service`},
		{`"weight": 9`, `"weight": -9`, `f:22: /routes/1/targets/0/weight: is below zero`},
		{`"timeout": "10s"`, `"timeout": "0s"`, `f:23: /routes/1/timeout: is not above zero`},
		{`"repeat": "freely"`, `"repeat": "always"`, `f:23: /routes/1/repeat: "always" is not a way to repeat`},
	}
	for _, c := range cases {
		t.Run(c.replacement, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Count(routedText, c.old), 1) // the replaced text occurs exactly once
			errorTexts, warningTexts := reviewed(t, strings.Replace(routedText, c.old, c.replacement, 1), configuration.HostLimits{})
			t.Log(errorTexts, warningTexts)
			is.Equal(len(errorTexts), 1)
			is.Equal(len(warningTexts), 0)
			is.True(strings.Contains(errorTexts[0], c.want))
		})
	}
}

// Guards against attempts that the hosts never make, and a bound that is never reached.
func TestReviewComparesRepeatsWithTheSettings(t *testing.T) {
	is := is.New(t)
	_, warningTexts := reviewed(t, routedText, configuration.HostLimits{Repeats: &configuration.RepeatLimit{Slack: 0.5}})
	is.Equal(len(warningTexts), 2) // one for each route
	is.True(strings.Contains(warningTexts[0], "f:21: /routes/0/max-attempts: 3 attempts are allowed, but repeat-ratio"))
	_, warningTexts = reviewed(t, routedText, configuration.HostLimits{Repeats: &configuration.RepeatLimit{Slack: 1}})
	is.Equal(len(warningTexts), 0)
	c, err := configuration.Parse("f", []byte(routedText))
	is.NoErr(err)
	_, found := c.ReviewRepeats(configuration.RepeatLimit{Ratio: 2})
	is.True(!found) // a route with three attempts can repeat twice
	problem, found := c.ReviewRepeats(configuration.RepeatLimit{Ratio: 2.5})
	is.True(found)
	is.True(strings.Contains(problem.Message, "2.5 repeats for each request is above what the routes allow, 2"))
}

// Guards against rules that are reported as hidden although they match something, and
// hidden ones that are not found.
func TestRulesHiddenByEarlierOnes(t *testing.T) {
	type rule = configuration.Rule
	cases := []struct {
		name    string
		earlier []rule
		last    rule
		hidden  bool
	}{
		{"equal", []rule{{Path: "/a"}}, rule{Path: "/a"}, true},
		{"other service", []rule{{Service: "t"}}, rule{}, false},
		{"fewer methods", []rule{{Methods: []string{"GET"}}}, rule{Methods: []string{"GET", "PUT"}}, false},
		{"all methods after some", []rule{{Methods: []string{"GET"}}}, rule{}, false},
		{"methods of two rules", []rule{{Methods: []string{"GET"}}, {Methods: []string{"PUT"}}}, rule{Methods: []string{"GET", "PUT"}}, true},
		{"pattern takes a path", []rule{{Path: "/a/*"}}, rule{Path: "/a/b"}, true},
		{"pattern and a deeper path", []rule{{Path: "/a/*"}}, rule{Path: "/a/b/c"}, false},
		{"pattern and a subtree", []rule{{Path: "/a/*"}}, rule{Path: "/a/**"}, false},
		{"subtree and its root", []rule{{Path: "/a/**"}}, rule{Path: "/a"}, true},
		{"subtree and a pattern in it", []rule{{Path: "/a/**"}}, rule{Path: "/a/x*"}, true},
		{"subtree and a pattern beside it", []rule{{Path: "/a/**"}}, rule{Path: "/a*"}, false},
		{"subtree and a smaller one", []rule{{Path: "/a/**"}}, rule{Path: "/a/b/**"}, true},
		{"subtree and a larger one", []rule{{Path: "/a/b/**"}}, rule{Path: "/a/**"}, false},
		{"subtree and a similar name", []rule{{Path: "/a/**"}}, rule{Path: "/ab"}, false},
		{"all paths as a subtree", []rule{{Path: "/**"}}, rule{}, true},
		{"some paths before all", []rule{{Path: "/a/**"}}, rule{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			whole := configuration.Configuration{Rules: append(c.earlier, c.last)}
			hidden := false
			for _, w := range whole.Review(configuration.HostLimits{}).Warnings {
				hidden = hidden || strings.Contains(w.Message, "requests before it")
			}
			is.Equal(hidden, c.hidden)
		})
	}
}

// Guards against references that are reported as wrong because the list that they name
// could not be decoded.
func TestReferencesToAnUndecodedListAreNotReported(t *testing.T) {
	for _, r := range [][2]string{{`"tiers": [{"name": "bench", "deadline": "2s"}],`, `"tiers": 3,`}, {`{"name": "atelier", "prefix"`, `{"name": 4, "prefix"`}} {
		is := is.New(t)
		is.Equal(strings.Count(routedText, r[0]), 1) // the replaced text occurs exactly once
		_, err := configuration.Parse("f", []byte(strings.Replace(routedText, r[0], r[1], 1)))
		t.Log(err)
		var found *document.ProblemsError
		is.True(errors.As(err, &found))
		is.Equal(len(found.Problems), 1)
	}
}

// Guards against a check that stops early, and one that reports consequences of an
// error as further errors.
func TestFileWithTenErrorsReportsTen(t *testing.T) {
	is := is.New(t)
	text := routedText
	for _, r := range [][2]string{
		{`"goodput-weight": 0.5`, `"goodput-weight": 2`},
		{`"deadline": "2s"`, `"deadline": "fast"`},
		{`"token-sha256": "aa4a`, `"token-sha256": "zz4a`},
		{`"per-second": 100`, `"per-second": "many"`},
		{`"prefix": "/orders", "kind": "application"`, `"prefix": "orders/", "kind": "app"`},
		{`"queue-limit": 10, "body-limit": 4194304`, `"queue-limit": 0, "body-limit": 4194304`},
		{`"methods": ["GET"], "path": "/v1/chat"`, `"methods": ["get"], "path": "/v1/chat", "idempotnet": true`},
		{`"24h"`, `"1s"`},
	} {
		is.Equal(strings.Count(text, r[0]), 1) // the replaced text occurs exactly once
		text = strings.Replace(text, r[0], r[1], 1)
	}
	_, err := configuration.Parse("f", []byte(text))
	var found *document.ProblemsError
	is.True(errors.As(err, &found))
	t.Log(err)
	is.Equal(len(found.Problems), 10)
	for i, want := range []string{
		"f:2: /goodput-weight: ", "f:3: /tiers/0/deadline: ", "f:6: /customers/0/quota/per-second: ", "f:7: /customers/1/token-sha256: ",
		"f:10: /services/0/queue-limit: ", "f:11: /services/1/prefix: ", "f:11: /services/1/kind: ",
		"f:14: /rules/0/idempotnet: unknown field", "f:14: /rules/0/methods/0: ", "f:18: /claims/retention: ",
	} {
		is.True(strings.HasPrefix(found.Problems[i].String(), want))
	}
}

// Guards against tokens and keys that are shown because their field is misspelled.
func TestValueOfAnUnknownFieldOfACustomerIsNotShown(t *testing.T) {
	is := is.New(t)
	for _, field := range []string{"token", "key", "api-key"} {
		text := strings.Replace(routedText, `"keys": ["secret-1"]`, `"`+field+`": "secret-1"`, 1)
		_, err := configuration.Parse("f", []byte(text))
		var found *document.ProblemsError
		is.True(errors.As(err, &found))
		is.Equal(len(found.Problems), 1)
		is.Equal(found.Problems[0].Field, "/customers/0/"+field)
		is.Equal(found.Problems[0].Value, "")
	}
}
