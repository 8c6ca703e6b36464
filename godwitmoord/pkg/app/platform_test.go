package app_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/godwitmoord/pkg/app"
	"godwitmoor.example/godwitmoord/pkg/settings"
	"godwitmoor.example/platform/platformtest"
)

// platformDeployment is a deployment on the platform: one daemon, a stand-in for
// the store and two workers of each service.
type platformDeployment struct {
	// stopNotice is how long a host that stops still accepts requests; default 10 ms.
	stopNotice time.Duration
	// keyRevocation is how long a removed key may be accepted; default 3 s.
	keyRevocation time.Duration
	t             *testing.T
	is            *is.I
	store         *platformtest.Store
	workers       map[string]*platformtest.Worker
	// workerAddresses holds the address of each worker by its name.
	workerAddresses  map[string]string
	daemon           *app.Daemon
	frontAddress     string
	readinessAddress string
	version          int
	// customerKey is the customer's key in the next configuration that is written.
	customerKey string
	// extraRoutes are routes of the next configuration beside the usual ones.
	extraRoutes []platformtest.Route
	// engines are the services whose endpoints are model engines.
	engines []string
	// quota is the customer's quota in tokens per second; zero means that of the stand-in.
	quota int
	// maxBody is the largest body of a request; zero means that of the stand-in.
	maxBody int
	// terms are the platform's terms for the hosts that start next.
	terms []string
	// platformSettings are further settings of the hosts that start next.
	platformSettings string
	// log is the log of the hosts that start next; nil for none.
	log *zap.Logger
}

func startPlatformDeployment(t *testing.T) *platformDeployment {
	t.Helper()
	s := newPlatformDeployment(t)
	s.writeConfiguration()
	for _, name := range []string{"desk-1", "desk-2", "pool-1", "pool-2"} {
		s.registerWorker(name, false)
	}
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	return s
}

func newPlatformDeployment(t *testing.T) *platformDeployment {
	s := &platformDeployment{
		t: t, is: is.New(t), store: platformtest.NewStore(),
		workers: map[string]*platformtest.Worker{}, workerAddresses: map[string]string{}, customerKey: "good-key",
	}
	for _, name := range []string{"desk-1", "desk-2", "pool-1", "pool-2"} {
		s.startWorker(name)
	}
	return s
}

// startWorker starts a worker of the service that begins its name.
func (s *platformDeployment) startWorker(name string) {
	worker := &platformtest.Worker{ID: name}
	if strings.HasPrefix(name, "pool") {
		worker.EventCount = 6
	}
	server := httptest.NewServer(worker)
	worker.Disconnect = server.CloseClientConnections
	s.t.Cleanup(server.Close)
	s.workers[name], s.workerAddresses[name] = worker, strings.TrimPrefix(server.URL, "http://")
}

// writeConfiguration writes the operators' configuration to the store, as the
// next version.
func (s *platformDeployment) writeConfiguration() {
	s.version++
	s.store.SetConfiguration(platformtest.Configuration{
		Version: s.version, Host: "shop.example", Services: []string{"pool", "desk"}, Tenant: "tower", Keys: []string{s.customerKey}, Quota: s.quota, MaxBodyBytes: s.maxBody, Engines: s.engines,
		Routes: append([]platformtest.Route{
			{Name: "order", Kind: "unsafe", Service: "desk", Timeout: 3 * time.Second},
			{Name: "patient-order", Kind: "unsafe", Service: "desk", Timeout: 9 * time.Second},
			{Name: "lookup", Kind: "safe", Service: "desk", Timeout: 3 * time.Second},
			{Name: "chat", Kind: "streaming", Service: "pool", Timeout: 9 * time.Second, Resumable: true},
			{Name: "long-chat", Kind: "streaming", Service: "pool", Timeout: 9 * time.Second, Resumable: true, MaxAttempts: 3},
			{Name: "plan", Kind: "streaming", Service: "pool", Timeout: 9 * time.Second},
			{Name: "short", Kind: "unsafe", Service: "desk", Timeout: 200 * time.Millisecond},
		}, s.extraRoutes...),
	})
}

func (s *platformDeployment) registerWorker(name string, leaving bool) {
	service, _, _ := strings.Cut(name, "-")
	s.store.SetWorker(name, service, s.workerAddresses[name], leaving)
}

func (s *platformDeployment) startHost() {
	standin := httptest.NewServer(s.store)
	s.t.Cleanup(standin.Close)
	h := s.startHostAt(platformHost{name: "entry-1", store: standin.URL, peerAddress: freeAddress(s.t)}, []string{})
	s.daemon, s.frontAddress, s.readinessAddress = h.daemon, h.frontAddress, h.readinessAddress
}

// platformHost is one host of a deployment on the platform.
type platformHost struct {
	name string
	// store is the URL at which this host reaches the store.
	store            string
	peerAddress      string
	frontAddress     string
	readinessAddress string
	daemon           *app.Daemon
}

