package app_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"godwitmoor.example/platform/platformtest"
)

func TestRequestThatComesLateInAStopIsAnsweredBeforeItsEnd(t *testing.T) {
	t.Parallel()
	s := newPlatformDeployment(t)
	s.stopNotice = 2500 * time.Millisecond
	s.writeConfiguration()
	s.registerWorker("desk-1", false)
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	s.injectFaults("desk", platformtest.WorkerFaults{Delay: time.Minute})
	var stop sync.WaitGroup
	stop.Go(func() { _ = s.daemon.Stop() })
	time.Sleep(2400 * time.Millisecond) // of a grace of five seconds; the order may take three
	answer := s.send("/order/7", "good-key")
	t.Logf("status %d, %v", answer.Status, answer.Err)
	s.is.NoErr(answer.Err) // not cut off without an answer
	s.is.True(answer.Status >= http.StatusBadRequest)
	s.is.True(answer.Status != http.StatusServiceUnavailable || len(s.runs("desk")) == 0)
	stop.Wait()
}
