package app_test

import (
	"testing"
	"time"

	"godwitmoor.example/platform/platformtest"
)

// awaitAnswerOfLeaving sends requests until an endpoint that says in its answers that it
// leaves has answered one. The other endpoint of the service is slower.
func (s *platformDeployment) awaitAnswerOfLeaving(service, path string, f platformtest.WorkerFaults) {
	start := time.Now()
	f.SaysLeaving = true
	s.workers[service+"-2"].SetFaults(platformtest.WorkerFaults{Delay: slowerDelay})
	s.workers[service+"-1"].SetFaults(f)
	s.eventually("the endpoint has answered", func() bool {
		s.send(path, "good-key")
		return s.workers[service+"-1"].Arrivals(start) > 0
	})
}

// arrivalsAtLeaving returns how many requests reach an endpoint of those that callers
// send later than the bound after this call.
func (s *platformDeployment) arrivalsAtLeaving(service, path string) int {
	time.Sleep(leavingBound)
	start := time.Now()
	sendSteadily(watchedAfterBound, func(int) { s.send(path, "good-key") })
	return s.workers[service+"-1"].Arrivals(start)
}

func TestEndpointThatSaysInItsAnswersThatItLeavesGetsRequests(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		service, path string
		faults        platformtest.WorkerFaults
	}{
		"answer":    {"desk", "/lookup/7", platformtest.WorkerFaults{}},
		"stream":    {"pool", "/chat/7", platformtest.WorkerFaults{}},
		"rejection": {"desk", "/order/7", platformtest.WorkerFaults{Reject: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startPlatformDeployment(t)
			s.awaitAnswerOfLeaving(test.service, test.path, test.faults)
			late := s.arrivalsAtLeaving(test.service, test.path)
			t.Logf("%d requests after the bound", late)
			s.is.Equal(late, 0)
		})
	}
}

func TestEndpointThatStartedAgainIsStillTakenAsLeaving(t *testing.T) {
	t.Parallel()
	s := startPlatformDeployment(t)
	s.awaitAnswerOfLeaving("desk", "/lookup/7", platformtest.WorkerFaults{})
	s.is.Equal(s.arrivalsAtLeaving("desk", "/lookup/7"), 0)
	s.workers["desk-1"].SetFaults(platformtest.WorkerFaults{})
	s.registerWorker("desk-1", false) // the same life of the endpoint
	s.is.Equal(s.arrivalsAtLeaving("desk", "/lookup/7"), 0)
	again := time.Now()
	s.store.SetRestartedWorker("desk-1", "desk", s.workerAddresses["desk-1"], again)
	s.eventually("the endpoint is used again", func() bool {
		s.send("/lookup/7", "good-key")
		return s.workers["desk-1"].Arrivals(again) > 0
	})
}
