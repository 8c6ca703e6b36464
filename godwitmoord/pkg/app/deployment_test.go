package app_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/coordination/pkg/operator"
	"godwitmoor.example/godwitmoord/pkg/app"
	"godwitmoor.example/godwitmoord/pkg/settings"
	"godwitmoor.example/standin/pkg/answer"
	"godwitmoor.example/standin/pkg/application"
	"godwitmoor.example/standin/pkg/engine"
	"godwitmoor.example/standin/pkg/hostlist"
	keyvaluestandin "godwitmoor.example/standin/pkg/keyvalue"
	"godwitmoor.example/standin/pkg/runlog"
)

// patience is how long these tests wait for a condition before they fail. No
// check depends on its length.
const patience = 30 * time.Second

// deployment is a small deployment inside the test process: daemons with real
// sockets, and stand-ins for the services they use.
type deployment struct {
	t        *testing.T
	is       *is.I
	keyValue *httptest.Server
	hostList *httptest.Server
	desk     *httptest.Server
	engine   *httptest.Server
	runs     string
	hosts    []*entryHost
	declared operator.Deployment
}

type entryHost struct {
	name   string
	listen string
	status string
	daemon *app.Daemon
}

func deploy(t *testing.T, hosts int) *deployment {
	t.Helper()
	d := &deployment{t: t, is: is.New(t), runs: filepath.Join(t.TempDir(), "runs.jsonl")}
	log, err := runlog.Open(d.runs, "endpoint")
	d.is.NoErr(err)
	serve := func(h http.Handler) *httptest.Server {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s
	}
	d.keyValue = serve(keyvaluestandin.New().Handler())
	d.hostList = serve(hostlist.New(0).Handler())
	d.desk = serve(application.New(time.Millisecond, log).Handler())
	d.engine = d.newEngine(log)
	d.declared = d.declare()
	d.apply()
	for i := range hosts {
		d.start(fmt.Sprintf("entry-%d", i+1))
	}
	return d
}

func (d *deployment) newEngine(log *runlog.Log) *httptest.Server {
	speeds := engine.Speeds{Prefill: 1e6, Step: 2 * time.Millisecond, CacheTokens: 1000, LoadLag: time.Second}
	model := engine.New(speeds, log)
	model.Start(d.t.Context())
	s := httptest.NewServer(model.Handler())
	d.t.Cleanup(s.Close)
	return s
}

func (d *deployment) declare() operator.Deployment {
	endpoint := func(name string, s *httptest.Server) []configuration.Endpoint {
		return []configuration.Endpoint{{
			Name: name, Address: strings.TrimPrefix(s.URL, "http://"), DataCentre: "lorient", InFlightLimit: 4,
		}}
	}
	return operator.New("test").
		WithTier("bench", 20*time.Second, "").
		WithTier("review", time.Minute, "").
		WithCustomer("shop", "secret", "bench", "review").
		WithService(configuration.Service{
			Name: "carnet", Prefix: "/carnet", Kind: configuration.Application, EchoesAttempt: true,
			BodyLimit: 4096, Endpoints: endpoint("desk", d.desk),
		}, "").
		WithService(configuration.Service{
			Name: "atelier", Prefix: "/atelier", Kind: configuration.Model, EchoesAttempt: true, Resumes: true,
			GapTimeout: document.Duration(time.Second), Endpoints: endpoint("engine", d.engine),
		}, "").
		WithRule(configuration.Rule{Service: "atelier", Idempotent: true, Tier: "review"}, "").
		WithRule(configuration.Rule{Service: "carnet", Path: "/stock/**", Idempotent: true, Tier: "bench"}, "").
		WithRule(configuration.Rule{Service: "carnet", Tier: "bench"}, "")
}

// apply stores the declared configuration as the next version and returns that
// version.
func (d *deployment) apply() int64 {
	d.t.Helper()
	var page bytes.Buffer
	d.is.NoErr(d.declared.Print(&page))
	register := &configuration.Register{Store: &keyvalue.Client{URL: d.keyValue.URL}}
	current, err := register.Current(d.t.Context())
	d.is.NoErr(err)
	result, err := register.Apply(d.t.Context(), configuration.Change{
		ID: uuid.NewString(), By: "test", Text: page.String(), Base: current.Version,
	})
	d.is.NoErr(err)
	applied, ok := result.(configuration.Applied)
	d.is.True(ok)
	return applied.Version
}

// start starts a host and waits until it is ready.
func (d *deployment) start(name string) *entryHost {
	d.t.Helper()
	h := d.launch(name)
	d.awaitReady(h)
	return h
}

