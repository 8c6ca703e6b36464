package app_test

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"godwitmoor.example/platform/platformtest"
)

const (
	// maxLogLines is how many lines a host may log beside those of its requests.
	maxLogLines = 100
	// pollPause keeps the requests of a test that polls within its customer's quota.
	pollPause = 100 * time.Millisecond
)

// checkFollows checks that the host takes a worker out of use that leaves, and takes one
// that starts into use.
func (s *platformDeployment) checkFollows(leaving, starting string) {
	s.t.Helper()
	s.registerWorker(leaving, true)
	s.registerWorker(starting, false)
	s.eventually("the worker that started is used and the leaving one is not", func() bool {
		time.Sleep(pollPause)
		left, started := len(s.workers[leaving].Runs()), len(s.workers[starting].Runs())
		for range 2 {
			s.is.Equal(s.send("/lookup/7", "good-key").Status, http.StatusOK)
		}
		return len(s.workers[leaving].Runs()) == left && len(s.workers[starting].Runs()) > started
	})
}

func TestOddEntriesMakeAHostRefuseRequestsOrStopFollowingItsEndpoints(t *testing.T) {
	s := startPlatformDeployment(t)
	for _, odd := range platformtest.OddEntries("desk", s.workerAddresses["desk-1"]) {
		s.store.Set("servers/"+odd.ID, odd.Value)
	}
	s.registerWorker("desk-2", true)
	s.checkFollows("desk-2", "desk-1")
	s.checkFollows("desk-1", "desk-2")
}

func TestManyOddEntriesStopAHostFromFollowingItsEndpointsOrFillItsLog(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	s := newPlatformDeployment(t)
	s.log = zap.New(core)
	s.writeConfiguration()
	s.registerWorker("desk-1", false)
	s.store.SetOddEntries(5_000)
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	s.eventually("the worker is used", func() bool { return s.send("/lookup/7", "good-key").Status == http.StatusOK })
	s.store.SetOddEntries(10_000)
	s.store.SetLongEntries(18)
	s.checkFollows("desk-1", "desk-2")
	s.store.SetOddEntries(1000)
	s.checkFollows("desk-2", "desk-1")
	finished := lines.FilterMessage("request finished").Len()
	s.is.True(lines.Len()-finished < maxLogLines)
}