// startHostAt starts a host that knows the peer addresses of others.
func (s *platformDeployment) startHostAt(h platformHost, peers []string) platformHost {
	h.frontAddress, h.readinessAddress = freeAddress(s.t), freeAddress(s.t)
	hosts, err := json.Marshal(peers)
	s.is.NoErr(err)
	terms, err := json.Marshal(s.terms)
	s.is.NoErr(err)
	keyRevocation := cmp.Or(s.keyRevocation, 3*time.Second)
	text := fmt.Sprintf(`{"name": %q, "data-centre": "a", "listen": "%s", "peer-listen": "%s", "status-listen": "%s",
		"heartbeat": "50ms", "dead-after": "400ms", "stop-notice": %q,
		"platform": {%s"store": "%s", "readiness": "%s", "hosts": %s, "key-revocation": %q, "stop-grace": "5s",
			"repeat-ratio": 0.2, "repeat-slack": 50, "repeat-window": "10s", "first-start": true, "quota-window": "8s", "terms": %s}}`,
		h.name, h.frontAddress, h.peerAddress, freeAddress(s.t), cmp.Or(s.stopNotice, 10*time.Millisecond).String(), s.platformSettings, strings.TrimPrefix(h.store, "http://"), h.readinessAddress, hosts, keyRevocation.String(), terms)
	parsed, err := settings.Parse("host.jsonc", []byte(text), settings.Overrides{})
	s.is.NoErr(err)
	s.is.Equal(parsed.Platform.KeyRevocation, document.Duration(keyRevocation))
	if s.log == nil {
		s.log = zap.NewNop()
	}
	h.daemon = app.New(parsed, s.log)
	s.is.NoErr(h.daemon.Start(context.Background()))
	s.t.Cleanup(func() { _ = h.daemon.Stop() })
	return h
}

func (s *platformDeployment) readinessStatus() int { return readinessStatusAt(s.readinessAddress) }

func readinessStatusAt(address string) int {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (s *platformDeployment) eventually(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("timed out waiting until %s", what)
}

func (s *platformDeployment) send(path, key string) platformtest.Answer {
	return platformtest.Call(s.frontAddress, "shop.example", path, key, uuid.NewString())
}

// runs returns the requests that the workers of a service ran.
func (s *platformDeployment) runs(service string) []platformtest.Run {
	return append(s.workers[service+"-1"].Runs(), s.workers[service+"-2"].Runs()...)
}

// injectFaults injects faults into both workers of a service.
func (s *platformDeployment) injectFaults(service string, f platformtest.WorkerFaults) {
	s.workers[service+"-1"].SetFaults(f)
	s.workers[service+"-2"].SetFaults(f)
}

func TestOrderRunsOnceForItsCustomer(t *testing.T) {
	s := startPlatformDeployment(t)
	r := s.send("/order/7%2f8?x=1&y=%20", "good-key")
	s.is.NoErr(r.Err)
	s.is.Equal(r.Status, http.StatusOK)
	s.is.True(r.Stamp != "")
	runs := s.runs("desk")
	s.is.Equal(len(runs), 1)
	s.is.Equal(runs[0].Path, "/order/7%2f8?x=1&y=%20") // unchanged
	s.is.Equal(runs[0].Customer, "tower")
	s.is.Equal(runs[0].Key, "")
	s.is.True(runs[0].Wait != "9000") // the route's timeout is shorter
	s.is.Equal(s.send("/order/7", "bad-key").Status, http.StatusUnauthorized)
	s.is.Equal(s.send("/nothing/7", "good-key").Status, http.StatusNotFound)
	s.is.Equal(len(s.runs("desk")), 1)
}

func TestOrderWithoutAnswerIsReportedAsUnknownAndNotSentAgain(t *testing.T) {
	s := startPlatformDeployment(t)
	s.injectFaults("desk", platformtest.WorkerFaults{Cut: true})
	s.is.Equal(s.send("/order/7", "good-key").Status, http.StatusBadGateway)
	s.is.Equal(len(s.runs("desk")), 1)
	s.injectFaults("desk", platformtest.WorkerFaults{UnavailableAfterRun: true})
	s.is.Equal(s.send("/order/8", "good-key").Status, http.StatusBadGateway) // a 503 would claim that the order did not run
	s.is.Equal(len(s.runs("desk")), 2)
}

func TestOrderRejectedByOneWorkerRunsAtAnother(t *testing.T) {
	s := startPlatformDeployment(t)
	s.workers["desk-1"].SetFaults(platformtest.WorkerFaults{Reject: true})
	for range 6 {
		s.is.Equal(s.send("/order/7", "good-key").Status, http.StatusOK)
	}
	s.injectFaults("desk", platformtest.WorkerFaults{Reject: true})
	r := s.send("/order/8", "good-key")
	s.is.Equal(r.Status, http.StatusServiceUnavailable)
	s.is.True(r.RetryAfter != "")
	s.is.Equal(len(s.runs("desk")), 6)
}

func TestFailedLookupIsSentAgainAndItsFailureReturnedOnlyWithoutABetterAnswer(t *testing.T) {
	s := startPlatformDeployment(t)
	s.workers["desk-1"].SetFaults(platformtest.WorkerFaults{ErrorAfterRun: true})
	for range 4 {
		s.is.Equal(s.send("/lookup/7", "good-key").Status, http.StatusOK)
	}
	s.injectFaults("desk", platformtest.WorkerFaults{ErrorAfterRun: true})
	before := len(s.runs("desk"))
	r := s.send("/lookup/7", "good-key")
	s.is.Equal(r.Status, http.StatusInternalServerError)
	s.is.True(r.Stamp != "")
	s.is.Equal(len(s.runs("desk")), before+2) // two more runs: the attempts that the route allows
}

func TestErrorBodyWithoutEndHoldsALookupThatAnotherWorkerCouldServe(t *testing.T) {
	s := startPlatformDeployment(t)
	s.workers["desk-1"].SetFaults(platformtest.WorkerFaults{ErrorBodyDrips: true})
	for range 4 {
		start := time.Now()
		s.is.Equal(s.send("/lookup/7", "good-key").Status, http.StatusOK)
		s.is.True(time.Since(start) < time.Second)
	}
	s.is.True(len(s.workers["desk-1"].Runs()) > 0)
}

func TestCutStreamResumesAtAnotherWorkerWithoutGapOrRepeat(t *testing.T) {
	s := startPlatformDeployment(t)
	uninterrupted := s.send("/chat/7", "good-key")
	s.is.NoErr(uninterrupted.Err)
	s.workers["pool-1"].SetFaults(platformtest.WorkerFaults{CutAfter: 2})
	for range 4 {
		r := s.send("/chat/7", "good-key")
		s.is.NoErr(r.Err)
		s.is.Equal(r.Body, uninterrupted.Body)
	}
	// A stream that must not be resumed ends so that the client sees an error, not
	// a complete stream.
	s.injectFaults("pool", platformtest.WorkerFaults{CutAfter: 2})
	before := len(s.runs("pool"))
	s.is.True(s.send("/plan/7", "good-key").Err != nil)
	s.is.Equal(len(s.runs("pool")), before+1)
}

func TestRouteTimeoutReturnsGatewayTimeout(t *testing.T) {
	s := startPlatformDeployment(t)
	s.injectFaults("desk", platformtest.WorkerFaults{Delay: time.Minute})
	s.is.Equal(s.send("/short/7", "good-key").Status, http.StatusGatewayTimeout)
	s.is.Equal(len(s.runs("desk")), 1)
	s.injectFaults("desk", platformtest.WorkerFaults{})
}

func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	s := startPlatformDeployment(t)
	s.registerWorker("desk-1", true)
	s.store.SetInvalidWorker("desk-3")
	s.eventually("only the other worker is used", func() bool {
		before := len(s.workers["desk-1"].Runs())
		for range 6 {
			s.is.Equal(s.send("/lookup/7", "good-key").Status, http.StatusOK)
		}
		return len(s.workers["desk-1"].Runs()) == before
	})
	s.registerWorker("desk-1", false)
	s.store.RemoveWorker("desk-2")
	s.eventually("the worker that registered again is used", func() bool {
		before := len(s.workers["desk-1"].Runs())
		return s.send("/lookup/7", "good-key").Status == http.StatusOK && len(s.workers["desk-1"].Runs()) > before
	})
}

