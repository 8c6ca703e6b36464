package app_test

import (
	"net/http"
	"testing"
	"time"

	"godwitmoor.example/platform/platformtest"
)

// pollPause keeps the requests of a test that polls within its customer's quota.
const pollPause = 100 * time.Millisecond

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
