// Package discovery reads the operators' configuration, the endpoints and the
// registered hosts from the platform's store.
//
// Every call of the store has a cost, so a few hosts read it for all others, and their
// number does not grow with the fleet. The provers watch the configuration and the
// endpoints; a watch of the configuration that runs for its whole time without a change
// proves that nothing changed, and the others ask for this freshness proof. A few
// listeners watch the endpoints, too, with calls that last longer. If the provers bring
// no proof in time, the hosts that rank after them stand in, one after the other, and in
// the end any host reads the store itself.
//
// What the store tells one host, that host passes on to the others as notices, and
// so does a host that an endpoint tells that it is leaving. A host that starts gets all
// of it from the hosts that it meets. The revisions of the store decide which of two
// statements about a key is the newer.
//
// Where there are rollouts of new versions of endpoints, the hosts that watch the
// configuration read the orders in the same watch.
//
// # Usage
//
//	service := discovery.New(common, notices, store, layout)
//	kernel.Register(kernel.Discovery, service)
package discovery

import (
	"context"
	"math/rand/v2"
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
	// proverWatchDuration is how long a prover's watch of the endpoints lasts without
	// changes, and so the time until a dead connection is detected.
	proverWatchDuration = 2 * time.Second
	// listenerWatchDuration is the same on a listener.
	listenerWatchDuration = 10 * time.Second
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

// fleet is what this package needs to know of the other hosts.
type fleet interface {
	// StoreReaders returns the hosts that are to read the store, the first in charge
	// first.
	StoreReaders() []string
	// ReadyNames returns the names of the hosts that are ready.
	ReadyNames() []string
	// NewestVersion returns the newest version that another host has in force, and
	// HostAhead a host whose version is above the given one.
	NewestVersion() int64
	HostAhead(version int64) (string, bool)
	// AskProof asks a host for its freshness proof, and whether it reads the store.
	// LastReader returns when a host last told this one that it does; zero if none ever
	// did.
	AskProof(ctx context.Context, name string) error
	LastReader() time.Time
	// Alone reports whether no other live host is known, and FleetDiscovered whether the
	// fleet is known well enough to take a role.
	Alone() bool
	FleetDiscovered() bool
	SetListedHosts(hosts []membership.ListedHost)
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
	rolloutLayout
}

// Service keeps the configuration, the endpoints and the hosts of this process
// in step with the store.
type Service struct {
	common  *common.Common
	store   Store
	layout  Layout
	release *release.Service
	members fleet
	notices notices
	ctx     context.Context

	// configurationFollower and endpoints watch the keys that are named so.
	configurationFollower, endpoints *follower
	// joined is set once this host knows which others there are, and may read the store
	// for them; currentDuty is what it then reads.
	joined      atomic.Bool
	currentDuty atomic.Uint32
	// unconfirmed is set while this host reads the store only because it stands in, and
	// has not succeeded yet.
	unconfirmed atomic.Bool
	standIn     standIn
	orders      orders

	mu    sync.Mutex
	table Table
	// syncedRevision is the revision up to which the store told this host all changes
	// of endpoints.
	syncedRevision int64
	// hostAddresses maps the names of the registered hosts to their addresses.
	hostAddresses map[string]string
	// held is the configuration that this host passes on.
	held heldConfiguration
	// storeVersion is the version of the configuration that this host read last in the
	// store; zero for none.
	storeVersion atomic.Int64
	// olderLogged is the revision of the last older configuration that was logged.
	olderLogged atomic.Int64
	eras        eraRecord
	// restored has a value while this host must register again.
	restored chan struct{}
	// writtenRevisions holds the revision of each key that Keep wrote. Only the
	// caller of Keep uses it, without a lock.
	writtenRevisions map[string]int64
}

// New returns a service that does nothing until Start.
func New(c *common.Common, n notices, store Store, layout Layout) *Service {
	return &Service{
		common: c, notices: n, store: store, layout: layout, hostAddresses: map[string]string{}, writtenRevisions: map[string]int64{},
		restored: make(chan struct{}, 1),
	}
}

// Start begins to learn from the store or from other hosts.
func (s *Service) Start(ctx context.Context) error {
	var err error
	if s.release, err = kernel.Lookup[*release.Service](s.common.Kernel, kernel.Release); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](s.common.Kernel, kernel.Membership); err != nil {
		return err
	}
	s.begin(ctx)
	return nil
}

