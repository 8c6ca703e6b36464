package app_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"godwitmoor.example/platform/platformtest"
)

const (
	// handoverQuota is the customer's quota in tokens a second, and its burst.
	handoverQuota = 2000
	// tokensPerRequest is what a request without token counts is charged.
	tokensPerRequest = 200
	quotaWindow      = 8 * time.Second
	// requestsPerWindow are the requests of the customer that may run in any window.
	requestsPerWindow = (handoverQuota*int(quotaWindow/time.Second) + handoverQuota) / tokensPerRequest
)

// Guards against a new owner that grants a quota once more: with the store down it took the
// quota as used evenly over the window, although the owner before had granted all of it in
// the last moments.
func TestQuotaHoldsWhenItsOwnerStartsAgainWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	f := &platformFleet{platformDeployment: newPlatformDeployment(t)}
	f.quota, f.engines = handoverQuota, []string{"pool"}
	f.keyRevocation = time.Minute // keys are accepted all the while
	f.writeConfiguration()
	for _, name := range []string{"desk-1", "desk-2", "pool-1", "pool-2"} {
		f.registerWorker(name, false)
	}
	f.startHosts("pool")
	time.Sleep(quotaWindow + 2*time.Second) // until the owner may grant the whole quota
	var served atomic.Int64
	send := func(h platformHost) {
		if platformtest.Call(h.frontAddress, "shop.example", "/chat/7", "good-key", uuid.NewString()).Status == http.StatusOK {
			served.Add(1)
		}
	}
	before := len(f.runs("pool"))
	f.sendAtOnce(2*requestsPerWindow, send)
	used := served.Load()
	t.Logf("%d of %d served before the owner leaves, %d runs", used, requestsPerWindow, len(f.runs("pool"))-before)
	f.is.True(used > int64(requestsPerWindow)/2) // the quota is used up
	for _, access := range f.accesses {
		access.SetRefusal(platformtest.RefusedBusy)
	}
	f.is.NoErr(f.hosts[0].daemon.Stop())
	f.startHostAt(platformHost{name: f.hosts[0].name, store: f.hosts[0].store, peerAddress: f.hosts[0].peerAddress}, f.peers)
	end := time.Now().Add(quotaWindow - 3*time.Second)
	for time.Now().Before(end) {
		send(f.hosts[1])
		send(f.hosts[2])
		time.Sleep(10 * time.Millisecond)
	}
	ran := len(f.runs("pool")) - before
	t.Logf("%d of %d ran within a window", ran, requestsPerWindow)
	f.is.True(ran <= requestsPerWindow)
}

// sendAtOnce sends requests to the second and the third host, a few at a time.
func (f *platformFleet) sendAtOnce(count int, send func(platformHost)) {
	var senders sync.WaitGroup
	for n := range 6 {
		senders.Go(func() {
			for range count / 6 {
				send(f.hosts[1+n%2])
			}
		})
	}
	senders.Wait()
}
