package app_test

import (
	"context"
	"fmt"
	"net"
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

// site is a deployment on the platform: one daemon, a stand-in for the store and
// two workers of each service.
type site struct {
	t       *testing.T
	is      *is.I
	store   *platformtest.Store
	workers map[string]*platformtest.Worker
	// addresses are the addresses of the workers, by name.
	addresses map[string]string
	front     string
	ready     string
	version   int
	// key is the customer's key in the configuration.
	key string
}

func openSite(t *testing.T) *site {
	t.Helper()
	s := newSite(t)
	s.declare()
	for _, name := range []string{"desk-1", "desk-2", "pool-1", "pool-2"} {
		s.register(name, false)
	}
	s.launch()
	s.eventually("the host is ready", func() bool { return s.probe() == http.StatusOK })
	return s
}

func newSite(t *testing.T) *site {
	s := &site{
		t: t, is: is.New(t), store: platformtest.NewStore(),
		workers: map[string]*platformtest.Worker{}, addresses: map[string]string{}, key: "good-key",
	}
	for _, name := range []string{"desk-1", "desk-2", "pool-1", "pool-2"} {
		worker := &platformtest.Worker{ID: name}
		if strings.HasPrefix(name, "pool") {
			worker.Events = 6
		}
		server := httptest.NewServer(worker)
		t.Cleanup(server.Close)
		s.workers[name], s.addresses[name] = worker, strings.TrimPrefix(server.URL, "http://")
	}
	return s
}

// declare writes the operators' configuration to the store, as the next version.
func (s *site) declare() {
	s.version++
	s.store.Declare(platformtest.Declared{
		Version: s.version, Host: "shop.example", Services: []string{"pool", "desk"}, Tenant: "tower", Keys: []string{s.key},
		Routes: []platformtest.Route{
			{Name: "order", Kind: "unsafe", Service: "desk", Timeout: 3 * time.Second},
			{Name: "lookup", Kind: "safe", Service: "desk", Timeout: 3 * time.Second},
			{Name: "chat", Kind: "streaming", Service: "pool", Timeout: 9 * time.Second, Resumable: true},
			{Name: "plan", Kind: "streaming", Service: "pool", Timeout: 9 * time.Second},
			{Name: "short", Kind: "unsafe", Service: "desk", Timeout: 200 * time.Millisecond},
		},
	})
}

func (s *site) register(name string, leaving bool) {
	service, _, _ := strings.Cut(name, "-")
	s.store.Announce(name, service, s.addresses[name], leaving)
}

func (s *site) launch() {
	standin := httptest.NewServer(s.store)
	s.t.Cleanup(standin.Close)
	s.front, s.ready = s.freeAddress(), s.freeAddress()
	text := fmt.Sprintf(`{"name": "entry-1", "data-centre": "a", "listen": "%s", "peer-listen": "%s", "status-listen": "%s",
		"heartbeat": "50ms", "dead-after": "400ms", "stop-notice": "10ms",
		"platform": {"store": "%s", "readiness": "%s", "hosts": [], "key-revocation": "3s", "stop-grace": "5s",
			"repeat-ratio": 0.2, "repeat-slack": 50, "repeat-window": "10s", "first-start": true, "quota-window": "8s"}}`,
		s.front, s.freeAddress(), s.freeAddress(), strings.TrimPrefix(standin.URL, "http://"), s.ready)
	parsed, err := settings.Parse("host.jsonc", []byte(text), settings.Overrides{})
	s.is.NoErr(err)
	s.is.Equal(parsed.Platform.KeyRevocation, document.Duration(3*time.Second))
	daemon := app.New(parsed, zap.NewNop())
	s.is.NoErr(daemon.Start(context.Background()))
	s.t.Cleanup(func() { _ = daemon.Stop() })
}

func (s *site) freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	defer listener.Close()
	return listener.Addr().String()
}

func (s *site) probe() int {
	response, err := http.Get("http://" + s.ready + "/readyz")
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func (s *site) eventually(what string, met func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if met() {
			return
		}
	}
	s.t.Fatalf("timed out waiting until %s", what)
}

func (s *site) call(path, key string) platformtest.Answer {
	return platformtest.Call(s.front, "shop.example", path, key, uuid.NewString())
}

// runs returns the requests that the workers of a service ran.
func (s *site) runs(service string) []platformtest.Run {
	return append(s.workers[service+"-1"].Runs(), s.workers[service+"-2"].Runs()...)
}

// fail injects faults into both workers of a service.
func (s *site) fail(service string, f platformtest.WorkerFaults) {
	s.workers[service+"-1"].Fail(f)
	s.workers[service+"-2"].Fail(f)
}

func TestOrderRunsOnceForItsCustomer(t *testing.T) {
	s := openSite(t)
	r := s.call("/order/7%2f8?x=1&y=%20", "good-key")
	s.is.NoErr(r.Err)
	s.is.Equal(r.Status, http.StatusOK)
	s.is.True(r.Stamp != "")
	runs := s.runs("desk")
	s.is.Equal(len(runs), 1)
	s.is.Equal(runs[0].Path, "/order/7%2f8?x=1&y=%20") // unchanged
	s.is.Equal(runs[0].Customer, "tower")
	s.is.Equal(runs[0].Key, "")
	s.is.True(runs[0].Wait != "9000") // the route's timeout is shorter
	s.is.Equal(s.call("/order/7", "bad-key").Status, http.StatusUnauthorized)
	s.is.Equal(s.call("/nothing/7", "good-key").Status, http.StatusNotFound)
	s.is.Equal(len(s.runs("desk")), 1)
}

