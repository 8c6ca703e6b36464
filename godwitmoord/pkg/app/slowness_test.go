package app_test

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"godwitmoor.example/platform/platformtest"
)

// startLoggedDeployment returns a deployment on the platform, and the log of its host.
func startLoggedDeployment(t *testing.T) (*platformDeployment, *observer.ObservedLogs) {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	s := newPlatformDeployment(t)
	s.log = zap.New(core)
	s.writeConfiguration()
	for _, name := range []string{"desk-1", "desk-2", "pool-1", "pool-2"} {
		s.registerWorker(name, false)
	}
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	return s, lines
}

// Guards against a slowness that is lost between the head of a response and the owner.
func TestOwnerHearsOfASlowEndpoint(t *testing.T) {
	t.Parallel()
	for name, rejects := range map[string]bool{"answers": false, "rejections": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, lines := startLoggedDeployment(t)
			s.injectFaults("desk", platformtest.WorkerFaults{Load: "1,0,6,250", Delay: slowerDelay, Reject: rejects})
			sendSteadily(time.Second, func(int) { s.send("/lookup/7", "good-key") })
			slow := lines.FilterMessage("endpoints work slowly").All()
			s.is.True(len(slow) == 1) // at a limited rate
			s.is.Equal(slow[0].ContextMap()["slowness"], 2.5)
			finished := lines.FilterMessage("request finished").All()
			s.is.True(len(finished) > 0)
			s.is.Equal(finished[len(finished)-1].ContextMap()["slowness"], 2.5)
		})
	}
}