func TestRemovedKeyIsRefusedAndKeysExpireWhileTheStoreIsDown(t *testing.T) {
	s := startPlatformDeployment(t)
	s.customerKey = "new-key"
	s.writeConfiguration()
	s.eventually("the old key is refused", func() bool { return s.send("/lookup/7", "good-key").Status == http.StatusUnauthorized })
	s.is.Equal(s.send("/lookup/7", "new-key").Status, http.StatusOK)
	s.store.SetFaults(platformtest.StoreFaults{Down: true})
	s.eventually("keys are no longer accepted", func() bool { return s.send("/lookup/7", "new-key").Status == http.StatusServiceUnavailable })
	s.is.Equal(s.readinessStatus(), http.StatusServiceUnavailable)
	s.store.SetFaults(platformtest.StoreFaults{})
	s.eventually("keys are accepted again", func() bool { return s.send("/lookup/7", "new-key").Status == http.StatusOK })
}

func TestHostReadsTheStoreAgainAfterACompaction(t *testing.T) {
	s := startPlatformDeployment(t)
	s.store.SetFaults(platformtest.StoreFaults{Down: true})
	s.customerKey = "new-key"
	s.writeConfiguration()
	s.store.Compact()
	s.store.SetFaults(platformtest.StoreFaults{})
	s.eventually("the new key is accepted", func() bool { return s.send("/lookup/7", "new-key").Status == http.StatusOK })
}

func TestHostWithoutAConfigurationAsksCallersToRetry(t *testing.T) {
	s := newPlatformDeployment(t)
	s.startHost()
	r := s.send("/order/7", "good-key")
	s.is.Equal(r.Status, http.StatusServiceUnavailable) // not 401 or 404
	s.is.True(r.RetryAfter != "")
	s.is.Equal(s.readinessStatus(), http.StatusServiceUnavailable)
}
