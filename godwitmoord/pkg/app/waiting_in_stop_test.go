package app_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"godwitmoor.example/platform/platformtest"
)

// Guards against requests that a host has read and that wait for a slot there, or run, when
// it stops: they were cut off without an answer at the end of the stop.
func TestRequestsInProgressWhenTheirHostStopsAreAnsweredBeforeItsEnd(t *testing.T) {
	t.Parallel()
	const slots, waiting = 6, 4
	s := newPlatformDeployment(t)
	s.writeConfiguration()
	s.registerWorker("desk-1", false)
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	for range 2 * slots { // so that the owner knows the endpoint and uses all its slots
		s.is.Equal(s.send("/patient-order/7", "good-key").Status, http.StatusOK)
	}
	time.Sleep(1100 * time.Millisecond) // in its first second a new owner uses half of them
	before := len(s.runs("desk"))
	s.injectFaults("desk", platformtest.WorkerFaults{Delay: time.Minute})
	var requests sync.WaitGroup
	answers := make([]platformtest.Answer, slots+waiting)
	send := func(n int) { answers[n] = s.send("/patient-order/7", "good-key") }
	for n := range slots {
		requests.Go(func() { send(n) })
	}
	s.eventually("all slots are taken", func() bool { return len(s.runs("desk")) == before+slots })
	for n := range waiting {
		requests.Go(func() { send(slots + n) })
	}
	time.Sleep(500 * time.Millisecond) // until they wait; the orders may take nine seconds, the stop five
	s.is.NoErr(s.daemon.Stop())
	requests.Wait()
	for n, answer := range answers {
		t.Logf("order %d: status %d, Retry-After %q, %v", n, answer.Status, answer.RetryAfter, answer.Err)
		s.is.NoErr(answer.Err) // not cut off without an answer
		if n < slots {
			s.is.Equal(answer.Status, http.StatusBadGateway) // it may have run
			continue
		}
		s.is.Equal(answer.Status, http.StatusServiceUnavailable)
		s.is.True(answer.RetryAfter != "")
	}
	s.is.Equal(len(s.runs("desk")), before+slots)
}

// Guards against an order that is refused too early in a stop: one that gets its slot
// before the end is served.
func TestRequestThatGetsASlotDuringAStopIsServed(t *testing.T) {
	t.Parallel()
	const slots = 6
	s := newPlatformDeployment(t)
	s.writeConfiguration()
	s.registerWorker("desk-1", false)
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	s.injectFaults("desk", platformtest.WorkerFaults{Delay: 2 * time.Second})
	answers := make([]platformtest.Answer, slots+1)
	var requests sync.WaitGroup
	for n := range slots {
		requests.Go(func() { answers[n] = s.send("/patient-order/7", "good-key") })
	}
	s.eventually("all slots are taken", func() bool { return len(s.runs("desk")) == slots })
	s.injectFaults("desk", platformtest.WorkerFaults{})
	requests.Go(func() { answers[slots] = s.send("/patient-order/8", "good-key") })
	time.Sleep(500 * time.Millisecond)
	s.is.NoErr(s.daemon.Stop())
	requests.Wait()
	for _, answer := range answers {
		s.is.NoErr(answer.Err)
		s.is.Equal(answer.Status, http.StatusOK)
	}
}
