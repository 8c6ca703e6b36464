package discovery

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/godwitmoord/pkg/membership"
)

const (
	// joinCheckInterval is how often a host that starts checks whether it has met
	// others.
	joinCheckInterval = 50 * time.Millisecond
	// joinWait is how long it waits for them, and up to joinJitter longer, before it
	// looks for hosts in the store.
	joinWait   = time.Second
	joinJitter = 500 * time.Millisecond
	// registerCheckInterval is how often a host checks whether it must register.
	registerCheckInterval = 500 * time.Millisecond
)

// registry finds the other hosts, by the addresses in the settings or else in the store,
// and registers this host there once it reads the store for others. As each such host
// registers before it lists the registered ones, of two parts of a fleet that don't know
// each other the later one finds the earlier one.
type registry struct{ service *Service }

func (r *registry) run(ctx context.Context) {
	s := r.service
	if !s.isListed() {
		r.awaitOthers(ctx, joinWait+rand.N(joinJitter))
		for s.members.Alone() && ctx.Err() == nil && !s.listHosts(ctx) {
			sleep(ctx, longRetryPause)
		}
		r.awaitOthers(ctx, joinWait)
	}
	s.joined.Store(true)
	s.updateDuty()
	for s.duty() != proves && ctx.Err() == nil {
		sleep(ctx, registerCheckInterval)
	}
	for ctx.Err() == nil && (!s.register(ctx) || !s.listHosts(ctx)) {
		sleep(ctx, longRetryPause)
	}
	r.registerAgain(ctx)
}

// registerAgain registers this host again each time the store was restored, as the copy
// may lack its entry.
func (r *registry) registerAgain(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.service.restored:
		}
		for ctx.Err() == nil && !r.service.register(ctx) {
			sleep(ctx, longRetryPause)
		}
	}
}

// awaitOthers waits until this host knows others and they had time to tell it of the
// rest, but no longer than longest.
func (r *registry) awaitOthers(ctx context.Context, longest time.Duration) {
	members := r.service.members
	for start := time.Now(); time.Since(start) < longest && ctx.Err() == nil; {
		if !members.Alone() && members.FleetDiscovered() {
			return
		}
		sleep(ctx, joinCheckInterval)
	}
}

// isListed reports whether this host need not wait for others: it is one of those that
// others contact first, or there are none to contact.
func (s *Service) isListed() bool {
	hosts := s.common.Settings.Platform.Hosts
	return len(hosts) == 0 || slices.Contains(hosts, s.common.Settings.PeerListen)
}

// addHost records the address of a registered host, if it is valid.
func (s *Service) addHost(name, address string) {
	if _, err := netip.ParseAddrPort(address); err == nil {
		s.hostAddresses[name] = address
	}
}

// publishHosts sends the known addresses of hosts to the membership service.
func (s *Service) publishHosts() {
	listed := make([]membership.ListedHost, 0, len(s.hostAddresses))
	for name, address := range s.hostAddresses {
		listed = append(listed, membership.ListedHost{Name: name, Address: address})
	}
	for _, address := range s.common.Settings.Platform.Hosts {
		listed = append(listed, membership.ListedHost{Address: address})
	}
	s.members.SetListedHosts(listed)
}

// listHosts publishes the registered hosts and reports whether they could be read.
func (s *Service) listHosts(ctx context.Context) bool {
	listing, err := s.store.List(ctx, s.layout.HostKey(""))
	if err != nil {
		s.common.Log.Warn("hosts not listed yet", zap.Error(err))
		return false
	}
	for _, e := range listing.Entries {
		if name, isHost := s.layout.HostName(e.Key); isHost {
			s.addHost(name, string(e.Value))
		}
	}
	s.publishHosts()
	return true
}

// register writes this host's address to the store and reports whether the store
// holds it.
func (s *Service) register(ctx context.Context) bool {
	key := s.layout.HostKey(s.common.Self.Name)
	address := s.common.Settings.PeerListen
	outcome, err := s.store.Put(ctx, key, []byte(address), 0)
	if err != nil {
		s.common.Log.Warn("host not registered yet", zap.Error(err))
		return false
	}
	if outcome.Applied || string(outcome.Current.Value) == address {
		return true
	}
	_, err = s.store.Put(ctx, key, []byte(address), outcome.Current.Revision)
	return err == nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