func (d *deployment) awaitReady(h *entryHost) {
	d.t.Helper()
	d.eventually("the host is ready", func() bool {
		response, err := http.Get("http://" + h.status + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (d *deployment) launch(name string) *entryHost {
	d.t.Helper()
	listeners := make([]string, 3)
	for i := range listeners {
		s := httptest.NewServer(nil)
		listeners[i] = strings.TrimPrefix(s.URL, "http://")
		s.Close()
	}
	text := fmt.Sprintf(`{"name": %q, "data-centre": "lorient", "listen": %q, "peer-listen": %q, "status-listen": %q,
		"key-value-url": %q, "host-list-url": %q, "heartbeat": "50ms", "stop-notice": "100ms"}`,
		name, listeners[0], listeners[1], listeners[2], d.keyValue.URL, d.hostList.URL)
	s, err := settings.Parse(name, []byte(text), settings.Overrides{})
	d.is.NoErr(err)
	h := &entryHost{name: name, listen: listeners[0], status: listeners[2], daemon: app.New(s, zap.NewNop())}
	d.is.NoErr(h.daemon.Start(d.t.Context()))
	d.hosts = append(d.hosts, h)
	d.set(d.hostList, http.MethodPut, "/hosts/"+name, fmt.Sprintf(`{"address": %q, "role": "entry", "state": "live"}`, listeners[1]))
	return h
}

func (d *deployment) eventually(what string, met func() bool) {
	d.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if met() {
			return
		}
	}
	d.t.Fatalf("timed out waiting until %s", what)
}

func (d *deployment) set(s *httptest.Server, method, path, body string) {
	d.t.Helper()
	request, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	d.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	d.is.NoErr(err)
	response.Body.Close()
	d.is.Equal(response.StatusCode, http.StatusOK)
}

func (d *deployment) fault(s *httptest.Server, body string) {
	d.set(s, http.MethodPost, "/faults", body)
}

// reply is the response that a caller received. outcome and reason are those of
// a problem document.
type reply struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error
	replay  bool
}

type wish struct {
	method, path, body, key, timeout, tier string
}

func order(key string) wish {
	return wish{method: "POST", path: "/carnet/releases", body: "one oak pattern", key: key}
}

func (d *deployment) send(h *entryHost, w wish) reply {
	request, err := http.NewRequest(w.method, "http://"+h.listen+w.path, strings.NewReader(w.body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer secret")
	for name, value := range map[string]string{"Idempotency-Key": w.key, "Request-Timeout": w.timeout, "Request-Tier": w.tier} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, body: string(data), err: err, replay: response.Header.Get("Idempotent-Replayed") == "true"}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		var p struct{ Outcome, Reason string }
		r.err = json.Unmarshal(data, &p)
		r.outcome, r.reason = p.Outcome, p.Reason
	}
	return r
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// ran returns how often the endpoints ran a request with the key, by their log.
func (d *deployment) ran(key string) int {
	d.t.Helper()
	data, err := os.ReadFile(d.runs)
	d.is.NoErr(err)
	n := 0
	for line := range bytes.Lines(data) {
		var run runlog.Line
		d.is.NoErr(json.Unmarshal(line, &run))
		if run.Key == key && run.Phase == runlog.Started {
			n++
		}
	}
	return n
}

func question(prompt string, tokens int) wish {
	body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens})
	if err != nil {
		panic(err)
	}
	return wish{method: "POST", path: "/atelier/v1/completions", body: string(body)}
}

// textOf joins the tokens of a stream and reports whether the stream is complete.
func textOf(stream string) (text string, whole bool) {
	for line := range strings.Lines(stream) {
		data, event := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !event {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var c struct{ Text string }
		if json.Unmarshal([]byte(data), &c) == nil {
			text += c.Text
		}
	}
	return text, whole
}

func expected(prompt string, tokens int) string { return answer.Text(prompt, tokens) }

// started returns the number of all runs in the endpoints' log.
func (d *deployment) started() int {
	data, err := os.ReadFile(d.runs)
	if err != nil {
		return 0
	}
	return strings.Count(string(data), `"phase":"started"`)
}

func (d *deployment) get(h *entryHost, path string) string {
	response, err := http.Get("http://" + h.status + path)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(data)
}

func versionField(version int64) string { return fmt.Sprintf(`"ready":true,"version":%d,`, version) }

// putBackOlder overwrites the stored configuration with one of version 1, as the
// restore of an old backup would.
func (d *deployment) putBackOlder() {
	const key = "godwitmoor/configuration/current"
	store := &keyvalue.Client{URL: d.keyValue.URL}
	entry, err := store.Read(d.t.Context(), key)
	d.is.NoErr(err)
	var release configuration.Release
	d.is.NoErr(json.Unmarshal(entry.Value, &release))
	release.Version = 1
	data, err := json.Marshal(release)
	d.is.NoErr(err)
	outcome, err := store.Swap(d.t.Context(), key, data, entry.Revision, 0)
	d.is.NoErr(err)
	d.is.True(outcome.Applied)
}
