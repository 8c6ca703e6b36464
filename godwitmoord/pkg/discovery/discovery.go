// Package discovery reads the operators' configuration, the endpoints and the
// registered hosts from the platform's store.
//
// It watches the configuration and the endpoints with one watch each instead of
// polling, because every call of the store has a cost. A watch that runs for its
// whole time without a change proves that nothing changed. For the configuration
// a few hosts provide this freshness proof to all others. Hosts are listed only
// once; after that the membership protocol keeps the list current.
//
// What the store tells one host, that host passes on to the others as notices, and
// so does a host that an endpoint tells that it is leaving. A host that the store
// turns away, or whose watch is silent, therefore knows what the others know. The
// revisions of the store decide which of two statements about a key is the newer.
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
	// configurationBatchDelay is the pause after a watch of the configuration that
	// returned changes, so that the next watch returns several changes at once. It is
	// short because a new version must be in force within two seconds.
	configurationBatchDelay = 100 * time.Millisecond
	// nonOwnerWatchDuration replaces ownerWatchDuration on a host that owns no
	// service.
	nonOwnerWatchDuration = 10 * time.Second
	// configurationMaxRetryPause is the longest pause after a failed read of the
	// configuration. It is short because requests with customers' keys cannot be
	// served until a read succeeds.
	configurationMaxRetryPause = 300 * time.Millisecond
	// ownerWatchDuration is how long a watch of the endpoints lasts without changes,
	// and so the time until a dead connection is detected.
	ownerWatchDuration = 2 * time.Second
	// endpointsCheckInterval is how often loop checks the endpoints in use.
	endpointsCheckInterval = 100 * time.Millisecond
	// outageGrace is how long after the store is reachable again an endpoint with a
	// missing entry stays in use. The entries of live endpoints lapse during an
	// outage of the store and are back about two seconds after it.
	outageGrace = 2200 * time.Millisecond
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
	// EndpointName and HostName return the name of the endpoint or host that the
	// key belongs to, and whether it is such a key.
	EndpointName(key string) (string, bool)
	HostName(key string) (string, bool)
	// HostKey returns the key that registers a host; with an empty name, the prefix
	// of these keys.
	HostKey(name string) string
	// PersistedKey returns the key or prefix for data that must survive a restart of all
	// hosts.
	PersistedKey(name string) string
	// Configuration decodes the operators' configuration and its version.
	Configuration(value []byte) (int64, configuration.Configuration, error)
	// Endpoint decodes the entry of an endpoint and the name of its service.
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
	notices notices

	mu    sync.Mutex
	table Table
	// syncedRevision is the revision up to which the store told this host all changes
	// of endpoints.
	syncedRevision int64
	// endpoints watches the entries of the endpoints.
	endpoints *follower
	// ownsNoService is true while this host owns no service.
	ownsNoService atomic.Bool
	// hostAddresses maps the names of the registered hosts to their addresses.
	hostAddresses map[string]string
	// writtenRevisions holds the revision of each key that Keep wrote. Only the
	// caller of Keep uses it, without a lock.
	writtenRevisions map[string]int64
}

// New returns a service that does nothing until Start.
func New(c *common.Common, n notices, store Store, layout Layout) *Service {
	return &Service{common: c, notices: n, store: store, layout: layout, hostAddresses: map[string]string{}, writtenRevisions: map[string]int64{}}
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
	s.notices.Handle(storeTopic, s.acceptChange)
	s.notices.Handle(leavingTopic, s.acceptLeaving)
	s.publishHosts()
	configurationFollower := &follower{service: s, prefix: s.layout.ConfigurationKey(), watchDuration: s.configurationWatchDuration, batchDelay: constant(configurationBatchDelay), maxPause: configurationMaxRetryPause, apply: s.installConfiguration, afterCall: s.recordProof}
	s.endpoints = &follower{service: s, prefix: s.layout.EndpointPrefix(), watchDuration: s.endpointsWatchDuration, batchDelay: s.endpointsBatchDelay, maxPause: longRetryPause, apply: s.applyEndpoints, afterCall: s.recordSync}
	go configurationFollower.run(ctx)
	go (&freshnessChecker{service: s, inForce: s.release, others: s.members, configurationFollower: configurationFollower}).run(ctx)
	go s.endpoints.run(ctx)
	go s.run(ctx)
	go s.loop(ctx)
	return nil
}

// Stop does nothing: the context of Start ends all goroutines.
func (s *Service) Stop(context.Context) error { return nil }

// installConfiguration installs the operators' configuration from the changes read.
func (s *Service) installConfiguration(u update) {
	for _, c := range u.changes {
		if c.Removed || c.Entry.Key != s.layout.ConfigurationKey() {
			continue
		}
		version, decoded, err := s.layout.Configuration(c.Entry.Value)
		if err != nil {
			s.common.Log.Error("configuration cannot be read", zap.Int64("revision", c.Entry.Revision), zap.Error(err))
			continue
		}
		s.release.Install(version, decoded)
		s.keepConfiguration(c.Entry)
	}
}

// recordProof records that the configuration read last was the newest one at the
// given boot time.
func (s *Service) recordProof(upTo time.Duration) { s.release.RecordProof(upTo) }

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

// run registers this host and lists the hosts registered so far.
// It retries until both succeed. Hosts that start later contact this one
// themselves.
func (s *Service) run(ctx context.Context) {
	for !s.register(ctx) || !s.listHosts(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(longRetryPause):
		}
	}
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

// Put writes data that must survive a restart of all hosts. It overwrites any
// earlier value of the key.
func (s *Service) Put(ctx context.Context, key string, value []byte) error {
	outcome, err := s.store.Put(ctx, s.layout.PersistedKey(key), value, s.writtenRevisions[key])
	if err == nil && !outcome.Applied {
		s.writtenRevisions[key] = outcome.Current.Revision
		outcome, err = s.store.Put(ctx, s.layout.PersistedKey(key), value, outcome.Current.Revision)
	}
	if err == nil && outcome.Applied {
		s.writtenRevisions[key] = outcome.Revision
	}
	return err
}

// List returns the values that Keep wrote under all keys with the prefix.
func (s *Service) List(ctx context.Context, prefix string) ([][]byte, error) {
	listing, err := s.store.List(ctx, s.layout.PersistedKey(prefix))
	if err != nil {
		return nil, err
	}
	values := make([][]byte, len(listing.Entries))
	for i, e := range listing.Entries {
		values[i] = e.Value
	}
	return values, nil
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