func TestLostOrderIsToldAsUnknownAndNeverSentAgain(t *testing.T) {
	s := openSite(t)
	s.fail("desk", platformtest.WorkerFaults{Cut: true})
	s.is.Equal(s.call("/order/7", "good-key").Status, http.StatusBadGateway)
	s.is.Equal(len(s.runs("desk")), 1)
	s.fail("desk", platformtest.WorkerFaults{Misleading: true})
	s.is.Equal(s.call("/order/8", "good-key").Status, http.StatusBadGateway) // a 503 would claim that the order did not run
	s.is.Equal(len(s.runs("desk")), 2)
}

func TestOrderTurnedDownByOneWorkerRunsAtAnother(t *testing.T) {
	s := openSite(t)
	s.workers["desk-1"].Fail(platformtest.WorkerFaults{Full: true})
	for range 6 {
		s.is.Equal(s.call("/order/7", "good-key").Status, http.StatusOK)
	}
	s.fail("desk", platformtest.WorkerFaults{Full: true})
	r := s.call("/order/8", "good-key")
	s.is.Equal(r.Status, http.StatusServiceUnavailable)
	s.is.True(r.RetryAfter != "")
	s.is.Equal(len(s.runs("desk")), 6)
}

func TestFailedLookupIsRepeatedAndItsFailureToldOnlyWithoutABetterAnswer(t *testing.T) {
	s := openSite(t)
	s.workers["desk-1"].Fail(platformtest.WorkerFaults{Fail: true})
	for range 4 {
		s.is.Equal(s.call("/lookup/7", "good-key").Status, http.StatusOK)
	}
	s.fail("desk", platformtest.WorkerFaults{Fail: true})
	before := len(s.runs("desk"))
	r := s.call("/lookup/7", "good-key")
	s.is.Equal(r.Status, http.StatusInternalServerError)
	s.is.True(r.Stamp != "")
	s.is.Equal(len(s.runs("desk")), before+2) // two more runs: the attempts that the route allows
}

func TestCutStreamGoesOnAtAnotherWorkerWithoutGapOrRepeat(t *testing.T) {
	s := openSite(t)
	whole := s.call("/chat/7", "good-key")
	s.is.NoErr(whole.Err)
	s.workers["pool-1"].Fail(platformtest.WorkerFaults{CutAfter: 2})
	for range 4 {
		r := s.call("/chat/7", "good-key")
		s.is.NoErr(r.Err)
		s.is.Equal(r.Body, whole.Body)
	}
	// A stream that must not be resumed ends so that the client sees an error, not
	// a complete stream.
	s.fail("pool", platformtest.WorkerFaults{CutAfter: 2})
	before := len(s.runs("pool"))
	s.is.True(s.call("/plan/7", "good-key").Err != nil)
	s.is.Equal(len(s.runs("pool")), before+1)
}

func TestAnswerComesAtTheRoutesTimeout(t *testing.T) {
	s := openSite(t)
	s.fail("desk", platformtest.WorkerFaults{Pause: time.Minute})
	s.is.Equal(s.call("/short/7", "good-key").Status, http.StatusGatewayTimeout)
	s.is.Equal(len(s.runs("desk")), 1)
	s.fail("desk", platformtest.WorkerFaults{})
}

func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	s := openSite(t)
	s.register("desk-1", true)
	s.store.Garble("desk-3")
	s.eventually("only the other worker is used", func() bool {
		before := len(s.workers["desk-1"].Runs())
		for range 6 {
			s.is.Equal(s.call("/lookup/7", "good-key").Status, http.StatusOK)
		}
		return len(s.workers["desk-1"].Runs()) == before
	})
	s.register("desk-1", false)
	s.store.Forget("desk-2")
	s.eventually("the worker that registered again is used", func() bool {
		before := len(s.workers["desk-1"].Runs())
		return s.call("/lookup/7", "good-key").Status == http.StatusOK && len(s.workers["desk-1"].Runs()) > before
	})
}

func TestKeyTakenAwayIsRefusedAlsoWhenTheStoreIsGone(t *testing.T) {
	s := openSite(t)
	s.key = "new-key"
	s.declare()
	s.eventually("the old key is refused", func() bool { return s.call("/lookup/7", "good-key").Status == http.StatusUnauthorized })
	s.is.Equal(s.call("/lookup/7", "new-key").Status, http.StatusOK)
	s.store.Fail(platformtest.StoreFaults{Down: true})
	s.eventually("keys are no longer accepted", func() bool { return s.call("/lookup/7", "new-key").Status == http.StatusServiceUnavailable })
	s.is.Equal(s.probe(), http.StatusServiceUnavailable)
	s.store.Fail(platformtest.StoreFaults{})
	s.eventually("keys are accepted again", func() bool { return s.call("/lookup/7", "new-key").Status == http.StatusOK })
}

func TestHostListsAgainWhenTheStoreForgot(t *testing.T) {
	s := openSite(t)
	s.store.Fail(platformtest.StoreFaults{Down: true})
	s.key = "new-key"
	s.declare()
	s.store.Compact()
	s.store.Fail(platformtest.StoreFaults{})
	s.eventually("the new key is accepted", func() bool { return s.call("/lookup/7", "new-key").Status == http.StatusOK })
}

func TestHostWithoutAConfigurationPromisesNothingButATry(t *testing.T) {
	s := newSite(t)
	s.launch()
	r := s.call("/order/7", "good-key")
	s.is.Equal(r.Status, http.StatusServiceUnavailable) // not 401 or 404
	s.is.True(r.RetryAfter != "")
	s.is.Equal(s.probe(), http.StatusServiceUnavailable)
}
