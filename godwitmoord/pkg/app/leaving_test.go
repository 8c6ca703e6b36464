package app_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/platform/platformtest"
)

const (
	// leavingBound is the platform's bound on the time in which an endpoint that said it
	// leaves may still get requests.
	leavingBound = 2 * time.Second
	// watchedAfterBound is how long these tests look for requests after the bound.
	watchedAfterBound = 1500 * time.Millisecond
	fleetSize         = 3
	// ampleQuota is not used up even while hosts have just met, when owners grant only a
	// part of it.
	ampleQuota = 10_000_000
	// briefSilence is how long a store is silent that is back well before the bound.
	briefSilence = 1500 * time.Millisecond
	// busyDelay makes requests take so long that one endpoint has no place for all.
	busyDelay = 200 * time.Millisecond
	// slowerDelay makes an endpoint slower than the other one, which is then preferred.
	slowerDelay = 60 * time.Millisecond
)

// platformFleet is a deployment on the platform with several hosts, each with an
// access of its own to the store.
type platformFleet struct {
	*platformDeployment
	hosts    []platformHost
	peers    []string
	accesses []*platformtest.Access
}

// startPlatformFleet starts a fleet whose first host owns the service desk.
func startPlatformFleet(t *testing.T) *platformFleet {
	t.Helper()
	f := &platformFleet{platformDeployment: newPlatformDeployment(t)}
	f.quota = ampleQuota
	f.writeConfiguration()
	f.registerWorker("desk-1", false)
	f.registerWorker("desk-2", false)
	f.startHosts("desk")
	return f
}

// startHosts starts the hosts, of which the first owns a service, and waits until all of
// them serve.
func (f *platformFleet) startHosts(service string) {
	t := f.t
	t.Helper()
	var names []string
	for i := range fleetSize {
		names, f.peers = append(names, fmt.Sprint("entry-", i+1)), append(f.peers, freeAddress(t))
	}
	for i, name := range host.Ranked(names, service, fleetSize) {
		access := platformtest.NewAccess(f.store)
		server := httptest.NewServer(access)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		f.accesses = append(f.accesses, access)
		f.hosts = append(f.hosts, f.startHostAt(platformHost{name: name, store: server.URL, peerAddress: f.peers[i]}, f.peers))
	}
	for _, h := range f.hosts {
		f.eventually("the host is ready", func() bool { return readinessStatusAt(h.readinessAddress) == http.StatusOK })
		f.eventually("the host serves", func() bool { return f.lookUpAt(h).Status == http.StatusOK })
	}
	time.Sleep(time.Second) // hosts without a service begin their long watches
}

func (f *platformFleet) lookUpAt(h platformHost) platformtest.Answer {
	return platformtest.Call(h.frontAddress, "shop.example", "/lookup/7", "good-key", uuid.NewString())
}

// eachRefusal runs a test of a fleet for each way in which the store turns hosts away.
func eachRefusal(t *testing.T, test func(f *platformFleet, r platformtest.Refusal)) {
	t.Parallel()
	for _, refusal := range []platformtest.Refusal{platformtest.RefusedBusy, platformtest.RefusedReset, platformtest.RefusedSilent} {
		t.Run(string(refusal), func(t *testing.T) {
			t.Parallel()
			test(startPlatformFleet(t), refusal)
		})
	}
}

// counts are the requests that were sent while an endpoint left: those that were served,
// and those that reached the endpoint after the bound.
type counts struct{ sent, served, late int }

// sendWhileLeaving makes desk-1 leave and sends requests to a host until some time
// after the bound.
func (f *platformFleet) sendWhileLeaving(h platformHost) counts {
	start := time.Now()
	sendSteadily(500*time.Millisecond, func(int) { f.lookUpAt(h) })
	f.is.True(f.workers["desk-1"].Arrivals(start) > 0) // it is in use
	f.registerWorker("desk-1", true)
	bound := time.Now().Add(leavingBound)
	var c counts
	var mu sync.Mutex
	sendSteadily(leavingBound+watchedAfterBound, func(int) {
		answer := f.lookUpAt(h)
		mu.Lock()
		defer mu.Unlock()
		c.sent++
		if answer.Status == http.StatusOK {
			c.served++
		}
	})
	c.late = f.workers["desk-1"].Arrivals(bound)
	f.t.Logf("%+v", c)
	return c
}

