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

// desk is an operator's environment: a folder of configuration files and a
// stand-in for the platform's key-value service.
type desk struct {
	t        *testing.T
	is       *is.I
	folder   string
	keyValue *httptest.Server
}

func newDesk(t *testing.T) *desk {
	d := &desk{t: t, is: is.New(t), folder: t.TempDir(), keyValue: httptest.NewServer(keyvalue.New().Handler())}
	t.Cleanup(d.keyValue.Close)
	return d
}

func (d *desk) file(name string, deployment operator.Deployment) string {
	var page bytes.Buffer
	d.is.NoErr(deployment.Print(&page))
	path := filepath.Join(d.folder, name)
	d.is.NoErr(os.WriteFile(path, page.Bytes(), 0o600))
	return path
}

func (d *desk) run(args ...string) (string, error) {
	var out bytes.Buffer
	root := &cli.Command{Name: "godwitmoor", Commands: commands.All(&out), ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	err := root.Run(d.t.Context(), append([]string{"godwitmoor"}, args...))
	return out.String(), err
}

func small() operator.Deployment {
	return operator.New("small").WithTier("bench", time.Second, "").WithCustomer("shop", "secret", "bench")
}

func TestOperatorChecksComparesAndApplies(t *testing.T) {
	d := newDesk(t)
	first := d.file("first.jsonc", small())
	out, err := d.run("validate", first)
	d.is.NoErr(err)
	d.is.Equal(out, "valid: 1 tiers, 1 customers, 0 services, 0 rules\n")
	out, err = d.run("apply", "--key-value", d.keyValue.URL, first)
	d.is.NoErr(err)
	d.is.Equal(out, "accepted: version 1\n")
	second := d.file("second.jsonc", small().WithTier("review", time.Minute, ""))
	out, err = d.run("diff", "--key-value", d.keyValue.URL, second)
	d.is.NoErr(err)
	d.is.True(strings.Contains(out, `+ /tiers/review/deadline = "1m0s"`))
	d.is.True(!strings.Contains(out, "/tiers/bench/deadline"))
	_, err = d.run("apply", "--key-value", d.keyValue.URL, "--by", "mei", second)
	d.is.NoErr(err)
	_, err = d.run("apply", "--key-value", d.keyValue.URL, "--base", "1", first)
	d.is.True(err != nil) // another change was accepted first; the error names its operator
	d.is.True(strings.Contains(err.Error(), "version 2 by mei"))
}

func TestApplyRefusesWhatIsNotValid(t *testing.T) {
	d := newDesk(t)
	path := filepath.Join(d.folder, "bad.jsonc")
	d.is.NoErr(os.WriteFile(path, []byte("{\n  // a slip\n  \"teirs\": []\n}"), 0o600))
	_, err := d.run("apply", "--key-value", d.keyValue.URL, path)
	d.is.True(err != nil)
	d.is.True(strings.Contains(err.Error(), ":3: /teirs: unknown field"))
}

func TestWaitEndsOnlyWhenAllLiveHostsHoldTheVersion(t *testing.T) {
	d := newDesk(t)
	asked := 0
	status := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		version := min(asked-1, 1) // the second host has version 1 only from the second request on
		fmt.Fprintf(w, `{"host":"entry-1","hosts":[{"name":"entry-1","version":1,"state":"alive"},
			{"name":"entry-2","version":%d,"state":"alive"},{"name":"entry-3","version":0,"state":"dead"}]}`, version)
	}))
	t.Cleanup(status.Close)
	out, err := d.run("apply", "--key-value", d.keyValue.URL, "--wait", "--host", status.URL, d.file("first.jsonc", small()))
	d.is.NoErr(err)
	d.is.True(asked >= 2)
	d.is.True(strings.Contains(out, "in force on 2 of 2 hosts"))
}

func TestExplainTellsTheStoryOfARequest(t *testing.T) {
	d := newDesk(t)
	var core permit.Core
	core.Step(permit.Configured{At: 1, Tiers: 1, QueueLimit: 1, Endpoints: []permit.EndpointRules{{Name: "engine-1", Limit: 1}}})
	asked := permit.Asked{At: 2, Ask: permit.Ask{ID: "attempt-1", Host: "entry-2", Deadline: 1e12}}
	decision, err := permit.Line{Service: "atelier", Owner: "entry-1", Number: 2}.WithDecision(asked, core.Step(asked))
	d.is.NoErr(err)
	serve := func(line any) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			d.is.NoErr(json.NewEncoder(w).Encode(line))
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	owner := serve(map[string]any{"decision": decision})
	entry := serve(map[string]any{"request": map[string]any{
		"request": "r-1", "host": "entry-2", "customer": "shop", "tier": "bench", "attempts": []string{"attempt-1"},
		"endpoint": "engine-1", "outcome": "answered", "took-ms": 120, "deadline-ms": 2000,
	}})
	out, err := d.run("explain", "--host", owner, "--host", entry, "--host", "http://127.0.0.1:1", "r-1")
	d.is.NoErr(err)
	d.is.True(strings.Contains(out, "owner entry-1, decision 2"))
	d.is.True(strings.Contains(out, "endpoint engine-1 had a free place"))
	d.is.True(strings.Contains(out, "request r-1 of shop (tier bench) at host entry-2: answered"))
	d.is.True(strings.Contains(out, "not reached: http://127.0.0.1:1"))
	_, err = d.run("explain", "--host", entry, "r-2")
	d.is.True(err != nil)
}
