package app_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"godwitmoor.example/platform/platformtest"
)

// cutBody is the part of a stream of platformDeployment that its caller has when
// the stream is cut after two events.
const cutBody = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"

// falseContinuations are the answers that do not continue a stream.
var falseContinuations = []platformtest.Continuation{
	platformtest.ContinueWithError, platformtest.ContinueWithText, platformtest.ContinueFromStart, platformtest.ContinueWithoutIDs,
}

func TestCutStreamIsNotEndedByAnAnswerThatDoesNotContinueIt(t *testing.T) {
	for _, continuation := range falseContinuations {
		t.Run(string(continuation), func(t *testing.T) {
			s := startPlatformDeployment(t)
			s.injectFaults("pool", platformtest.WorkerFaults{CutAfter: 2, Continuation: continuation})
			r := s.send("/chat/7", "good-key")
			s.is.True(r.Err != nil) // the caller sees that the stream is incomplete
			s.is.Equal(r.Body, cutBody)
			s.is.Equal(len(s.runs("pool")), 2)
		})
	}
}

func TestStreamGoesOnAfterAnAnswerThatDidNotContinueIt(t *testing.T) {
	for _, continuation := range falseContinuations {
		t.Run(string(continuation), func(t *testing.T) {
			s := startPlatformDeployment(t)
			s.startWorker("pool-3")
			s.registerWorker("pool-3", false)
			uninterrupted := s.send("/chat/7", "good-key")
			s.is.NoErr(uninterrupted.Err)
			s.injectFaults("pool", platformtest.WorkerFaults{CutAfter: 2, Continuation: continuation})
			s.eventually("the third worker has run a request", func() bool {
				r := s.send("/long-chat/7", "good-key")
				s.is.NoErr(r.Err)
				s.is.Equal(r.Body, uninterrupted.Body)
				return len(s.workers["pool-3"].Runs()) > 0
			})
		})
	}
}

func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	s := startPlatformDeployment(t)
	uninterrupted := s.send("/chat/7", "good-key")
	s.is.NoErr(uninterrupted.Err)
	s.workers["pool-1"].SetFaults(platformtest.WorkerFaults{CutAfter: 2, EndInEvent: true})
	for range 4 {
		r := s.send("/chat/7", "good-key")
		s.is.NoErr(r.Err)
		s.is.Equal(r.Body, uninterrupted.Body)
	}
	s.injectFaults("pool", platformtest.WorkerFaults{CutAfter: 2, EndInEvent: true})
	s.is.True(s.send("/plan/7", "good-key").Err != nil)
	s.injectFaults("pool", platformtest.WorkerFaults{CutAfter: 2, Continuation: platformtest.ContinueInEvent})
	r := s.send("/chat/7", "good-key")
	s.is.True(r.Err != nil)
	s.is.Equal(r.Body, cutBody)
}

func TestCallerThatResumesAfterAnUnknownEventDoesNotMakeItsEndpointsRest(t *testing.T) {
	// endpointRest is how long an endpoint that failed rests at least.
	const endpointRest = time.Second
	s := startPlatformDeployment(t)
	s.injectFaults("pool", platformtest.WorkerFaults{Continuation: platformtest.ContinueFromStart})
	for range 5 {
		r := platformtest.CallAfterEvent(s.frontAddress, "shop.example", "/chat/7", "good-key", uuid.NewString(), "7")
		s.is.Equal(r.Status, http.StatusBadGateway)
	}
	start := time.Now()
	r := s.send("/chat/7", "good-key")
	s.is.NoErr(r.Err)
	s.is.Equal(r.Status, http.StatusOK)
	s.is.True(time.Since(start) < endpointRest)
}

func TestCallerThatResumesGetsTheRestOnce(t *testing.T) {
	s := startPlatformDeployment(t)
	uninterrupted := s.send("/chat/7", "good-key")
	s.workers["pool-1"].SetFaults(platformtest.WorkerFaults{CutAfter: 4})
	for range 4 {
		r := platformtest.CallAfterEvent(s.frontAddress, "shop.example", "/chat/7", "good-key", uuid.NewString(), "2")
		s.is.NoErr(r.Err)
		s.is.Equal(cutBody+r.Body, uninterrupted.Body)
	}
}