// arrivalsAfterBound returns how many requests reach desk-1 after the bound while both
// endpoints are needed.
func (f *platformFleet) arrivalsAfterBound(h platformHost) int {
	f.injectFaults("desk", platformtest.WorkerFaults{Delay: busyDelay})
	return f.sendWhileLeaving(h).late
}

func TestOwnerThatTheStoreTurnsAwayGrantsALeavingEndpoint(t *testing.T) {
	eachRefusal(t, func(f *platformFleet, refusal platformtest.Refusal) {
		f.accesses[0].SetRefusal(refusal)
		f.is.Equal(f.arrivalsAfterBound(f.hosts[0]), 0)
	})
}

func TestEntryAndOwnerThatTheStoreTurnsAwayUseALeavingEndpoint(t *testing.T) {
	eachRefusal(t, func(f *platformFleet, refusal platformtest.Refusal) {
		f.accesses[0].SetRefusal(refusal)
		f.accesses[1].SetRefusal(refusal)
		f.is.Equal(f.arrivalsAfterBound(f.hosts[1]), 0)
	})
}

func TestEntryThatKnowsOfALeavingEndpointUsesAnOldGrant(t *testing.T) {
	eachRefusal(t, func(f *platformFleet, refusal platformtest.Refusal) {
		f.accesses[0].SetRefusal(refusal)
		f.is.Equal(f.arrivalsAfterBound(f.hosts[1]), 0)
	})
}

func TestRequestsFailWhenTheEntryKnowsOfALeavingEndpointAndTheOwnerDoesNot(t *testing.T) {
	eachRefusal(t, func(f *platformFleet, refusal platformtest.Refusal) {
		f.workers["desk-2"].SetFaults(platformtest.WorkerFaults{Delay: slowerDelay}) // it has places for all
		f.accesses[0].SetRefusal(refusal)
		c := f.sendWhileLeaving(f.hosts[1])
		f.is.Equal(c.late, 0)
		f.is.Equal(c.served, c.sent)
	})
}

func TestEntryThatTheStoreTurnsAwayUsesALeavingEndpoint(t *testing.T) {
	eachRefusal(t, func(f *platformFleet, refusal platformtest.Refusal) {
		f.accesses[1].SetRefusal(refusal)
		f.is.Equal(f.arrivalsAfterBound(f.hosts[1]), 0)
	})
}

func TestOwnerUsesALeavingEndpointAfterABriefSilenceOfTheStore(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t)
	f.accesses[0].SetRefusal(platformtest.RefusedSilent)
	f.injectFaults("desk", platformtest.WorkerFaults{Delay: busyDelay})
	start := time.Now()
	sendSteadily(500*time.Millisecond, func(int) { f.lookUpAt(f.hosts[0]) })
	f.is.True(f.workers["desk-1"].Arrivals(start) > 0) // it is in use
	f.registerWorker("desk-1", true)
	bound := time.Now().Add(leavingBound)
	back := time.AfterFunc(briefSilence, func() { f.accesses[0].SetRefusal(platformtest.NotRefused) })
	defer back.Stop()
	sendSteadily(leavingBound+watchedAfterBound, func(int) { f.lookUpAt(f.hosts[0]) })
	late := f.workers["desk-1"].Arrivals(bound)
	t.Logf("%d requests after the bound", late)
	f.is.Equal(late, 0)
}

func TestEntryUsesAnEndpointTooLongAfterItsEntryIsGone(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t)
	f.accesses[0].SetRefusal(platformtest.RefusedSilent)
	f.injectFaults("desk", platformtest.WorkerFaults{Delay: busyDelay})
	start := time.Now()
	sendSteadily(500*time.Millisecond, func(int) { f.lookUpAt(f.hosts[1]) })
	f.is.True(f.workers["desk-1"].Arrivals(start) > 0) // it is in use
	f.registerWorker("pool-1", false)
	time.Sleep(100 * time.Millisecond) // the host has heard of this change
	f.store.RemoveWorker("desk-1")
	bound := time.Now().Add(leavingBound)
	sendSteadily(leavingBound+watchedAfterBound, func(int) { f.lookUpAt(f.hosts[1]) })
	late := f.workers["desk-1"].Arrivals(bound)
	t.Logf("%d requests after the bound", late)
	f.is.Equal(late, 0)
}
