// Package discovery reads the operators' configuration, the endpoints and the
// registered hosts from the platform's store.
//
// It watches the configuration and the endpoints with one watch each instead of
// polling, because every call of the store has a cost. A watch that runs for its
// whole time without a change proves that nothing changed. For the configuration
// a few hosts provide this freshness proof to all others. Hosts are listed only
// once; after that the membership protocol keeps the list current.
//
// # Usage
//
//	follower := discovery.New(common, store, layout)
//	kernel.Register(kernel.Discovery, follower)
package discovery

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/release"
)

const (
	// declaredGather and endpointsGather are the pauses after a watch that returned
	// changes, so that the next watch returns several changes at once. They are
	// short because a new version must be in force, and a leaving endpoint must
	// get no more requests, within two seconds.
	declaredGather  = 100 * time.Millisecond
	endpointsGather = 250 * time.Millisecond
	// casualGather and casualWait replace endpointsGather and endpointsWait on a
	// host that owns no service: it only sends to endpoints that owners grant, so
	// it can learn of changes later.
	casualGather = time.Second
	casualWait   = 10 * time.Second
	// declaredPause is the longest pause after a failed read of the configuration.
	// It is short because requests with customers' keys cannot be served until a
	// read succeeds.
	declaredPause = 300 * time.Millisecond
	// endpointsWait is how long a watch of the endpoints lasts without changes. It
	// bounds the time until a dead connection is detected, which must happen
	// before a leaving endpoint may get no more requests.
	endpointsWait = 2 * time.Second
	// loopInterval is how often endpoints with missing entries are checked.
	// behindBound is how long another host may report a newer change of endpoints
	// before this host lists the endpoints again.
	loopInterval = 100 * time.Millisecond
	behindBound  = casualGather + 300*time.Millisecond
	// lapseGrace is how long after the store is reachable again an endpoint with a
	// missing entry stays in use. The entries of live endpoints lapse during an
	// outage of the store and are back about two seconds after it.
	lapseGrace = 2200 * time.Millisecond
	// goneGrace is the longest time that an endpoint stays in use after its entry
	// went missing, because it may have left for good.
	goneGrace = 1600 * time.Millisecond
)

// Store is the part of the platform's key-value store that this package uses.
type Store interface {
	keyvalue.Watcher
	// Put writes a key if its current revision is the given one. Revision zero
	// means that the key must not exist.
	Put(ctx context.Context, key string, value []byte, revision int64) (keyvalue.Outcome, error)
}

// Layout defines the keys of the store and decodes their values.
type Layout interface {
	ConfigurationKey() string
	EndpointPrefix() string
	EndpointName(key string) (string, bool)
	HostName(key string) (string, bool)
	HostKey(name string) string
	KeptKey(name string) string
	Configuration(value []byte) (int64, configuration.Configuration, error)
	Endpoint(name string, value []byte) (string, configuration.Endpoint, error)
}

// Service keeps the configuration, the endpoints and the hosts of this process
// in step with the store.
type Service struct {
	common  *common.Common
	store   Store
	layout  Layout
	release *release.Service
	members *membership.Service

	mu    sync.Mutex
	table Table
	// told is the revision of the newest endpoint change that this host has seen;
	// it is sent to the other hosts. newest is the revision up to which this host
	// has seen all endpoint changes. behind is when another host first reported a
	// change after newest; zero if none did.
	told   int64
	newest int64
	behind time.Time
	// endpoints watches the entries of the endpoints.
	endpoints *follower
	// casual is true while this host owns no service.
	casual atomic.Bool
	// hosts maps the names of the registered hosts to their addresses.
	hosts map[string]string
	// kept holds the revision of each key that Keep wrote. Only the caller of
	// Keep uses it, without a lock.
	kept map[string]int64
}

// New returns a service that does nothing until Start.
func New(c *common.Common, store Store, layout Layout) *Service {
	return &Service{common: c, store: store, layout: layout, hosts: map[string]string{}, kept: map[string]int64{}}
}