// begin starts the goroutines of the service.
func (s *Service) begin(ctx context.Context) {
	s.ctx = ctx
	s.notices.Handle(storeTopic, s.acceptChange)
	s.notices.Handle(leavingTopic, s.acceptLeaving)
	s.publishHosts()
	s.configurationFollower = &follower{
		service: s, prefix: s.configurationPrefix(), wanted: s.provesConfiguration, prompt: true, watchDuration: s.freshnessBudget().watch,
		batchDelay: constant(configurationBatchDelay), maxPause: s.maxRetryPause(urgentRetryPause),
		apply: s.installConfiguration, afterCall: s.recordProof,
	}
	s.endpoints = &follower{
		service: s, prefix: s.layout.EndpointPrefix(), wanted: s.readsEndpoints, watchDuration: s.endpointsWatchDuration,
		batchDelay: s.endpointsBatchDelay, maxPause: s.maxRetryPause(longRetryPause),
		apply: s.applyEndpoints, afterCall: s.recordSync,
	}
	go s.configurationFollower.run(ctx)
	go s.endpoints.run(ctx)
	go (&registry{service: s}).run(ctx)
	go (&freshnessChecker{service: s}).run(ctx)
	go (&readerContact{service: s}).run(ctx)
	go s.loop(ctx)
}

// Stop does nothing: the context of Start ends all goroutines.
func (s *Service) Stop(context.Context) error { return nil }

// installConfiguration installs the operators' configuration from the changes read.
func (s *Service) installConfiguration(u update) {
	s.observeRevision(u.revision)
	if u.complete {
		s.storeVersion.Store(0)
	}
	for _, c := range u.changes {
		if c.Entry.Key != s.layout.ConfigurationKey() {
			s.readOrder(c)
			continue
		}
		s.storeVersion.Store(0)
		if c.Removed {
			continue
		}
		version, decoded, err := s.layout.Configuration(c.Entry.Value)
		if err != nil {
			s.common.Log.Error("configuration cannot be read", zap.Int64("revision", c.Entry.Revision), zap.Error(err))
			continue
		}
		s.storeVersion.Store(version)
		if s.isBehind(c.Entry.Revision, version) {
			s.passOnNewer(c.Entry.Revision, version)
			continue
		}
		s.release.Install(version, decoded)
		s.shareConfiguration(c.Entry, version)
	}
}

// maxRetryPause returns a function that returns the longest pause after a failed call:
// the given one, or relaxedRetryPause while other hosts provide fresh proofs.
func (s *Service) maxRetryPause(alone time.Duration) func() time.Duration {
	return func() time.Duration {
		if age := s.release.Age(s.release.InForceVersion()); age > 0 && age < s.freshnessBudget().ask() {
			return relaxedRetryPause
		}
		return alone
	}
}

// provesConfiguration reports whether this host watches the configuration.
func (s *Service) provesConfiguration() bool { return s.duty() == proves }

// readsEndpoints reports whether this host watches the endpoints. One that stands in for
// the provers does once it has read the configuration, so that a store that is away gets
// fewer calls.
func (s *Service) readsEndpoints() bool { return s.duty() != follows && !s.unconfirmed.Load() }

// standInWait returns the shortest pause after a failed attempt of this host to stand in.
// It spreads the attempts of a large fleet.
func (s *Service) standInWait() time.Duration {
	if s.rank() >= 0 {
		return 0
	}
	return time.Duration(2 * rand.Float64() * float64(len(s.members.ReadyNames())) * float64(readSpacing))
}

// recordProof records that the configuration read last was the newest one at the
// given boot time. After a failed call the boot time is zero. A restored store that
// holds an older configuration than hosts have in force proves nothing.
func (s *Service) recordProof(upTo time.Duration) {
	now := time.Now()
	if upTo == 0 || !s.provesNewest() {
		s.standIn.fail(now, s.standInWait())
		s.updateDuty()
		return
	}
	s.release.RecordProof(upTo)
	s.standIn.succeed()
	if s.standIn.active(now) {
		s.updateDuty()
		go (&proofRelay{service: s}).run(s.ctx)
	}
}

// ReadsStore reports whether this host watches the endpoints in the store, and has listed
// them.
func (s *Service) ReadsStore() bool {
	if !s.readsEndpoints() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncedRevision > 0
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
		s.observeRevision(outcome.Revision)
	}
	return err
}

// List returns the values that Keep wrote under all keys with the prefix.
func (s *Service) List(ctx context.Context, prefix string) ([][]byte, error) {
	listing, err := s.store.List(ctx, s.layout.PersistedKey(prefix))
	if err != nil {
		return nil, err
	}
	s.observeRevision(listing.Revision)
	values := make([][]byte, len(listing.Entries))
	for i, e := range listing.Entries {
		values[i] = e.Value
	}
	return values, nil
}
