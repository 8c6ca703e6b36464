package commands_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/operator"
	"godwitmoor.example/godwitmoor/pkg/commands"
)

const settingsText = `{
  "name": "entry-1", "data-centre": "lorient",
  "listen": "127.0.0.1:1", "peer-listen": "127.0.0.1:2", "status-listen": "127.0.0.1:3",
  "memory": 2,
  "platform": {"store": "127.0.0.1:4", "readiness": "127.0.0.1:5", "hosts": [], "key-revocation": "5s", "stop-grace": "8s",
    "repeat-ratio": 0.1, "repeat-slack": 5, "repeat-window": "10s", "quota-window": "8s"},
}`

func (w *workspace) writeFile(name, text string) string {
	path := filepath.Join(w.folder, name)
	w.is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// lines decodes JSON lines.
func (w *workspace) lines(out string) []map[string]any {
	var lines []map[string]any
	for line := range strings.Lines(out) {
		var decoded map[string]any
		w.is.NoErr(json.Unmarshal([]byte(line), &decoded))
		lines = append(lines, decoded)
	}
	return lines
}

func deploymentWithServices(rules ...configuration.Rule) operator.Deployment {
	d := smallDeployment().WithService(configuration.Service{Name: "atelier", Prefix: "/atelier", Kind: configuration.Model}, "")
	for _, r := range rules {
		d = d.WithRule(r, "")
	}
	return d
}

func allRequests() configuration.Rule { return configuration.Rule{Service: "atelier", Tier: "bench"} }

// Guards against scripts that take a warning for an error, or miss it.
func TestExitStatusTellsErrorsFromWarnings(t *testing.T) {
	w := newWorkspace(t)
	sound := w.writeConfiguration("sound.jsonc", deploymentWithServices(allRequests()))
	doubtful := w.writeConfiguration("doubtful.jsonc", deploymentWithServices(allRequests(), allRequests()))
	broken := w.writeFile("broken.jsonc", `{"tiers": []}`)
	for _, flags := range [][]string{{"validate"}, {"validate", "--json"}, {"diff", "--key-value", w.keyValue.URL}, {"diff", "--json", "--key-value", w.keyValue.URL}} {
		for file, status := range map[string]int{sound: 0, broken: 1, doubtful: 2, "missing.jsonc": 1} {
			_, err := w.run(append(flags, file)...)
			w.is.Equal(commands.ExitStatus(err), status)
		}
	}
	_, err := w.run("apply", "--key-value", w.keyValue.URL, doubtful)
	w.is.NoErr(err) // a warning does not keep a configuration from being applied
}

// Guards against a route that is sent although all its requests fail, and warnings that
// are lost beside an error.
func TestRouteToAnUnknownServiceIsNotApplied(t *testing.T) {
	w := newWorkspace(t)
	c := deploymentWithServices(allRequests(), allRequests()).Configuration()
	c.Routes = []configuration.Route{{
		Name: "chat", Host: "a.example", Prefix: "/", Targets: []configuration.Target{{Service: "attic", Weight: 1}},
		Repeat: configuration.Never, Timeout: document.Duration(time.Minute), MaxAttempts: 1,
	}}
	data, err := json.Marshal(c)
	w.is.NoErr(err)
	file := w.writeFile("astray.jsonc", string(data))
	_, err = w.run("apply", "--key-value", w.keyValue.URL, file)
	w.is.Equal(commands.ExitStatus(err), 1)
	w.is.True(strings.Contains(err.Error(), `/routes/0/targets/0/service: there is no service "attic"`))
	out, err := w.run("validate", file)
	w.is.Equal(commands.ExitStatus(err), 1)
	w.is.True(strings.Contains(out, "/rules/1: never matches"))
}

// Guards against warnings that are not told from errors in the text.
func TestValidatePrintsWarningsAsText(t *testing.T) {
	w := newWorkspace(t)
	out, err := w.run("validate", w.writeConfiguration("doubtful.jsonc", deploymentWithServices(allRequests(), allRequests())))
	w.is.True(errors.HasType(err, (*commands.WarningsError)(nil)))
	w.is.True(strings.HasPrefix(out, "warning: "))
	w.is.True(strings.Contains(out, "doubtful.jsonc:"))
	w.is.True(strings.Contains(out, "/rules/1: never matches"))
	w.is.True(strings.HasSuffix(out, "valid: 1 tiers, 1 customers, 1 services, 2 rules\n"))
}

// Guards against a check that ignores the limits of hosts, or their errors.
func TestSettingsOfHostsAreCompared(t *testing.T) {
	w := newWorkspace(t)
	file := w.writeConfiguration("first.jsonc", deploymentWithServices(allRequests()))
	out, err := w.run("validate", "--json", "--settings", w.writeFile("host.jsonc", settingsText), file)
	w.is.Equal(commands.ExitStatus(err), 2)
	lines := w.lines(out)
	w.is.Equal(len(lines), 2)
	w.is.Equal(lines[0]["kind"], "warning")
	w.is.Equal(lines[0]["field"], "/services/0/body-limit")
	w.is.Equal(lines[0]["value"], "4194304")
	w.is.Equal(lines[0]["file"], file)
	w.is.True(lines[0]["line"].(float64) > 1)
	w.is.True(lines[0]["remedy"] != "")
	w.is.Equal(lines[1]["kind"], "valid")
	wrong := w.writeFile("wrong.jsonc", strings.Replace(settingsText, `"memory": 2`, `"memory": -2`, 1))
	_, err = w.run("validate", "--settings", wrong, file)
	w.is.Equal(commands.ExitStatus(err), 1)
	w.is.True(strings.Contains(err.Error(), "wrong.jsonc:4: /memory"))
	_, err = w.run("validate", "--settings", wrong, w.writeFile("broken.jsonc", `{"goodput-weight": 3}`))
	w.is.True(strings.Contains(err.Error(), "wrong.jsonc:4: /memory"))                 // errors of both files are reported
	w.is.True(strings.Contains(err.Error(), "broken.jsonc:1: /goodput-weight: is ou")) // errors of both files are reported
}

// Guards against a retry ratio that bounds nothing and is not reported at its place.
func TestRatioOfRepeatsAboveTheRoutesIsReportedInTheSettings(t *testing.T) {
	w := newWorkspace(t)
	c := deploymentWithServices(allRequests()).Configuration()
	c.Routes = []configuration.Route{{
		Name: "chat", Host: "a.example", Prefix: "/", Targets: []configuration.Target{{Service: "atelier", Weight: 1}},
		Repeat: configuration.Freely, Timeout: document.Duration(time.Minute), MaxAttempts: 3,
	}}
	c.Customers[0].Keys = []string{"key"}
	data, err := json.Marshal(c)
	w.is.NoErr(err)
	wide := strings.Replace(strings.Replace(settingsText, `"memory": 2`, `"memory": 200`, 1), `"repeat-ratio": 0.1`, `"repeat-ratio": 2.5`, 1)
	out, err := w.run("validate", "--settings", w.writeFile("host.jsonc", wide), w.writeFile("routed.jsonc", string(data)))
	w.is.Equal(commands.ExitStatus(err), 2)
	w.is.Equal(strings.Count(out, "warning: "), 1)
	w.is.True(strings.Contains(out, "host.jsonc:6: /platform/repeat-ratio: 2.5 repeats for each request"))
}

// Guards against an error that hides those after it, in the command's output.
func TestTenErrorsAreTenJSONLines(t *testing.T) {
	w := newWorkspace(t)
	file := w.writeFile("ten.jsonc", `{
  "goodput-weight": 2,
  "tiers": [{"name": "bench", "deadline": "fast"}, {"name": "bench", "deadline": "2s"}],
  "customers": [{"name": "", "token-sha256": "x", "tiers": []}],
  "services": 7,
  "rules": [{"service": "atelier", "methods": ["get"], "tier": "bench"}],
  "rulez": [],
  "claims": {"retention": "1s", "stored-answer-limit": 100}
}`)
	out, err := w.run("validate", "--json", file)
	w.is.Equal(commands.ExitStatus(err), 1)
	w.is.Equal(err.Error(), "errors: 10")
	var fields []string
	for _, line := range w.lines(out) {
		w.is.Equal(line["kind"], "error")
		fields = append(fields, fmt.Sprintf("%v %v", line["line"], line["field"]))
	}
	w.is.Equal(fields, []string{
		"2 /goodput-weight", "3 /tiers/0/deadline", "3 /tiers/1/name", "4 /customers/0/name", "4 /customers/0/token-sha256",
		"4 /customers/0/tiers", "5 /services", "6 /rules/0/methods/0", "7 /rulez", "8 /claims/retention",
	})
	out, err = w.run("validate", file)
	w.is.Equal(out, "")
	w.is.Equal(strings.Count(err.Error(), "ten.jsonc:"), 10)
}

// Guards against differences that scripts cannot read.
func TestDiffPrintsJSONLines(t *testing.T) {
	w := newWorkspace(t)
	_, err := w.run("apply", "--key-value", w.keyValue.URL, w.writeConfiguration("first.jsonc", smallDeployment()))
	w.is.NoErr(err)
	second := w.writeConfiguration("second.jsonc", smallDeployment().WithGoodputWeight(0.75))
	out, err := w.run("diff", "--json", "--key-value", w.keyValue.URL, second)
	w.is.NoErr(err)
	w.is.Equal(out, `{"kind":"in-force","version":1}
{"kind":"difference","field":"/goodput-weight","before":"0.5","after":"0.75"}
`)
}
