package app_test

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"godwitmoor.example/platform/platformtest"
)

func TestRequestWhoseOnlyEndpointIsSilentAsksItsOwnerOnlyForItsAttempts(t *testing.T) {
	s := newPlatformDeployment(t)
	core, seen := observer.New(zap.InfoLevel)
	s.log = zap.New(core)
	s.writeConfiguration()
	s.registerWorker("pool-1", false)
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	s.injectFaults("pool", platformtest.WorkerFaults{Delay: time.Minute})
	s.send("/long-chat/7", "good-key")
	finished := seen.FilterMessage("request finished").All()
	s.is.Equal(len(finished), 1)
	asks := finished[0].ContextMap()["attempts"].([]any)
	t.Logf("the owner received %d asks of one request", len(asks))
	s.is.True(len(asks) <= 3) // the route's attempts; no other ask can lead to a run
}
