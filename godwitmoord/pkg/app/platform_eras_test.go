package app_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"godwitmoor.example/platform/platformtest"
)

// loseWrites takes a copy of the store, runs write and restores the store from the copy.
func (s *platformDeployment) loseWrites(write func()) {
	s.t.Helper()
	restored := s.store.Copy()
	write()
	s.store.SetFaults(platformtest.StoreFaults{Down: true})
	s.store.Restore(restored)
	s.store.SetFaults(platformtest.StoreFaults{})
}

// newKeyDeployment returns a deployment with one endpoint, whose hosts a test starts, and the
// URL of its store.
func newKeyDeployment(t *testing.T) (*platformDeployment, string) {
	s := newPlatformDeployment(t)
	s.keyRevocation, s.quota = 20*time.Second, ampleQuota
	s.writeConfiguration()
	s.registerWorker("desk-1", false)
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	return s, server.URL
}

// replaceKey writes a configuration with another key of the customer, and waits until it
// is in force.
func (s *platformDeployment) replaceKey() {
	s.t.Helper()
	s.customerKey = "new-key"
	s.writeConfiguration()
	s.eventually("the old key is refused", func() bool { return s.send("/lookup/7", "good-key").Status == http.StatusUnauthorized })
}

// checkOldKeyIsRefused checks for a time that the hosts at the addresses don't accept the key
// that replaceKey replaced.
func (s *platformDeployment) checkOldKeyIsRefused(d, pause time.Duration, addresses ...string) {
	s.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
		for _, address := range addresses {
			s.frontAddress = address
			s.is.True(s.send("/lookup/7", "good-key").Status != http.StatusOK)
		}
	}
}

// Guards against a restored store whose older configuration brings removed keys back or
// ends the use of the newer one.
func TestRestoredStoreDoesNotBringAnOlderConfigurationBack(t *testing.T) {
	s := startPlatformDeployment(t)
	s.loseWrites(s.replaceKey)
	s.checkOldKeyIsRefused(4*time.Second, pollPause, s.frontAddress)
	// The copy proves nothing about the newer configuration, which may have been replaced.
	s.is.Equal(s.send("/lookup/7", "new-key").Status, http.StatusServiceUnavailable)
	s.version--
	s.writeConfiguration() // the operator's repetition
	s.eventually("the new key is accepted again", func() bool { return s.send("/lookup/7", "new-key").Status == http.StatusOK })
	s.customerKey = "newest-key"
	s.writeConfiguration()
	s.eventually("a later version is in force", func() bool { return s.send("/lookup/7", "newest-key").Status == http.StatusOK })
	s.is.Equal(s.send("/lookup/7", "new-key").Status, http.StatusUnauthorized)
}

// Guards against a host that starts after the restore, reads the older configuration and
// accepts keys that the newer one removed, or gives the older one to other hosts.
func TestHostThatStartsAfterARestorePrefersTheNewerConfigurationOfOthers(t *testing.T) {
	s, storeURL := newKeyDeployment(t)
	first := s.startHostAt(platformHost{name: "entry-1", store: storeURL, peerAddress: freeAddress(t)}, []string{})
	s.frontAddress = first.frontAddress
	s.eventually("the host is ready", func() bool { return readinessStatusAt(first.readinessAddress) == http.StatusOK })
	s.loseWrites(s.replaceKey)
	second := s.startHostAt(platformHost{name: "entry-2", store: storeURL, peerAddress: freeAddress(t)}, []string{first.peerAddress})
	s.checkOldKeyIsRefused(3*time.Second, pollPause, first.frontAddress, second.frontAddress)
	s.frontAddress = first.frontAddress
	s.eventually("the first host goes on with the newer one", func() bool { return s.send("/lookup/7", "new-key").Status == http.StatusOK })
	s.version--
	s.writeConfiguration()
	s.frontAddress = second.frontAddress
	s.eventually("the second host accepts the new key", func() bool { return s.send("/lookup/7", "new-key").Status == http.StatusOK })
}

// Guards against endpoints that are out of use because the copy has no entry of them, and
// against the use of those that left after the copy was taken.
func TestRestoredStoreLeavesTheEndpointsInUseThatLive(t *testing.T) {
	s := startPlatformDeployment(t)
	s.store.RemoveWorker("desk-2")
	time.Sleep(leavingBound)
	s.loseWrites(func() {
		s.registerWorker("desk-2", false)
		s.store.RemoveWorker("desk-1")
		time.Sleep(leavingBound) // desk-1 has left
		s.eventually("the worker that registered again is used", func() bool {
			return s.send("/lookup/7", "good-key").Status == http.StatusOK && len(s.workers["desk-2"].Runs()) > 0
		})
	})
	before := len(s.workers["desk-1"].Runs())
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(pollPause) {
		s.is.Equal(s.send("/lookup/7", "good-key").Status, http.StatusOK)
	}
	s.registerWorker("desk-2", false) // it writes its entry again
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(pollPause) {
		s.is.Equal(s.send("/lookup/7", "good-key").Status, http.StatusOK)
	}
	s.is.Equal(len(s.workers["desk-1"].Runs()), before)
}

// Guards against a host that others can't find by the store after a restore.
func TestHostRegistersAgainAfterARestore(t *testing.T) {
	s := newPlatformDeployment(t)
	s.writeConfiguration()
	empty := s.store.Copy()
	s.startHost()
	s.eventually("the host is registered", func() bool { return s.store.Get("hosts/entry-1") != "" })
	s.store.Restore(empty)
	s.eventually("the host is registered again", func() bool { return s.store.Get("hosts/entry-1") != "" })
}

// Guards against an owner whose page stays lost because it grants nothing: without pages a
// successor takes it that there was no owner.
func TestOwnerWritesItsPageAgainAfterTheStoreWasRestored(t *testing.T) {
	const page = "kept/granted/desk/entry-1"
	s := startPlatformDeployment(t)
	empty := s.store.Copy()
	s.is.Equal(s.send("/lookup/7", "good-key").Status, http.StatusOK)
	s.eventually("the page is written", func() bool { return s.store.Get(page) != "" })
	time.Sleep(2 * time.Second) // no further page is due
	s.store.Restore(empty)
	s.eventually("the page is written again", func() bool { return s.store.Get(page) != "" })
}

// Guards against the same on a host that the others contact first: it reads the store as
// soon as it starts, before it knows them.
func TestListedHostThatStartsAfterARestoreAcceptsNoRemovedKey(t *testing.T) {
	s, storeURL := newKeyDeployment(t)
	peers := []string{freeAddress(t), freeAddress(t)}
	first := s.startHostAt(platformHost{name: "entry-1", store: storeURL, peerAddress: peers[0]}, peers)
	second := s.startHostAt(platformHost{name: "entry-2", store: storeURL, peerAddress: peers[1]}, peers)
	for _, h := range []platformHost{first, second} {
		s.eventually("the host is ready", func() bool { return readinessStatusAt(h.readinessAddress) == http.StatusOK })
	}
	s.frontAddress = second.frontAddress
	s.loseWrites(func() {
		s.replaceKey()
		s.is.NoErr(first.daemon.Stop())
	})
	first = s.startHostAt(platformHost{name: "entry-1", store: storeURL, peerAddress: peers[0]}, peers)
	s.checkOldKeyIsRefused(4*time.Second, pollPause/10, first.frontAddress, second.frontAddress)
	s.version--
	s.writeConfiguration()
	s.frontAddress = first.frontAddress
	s.eventually("the new key is accepted", func() bool { return s.send("/lookup/7", "new-key").Status == http.StatusOK })
}
