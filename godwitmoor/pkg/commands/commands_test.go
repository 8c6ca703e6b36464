package commands_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
	"godwitmoor.example/coordination/pkg/operator"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoor/pkg/commands"
	"godwitmoor.example/standin/pkg/keyvalue"
)

// workspace is an operator's environment: a folder of configuration files and a
// stand-in for the platform's key-value service.
type workspace struct {
	t        *testing.T
	is       *is.I
	folder   string
	keyValue *httptest.Server
}

func newWorkspace(t *testing.T) *workspace {
	w := &workspace{t: t, is: is.New(t), folder: t.TempDir(), keyValue: httptest.NewServer(keyvalue.New().Handler())}
	t.Cleanup(w.keyValue.Close)
	return w
}

func (w *workspace) writeConfiguration(name string, deployment operator.Deployment) string {
	var page bytes.Buffer
	w.is.NoErr(deployment.Print(&page))
	path := filepath.Join(w.folder, name)
	w.is.NoErr(os.WriteFile(path, page.Bytes(), 0o600))
	return path
}

func (w *workspace) run(args ...string) (string, error) {
	var out bytes.Buffer
	root := &cli.Command{Name: "godwitmoor", Commands: commands.All(&out), ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err := root.Run(w.t.Context(), append([]string{"godwitmoor"}, args...))
	return out.String(), err
}

func smallDeployment() operator.Deployment {
	return operator.New("small").WithTier("bench", time.Second, "").WithCustomer("shop", "secret", "bench")
}

func TestValidateDiffAndApply(t *testing.T) {
	w := newWorkspace(t)
	first := w.writeConfiguration("first.jsonc", smallDeployment())
	out, err := w.run("validate", first)
	w.is.NoErr(err)
	w.is.Equal(out, "valid: 1 tiers, 1 customers, 0 services, 0 rules\n")
	out, err = w.run("apply", "--key-value", w.keyValue.URL, first)
	w.is.NoErr(err)
	w.is.Equal(out, "accepted: version 1\n")
	second := w.writeConfiguration("second.jsonc", smallDeployment().WithTier("review", time.Minute, ""))
	out, err = w.run("diff", "--key-value", w.keyValue.URL, second)
	w.is.NoErr(err)
	w.is.True(strings.Contains(out, `+ /tiers/review/deadline = "1m0s"`))
	w.is.True(!strings.Contains(out, "/tiers/bench/deadline"))
	_, err = w.run("apply", "--key-value", w.keyValue.URL, "--by", "mei", second)
	w.is.NoErr(err)
	_, err = w.run("apply", "--key-value", w.keyValue.URL, "--base", "1", first)
	w.is.True(err != nil) // another change was accepted first; the error names its operator
	w.is.True(strings.Contains(err.Error(), "version 2 by mei"))
}

func TestApplyRejectsAnInvalidConfiguration(t *testing.T) {
	w := newWorkspace(t)
	path := filepath.Join(w.folder, "bad.jsonc")
	w.is.NoErr(os.WriteFile(path, []byte("{\n  // a slip\n  \"teirs\": []\n}"), 0o600))
	_, err := w.run("apply", "--key-value", w.keyValue.URL, path)
	w.is.True(err != nil)
	w.is.True(strings.Contains(err.Error(), ":3: /teirs: unknown field"))
}

func TestApplyWaitsUntilAllLiveHostsHaveTheVersionInForce(t *testing.T) {
	w := newWorkspace(t)
	statusRequests := 0
	status := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		statusRequests++
		version := min(statusRequests-1, 1) // the second host has version 1 only from the second request on
		fmt.Fprintf(response, `{"host":"entry-1","hosts":[{"name":"entry-1","version":1,"state":"alive"},
			{"name":"entry-2","version":%d,"state":"alive"},{"name":"entry-3","version":0,"state":"dead"}]}`, version)
	}))
	t.Cleanup(status.Close)
	out, err := w.run("apply", "--key-value", w.keyValue.URL, "--wait", "--host", status.URL, w.writeConfiguration("first.jsonc", smallDeployment()))
	w.is.NoErr(err)
	w.is.True(statusRequests >= 2)
	w.is.True(strings.Contains(out, "in force on 2 of 2 hosts"))
}

func TestExplainPrintsDecisionsAndOutcomeOfARequest(t *testing.T) {
	w := newWorkspace(t)
	var core permit.Core
	core.Step(permit.Configured{At: 1, QueueLimit: 1, Endpoints: []permit.EndpointRules{{Name: "engine-1", Limit: 1}}})
	asked := permit.Asked{At: 2, Ask: permit.Ask{ID: "attempt-1", Host: "entry-2", Deadline: 1e12}}
	decision, err := permit.Line{Service: "atelier", Owner: "entry-1", Number: 2}.WithDecision(asked, core.Step(asked))
	w.is.NoErr(err)
	serve := func(line any) string {
		s := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
			w.is.NoErr(json.NewEncoder(response).Encode(line))
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	owner := serve(map[string]any{"decision": decision})
	entry := serve(map[string]any{"request": map[string]any{
		"request": "r-1", "host": "entry-2", "customer": "shop", "tier": "bench", "attempts": []string{"attempt-1"},
		"endpoint": "engine-1", "outcome": "answered", "took-ms": 120, "deadline-ms": 2000,
	}})
	out, err := w.run("explain", "--host", owner, "--host", entry, "--host", "http://127.0.0.1:1", "r-1")
	w.is.NoErr(err)
	w.is.True(strings.Contains(out, "owner entry-1, decision 2"))
	w.is.True(strings.Contains(out, "endpoint engine-1 had a free place"))
	w.is.True(strings.Contains(out, "request r-1 of shop (tier bench) at host entry-2: answered"))
	w.is.True(strings.Contains(out, "not reached: http://127.0.0.1:1"))
	_, err = w.run("explain", "--host", entry, "r-2")
	w.is.True(err != nil)
}

func TestCutRecordIsTakenAsTheWholeRecordOfAHost(t *testing.T) {
	const finished = `{"request":{"request":"r-1","host":"entry-1","outcome":"answered"}}` + "\n"
	for name, record := range map[string]string{
		"cut line":  finished + `{"request":{"request":"r-2","ho`,
		"no record": finished + `{"error":"not ready"}`,
		"long line": finished + strings.Repeat(" ", 5<<20),
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorkspace(t)
			host := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) { fmt.Fprint(response, record) }))
			t.Cleanup(host.Close)
			out, err := w.run("explain", "--host", host.URL, "r-1")
			w.is.NoErr(err)
			w.is.True(strings.Contains(out, "request r-1"))
			w.is.True(strings.Contains(out, "record incomplete: "+host.URL))
			_, err = w.run("explain", "--host", host.URL, "r-2")
			w.is.True(err != nil)
			w.is.True(strings.Contains(err.Error(), "record incomplete: "+host.URL))
		})
	}
}