// Start begins to watch the store and registers this host there.
func (s *Service) Start(ctx context.Context) error {
	var err error
	if s.release, err = kernel.Lookup[*release.Service](s.common.Kernel, kernel.Release); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](s.common.Kernel, kernel.Membership); err != nil {
		return err
	}
	s.tellHosts()
	declared := &follower{service: s, prefix: s.layout.ConfigurationKey(), watchDuration: s.declaredWait, batchDelay: constant(declaredGather), maxPause: declaredPause, apply: s.takeDeclared, afterCall: s.confirm}
	s.endpoints = &follower{service: s, prefix: s.layout.EndpointPrefix(), watchDuration: s.endpointsWait, batchDelay: s.endpointsGather, maxPause: longRetryPause, apply: s.takeEndpoints, afterCall: s.expire}
	go declared.run(ctx)
	go (&prover{service: s, inForce: s.release, others: s.members, declared: declared}).run(ctx)
	go s.endpoints.run(ctx)
	go s.run(ctx)
	go s.loop(ctx)
	return nil
}

// Stop does nothing: the context of Start ends all goroutines.
func (s *Service) Stop(context.Context) error { return nil }

// takeDeclared installs the operators' configuration from the changes read.
func (s *Service) takeDeclared(u update) {
	for _, c := range u.changes {
		if c.Removed || c.Entry.Key != s.layout.ConfigurationKey() {
			continue
		}
		version, declared, err := s.layout.Configuration(c.Entry.Value)
		if err != nil {
			s.common.Log.Error("configuration cannot be read", zap.Int64("revision", c.Entry.Revision), zap.Error(err))
			continue
		}
		s.release.Install(version, declared)
	}
}

// confirm records that the configuration read last was the newest one at the
// given boot time.
func (s *Service) confirm(upTo time.Duration) { s.release.Confirm(upTo) }

func (s *Service) takeHost(name, address string) {
	if _, err := netip.ParseAddrPort(address); err == nil {
		s.hosts[name] = address
	}
}

// tellHosts sends the known addresses of hosts to the membership service.
func (s *Service) tellHosts() {
	known := make([]membership.Listed, 0, len(s.hosts))
	for name, address := range s.hosts {
		known = append(known, membership.Listed{Name: name, Address: address})
	}
	for _, address := range s.common.Settings.Platform.Hosts {
		known = append(known, membership.Listed{Address: address})
	}
	s.members.SetListed(known)
}

// run registers this host and lists the hosts registered so far, and retries
// until both succeed. Hosts that start later contact this one themselves.
func (s *Service) run(ctx context.Context) {
	for !s.register(ctx) || !s.findHosts(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(longRetryPause):
		}
	}
}

func (s *Service) findHosts(ctx context.Context) bool {
	listing, err := s.store.List(ctx, s.layout.HostKey(""))
	if err != nil {
		s.common.Log.Warn("hosts not listed yet", zap.Error(err))
		return false
	}
	for _, e := range listing.Entries {
		if name, isHost := s.layout.HostName(e.Key); isHost {
			s.takeHost(name, string(e.Value))
		}
	}
	s.tellHosts()
	return true
}

// Keep writes data that must survive a restart of all hosts. It overwrites any
// earlier value of the key.
func (s *Service) Keep(ctx context.Context, key string, value []byte) error {
	outcome, err := s.store.Put(ctx, s.layout.KeptKey(key), value, s.kept[key])
	if err == nil && !outcome.Applied {
		s.kept[key] = outcome.Current.Revision
		outcome, err = s.store.Put(ctx, s.layout.KeptKey(key), value, outcome.Current.Revision)
	}
	if err == nil && outcome.Applied {
		s.kept[key] = outcome.Revision
	}
	return err
}

// Kept returns the values that Keep wrote under all keys with the prefix.
func (s *Service) Kept(ctx context.Context, prefix string) ([][]byte, error) {
	listing, err := s.store.List(ctx, s.layout.KeptKey(prefix))
	if err != nil {
		return nil, err
	}
	values := make([][]byte, len(listing.Entries))
	for i, e := range listing.Entries {
		values[i] = e.Value
	}
	return values, nil
}

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
