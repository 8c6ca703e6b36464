package app_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
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

// waitTimeout is how long these tests wait for a condition before they fail. No
// check depends on its length.
const waitTimeout = 30 * time.Second

// The ports of hosts lie below those that the kernel gives to other sockets, which
// could take a free one before its host listens there.
const (
	firstHostPort = 12000
	hostPorts     = 18000
)

// givenPorts counts the ports that were given out, from firstGivenPort on.
var (
	firstGivenPort = rand.Int64N(hostPorts)
	givenPorts     atomic.Int64
)

// freeAddress returns an address at which a host can listen. It gives out no address
// twice before all others.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range hostPorts {
		address := fmt.Sprintf("127.0.0.1:%d", firstHostPort+(firstGivenPort+givenPorts.Add(1))%hostPorts)
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// deployment is a small deployment inside the test process: daemons with real
// sockets, and stand-ins for the services they use.
type deployment struct {
	t             *testing.T
	is            *is.I
	keyValue      *httptest.Server
	hostList      *httptest.Server
	desk          *httptest.Server
	engine        *httptest.Server
	runLogPath    string
	runLog        *runlog.Log
	hosts         []*entryHost
	configuration operator.Deployment
}

type entryHost struct {
	name          string
	listenAddress string
	statusAddress string
	daemon        *app.Daemon
}

func deploy(t *testing.T, hosts int) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.engine = d.startEngine(d.runLog)
	d.configuration = d.initialConfiguration(d.engine)
	d.startHosts(hosts)
	return d
}

// newDeployment starts the services that a deployment uses, without an engine.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, is: is.New(t), runLogPath: filepath.Join(t.TempDir(), "runs.jsonl")}
	var err error
	d.runLog, err = runlog.Open(d.runLogPath, "endpoint")
	d.is.NoErr(err)
	d.keyValue = d.serve(keyvaluestandin.New().Handler())
	d.hostList = d.serve(hostlist.New(0).Handler())
	d.desk = d.serve(application.New(time.Millisecond, d.runLog).Handler())
	return d
}

// startHosts applies the first configuration and starts hosts under it.
func (d *deployment) startHosts(hosts int) {
	d.t.Helper()
	d.applyConfiguration()
	for i := range hosts {
		d.startReadyHost(fmt.Sprintf("entry-%d", i+1))
	}
}

func (d *deployment) serve(h http.Handler) *httptest.Server {
	s := httptest.NewServer(h)
	d.t.Cleanup(s.Close)
	return s
}

func (d *deployment) startEngine(log *runlog.Log) *httptest.Server {
	return d.serve(d.newEngine(log))
}

func (d *deployment) newEngine(log *runlog.Log) http.Handler {
	speeds := engine.Config{Prefill: 1e6, Step: 2 * time.Millisecond, CacheTokens: 1000, LoadLag: time.Second}
	model := engine.New(speeds, log)
	model.Start(d.t.Context())
	return model.Handler()
}

// initialConfiguration returns a configuration with these endpoints of the model
// service; the first one is named "engine", the others "engine-2" and so on.
func (d *deployment) initialConfiguration(engines ...*httptest.Server) operator.Deployment {
	endpoint := func(name string, s *httptest.Server) []configuration.Endpoint {
		return []configuration.Endpoint{{
			Name: name, Address: strings.TrimPrefix(s.URL, "http://"), DataCentre: "lorient", InFlightLimit: 4,
		}}
	}
	models := endpoint("engine", engines[0])
	for i, s := range engines[1:] {
		models = append(models, endpoint(fmt.Sprintf("engine-%d", i+2), s)...)
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
			GapTimeout: document.Duration(time.Second), Endpoints: models,
		}, "").
		WithRule(configuration.Rule{Service: "atelier", Idempotent: true, Tier: "review"}, "").
		WithRule(configuration.Rule{Service: "carnet", Path: "/stock/**", Idempotent: true, Tier: "bench"}, "").
		WithRule(configuration.Rule{Service: "carnet", Tier: "bench"}, "")
}

// applyConfiguration stores the configuration as the next version and returns
// that version.
func (d *deployment) applyConfiguration() int64 {
	d.t.Helper()
	var page bytes.Buffer
	d.is.NoErr(d.configuration.Print(&page))
	store := &configuration.Store{KeyValue: &keyvalue.Client{URL: d.keyValue.URL}}
	current, err := store.Current(d.t.Context())
	d.is.NoErr(err)
	result, err := store.Apply(d.t.Context(), configuration.Change{
		ID: uuid.NewString(), By: "test", Text: page.String(), Base: current.Version,
	})
	d.is.NoErr(err)
	applied, ok := result.(configuration.Applied)
	d.is.True(ok)
	return applied.Version
}

