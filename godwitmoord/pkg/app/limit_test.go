package app_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"godwitmoor.example/platform/platformtest"
)

const (
	// limitBasis is the span over which requests to an endpoint with a limit are counted.
	limitBasis = 4 * time.Second
	// namedLimit is the limit that endpoints name, in requests per second.
	namedLimit = 5
	// allowedInBasis is what the limit allows in limitBasis, with the tolerance for what
	// was under way.
	allowedInBasis = 1.5*namedLimit*4 + 5
	sendInterval   = 20 * time.Millisecond
)

// sendSteadily sends requests for a time, and waits for their ends.
func sendSteadily(d time.Duration, send func(i int)) {
	var sent sync.WaitGroup
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		sent.Go(func() { send(i) })
		time.Sleep(sendInterval)
	}
	sent.Wait()
}

func TestEndpointThatNamesALimitGetsNoMoreFromAllHostsTogether(t *testing.T) {
	d := newDeployment(t)
	d.engine = d.startEngine(d.runLog)
	d.configuration = d.initialConfiguration(d.engine)
	d.startHosts(3)
	d.injectFaults(d.engine, fmt.Sprintf(`{"rate-limit": "%d"}`, namedLimit))
	send := func(i int) {
		request := completionRequest(fmt.Sprint("question ", i), 2)
		request.timeout = "500ms"
		d.send(d.hosts[i%3], request)
	}
	sendSteadily(500*time.Millisecond, send)
	before := d.totalRunCount()
	sendSteadily(limitBasis, send)
	d.is.True(d.totalRunCount()-before <= allowedInBasis)
	d.is.True(d.totalRunCount()-before >= namedLimit*3) // the limit is used
	d.injectFaults(d.engine, `{}`)
	sendSteadily(time.Second, send)
	before = d.totalRunCount()
	sendSteadily(time.Second, send)
	d.is.True(d.totalRunCount()-before > 3*namedLimit) // the limit is over
}

func TestRejectionsOfALimitedEndpointCount(t *testing.T) {
	s := startPlatformDeployment(t)
	s.injectFaults("desk", platformtest.WorkerFaults{Limit: fmt.Sprint(namedLimit), Reject: true})
	send := func(int) { s.send("/order/7", "good-key") }
	sendSteadily(500*time.Millisecond, send)
	start := time.Now()
	sendSteadily(limitBasis, send)
	for _, name := range []string{"desk-1", "desk-2"} {
		s.is.True(s.workers[name].Arrivals(start) <= allowedInBasis)
		s.is.True(s.workers[name].Arrivals(start) > 0)
	}
}
