package app_test

import (
	"testing"
	"time"

	"godwitmoor.example/platform/platformtest"
)

// pauseSlack is how long after an answer that asks for a pause requests may still come.
const pauseSlack = 500 * time.Millisecond

func TestEndpointThatAsksForAPauseGetsNoRequests(t *testing.T) {
	t.Parallel()
	s := startPlatformDeployment(t)
	s.workers["desk-1"].SetFaults(platformtest.WorkerFaults{Reject: true, RetryAfter: "4"})
	s.workers["desk-2"].SetFaults(platformtest.WorkerFaults{Delay: slowerDelay})
	start := time.Now()
	s.eventually("the endpoint has answered", func() bool {
		s.send("/lookup/7", "good-key")
		return s.workers["desk-1"].Arrivals(start) > 0
	})
	time.Sleep(pauseSlack)
	during := time.Now()
	sendSteadily(2*time.Second, func(int) { s.send("/lookup/7", "good-key") })
	s.is.True(s.workers["desk-1"].Arrivals(during) <= 2)
}

func TestRequestIsRefusedSoonWhileAllEndpointsAskForAPause(t *testing.T) {
	t.Parallel()
	s := startPlatformDeployment(t)
	s.injectFaults("desk", platformtest.WorkerFaults{Reject: true, RetryAfter: "60"})
	s.send("/lookup/7", "good-key") // both endpoints answer
	time.Sleep(pauseSlack)
	start := time.Now()
	answer := s.send("/lookup/7", "good-key")
	held := time.Since(start)
	t.Logf("status %d after %v", answer.Status, held)
	s.is.True(held < 2250*time.Millisecond) // three quarters of its route's timeout
}