// startReadyHost starts a host and waits until it is ready.
func (d *deployment) startReadyHost(name string) *entryHost {
	d.t.Helper()
	h := d.startHost(name)
	d.awaitReady(h)
	return h
}

func (d *deployment) awaitReady(h *entryHost) {
	d.t.Helper()
	d.eventually("the host is ready", func() bool {
		response, err := http.Get("http://" + h.statusAddress + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (d *deployment) startHost(name string) *entryHost {
	d.t.Helper()
	addresses := []string{freeAddress(d.t), freeAddress(d.t), freeAddress(d.t)}
	text := fmt.Sprintf(`{"name": %q, "data-centre": "lorient", "listen": %q, "peer-listen": %q, "status-listen": %q,
		"key-value-url": %q, "host-list-url": %q, "heartbeat": "50ms", "stop-notice": "100ms"}`,
		name, addresses[0], addresses[1], addresses[2], d.keyValue.URL, d.hostList.URL)
	s, err := settings.Parse(name, []byte(text), settings.Overrides{})
	d.is.NoErr(err)
	h := &entryHost{name: name, listenAddress: addresses[0], statusAddress: addresses[2], daemon: app.New(s, zap.NewNop())}
	d.is.NoErr(h.daemon.Start(d.t.Context()))
	d.hosts = append(d.hosts, h)
	d.sendExpectingOK(d.hostList, http.MethodPut, "/hosts/"+name, fmt.Sprintf(`{"address": %q, "role": "entry", "state": "live"}`, addresses[1]))
	return h
}

func (d *deployment) eventually(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("timed out waiting until %s", what)
}

func (d *deployment) sendExpectingOK(s *httptest.Server, method, path, body string) {
	d.t.Helper()
	request, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	d.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	d.is.NoErr(err)
	response.Body.Close()
	d.is.Equal(response.StatusCode, http.StatusOK)
}

func (d *deployment) injectFaults(s *httptest.Server, body string) {
	d.sendExpectingOK(s, http.MethodPost, "/faults", body)
}

// reply is the response that a caller received. outcome and reason are those of
// a problem document.
type reply struct {
	status   int
	outcome  string
	reason   string
	body     string
	err      error
	replayed bool
}

type callerRequest struct {
	method, path, body, key, timeout, tier, parts string
}

func orderRequest(key string) callerRequest {
	return callerRequest{method: "POST", path: "/carnet/releases", body: "one oak pattern", key: key}
}

func (d *deployment) send(h *entryHost, toSend callerRequest) reply {
	request, err := http.NewRequest(toSend.method, "http://"+h.listenAddress+toSend.path, strings.NewReader(toSend.body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer secret")
	for name, value := range map[string]string{"Idempotency-Key": toSend.key, "Request-Timeout": toSend.timeout, "Request-Tier": toSend.tier, "Prompt-Parts": toSend.parts} {
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
	r := reply{status: response.StatusCode, body: string(data), err: err, replayed: response.Header.Get("Idempotent-Replayed") == "true"}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		var p struct{ Outcome, Reason string }
		r.err = json.Unmarshal(data, &p)
		r.outcome, r.reason = p.Outcome, p.Reason
	}
	return r
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// runCount returns how often the endpoints ran a request with the key, by their
// log.
func (d *deployment) runCount(key string) int {
	d.t.Helper()
	data, err := os.ReadFile(d.runLogPath)
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

func completionRequest(prompt string, tokens int) callerRequest {
	body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens})
	if err != nil {
		panic(err)
	}
	return callerRequest{method: "POST", path: "/atelier/v1/completions", body: string(body)}
}

// completionText joins the tokens of a stream and reports whether the stream is
// complete.
func completionText(stream string) (text string, complete bool) {
	for line := range strings.Lines(stream) {
		data, event := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !event {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var c struct{ Text string }
		if json.Unmarshal([]byte(data), &c) == nil {
			text += c.Text
		}
	}
	return text, complete
}

func expectedText(prompt string, tokens int) string { return answer.Text(prompt, tokens) }

// totalRunCount returns the number of all runs in the endpoints' log.
func (d *deployment) totalRunCount() int {
	data, err := os.ReadFile(d.runLogPath)
	if err != nil {
		return 0
	}
	return strings.Count(string(data), `"phase":"started"`)
}

func (d *deployment) statusPage(h *entryHost, path string) string {
	response, err := http.Get("http://" + h.statusAddress + path)
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

// restoreOldConfiguration overwrites the stored configuration with one of
// version 1, as the restore of an old backup would.
func (d *deployment) restoreOldConfiguration() {
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
