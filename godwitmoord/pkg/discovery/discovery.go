// Package discovery follows the platform's store: the operators' configuration
// and the endpoints by a watch each, since every call is paid for. The regular
// ends of a watch prove that nothing changed; of the configuration a few hosts
// prove that for all. Hosts are listed once; after that they know each other.
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
	// declaredGather and endpointsGather are the pauses after changes. A version
	// must be in force and a leaving endpoint left alone within two seconds.
	declaredGather  = 100 * time.Millisecond
	endpointsGather = 250 * time.Millisecond
	// casualGather and casualWait are the same for endpoints where this host owns
	// no service: then it only sends to those that owners grant.
	casualGather = time.Second
	casualWait   = 10 * time.Second
	// declaredPause bounds the pause between failed reads of the configuration:
	// callers with keys wait for the first that succeeds.
	declaredPause = 300 * time.Millisecond
	// endpointsWait is how long a watch of the endpoints lasts without changes: a
	// connection that went silent must show before an endpoint that leaves may get
	// no more work.
	endpointsWait = 2 * time.Second
	// loopInterval is how often the use of endpoints is looked at. behindBound is
	// how long a change may be known elsewhere before this host looks for itself.
	loopInterval = 100 * time.Millisecond
	behindBound  = casualGather + 300*time.Millisecond
	// lapseGrace is how long after the store's return an endpoint is used whose
	// entry went away: those that live are back in about two seconds.
	lapseGrace = 2200 * time.Millisecond
	// goneGrace is how long after its entry went away it is used at the most, as
	// it may have left for good.
	goneGrace = 1600 * time.Millisecond
)

// Store is what the follower needs of the platform's store.
type Store interface {
	keyvalue.Watcher
	// Put writes a key if it still stands at revision; zero means that it must
	// not exist.
	Put(ctx context.Context, key string, value []byte, revision int64) (keyvalue.Outcome, error)
}

// Layout is where things lie in the store and what they look like.
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

// Service follows the store.
type Service struct {
	common  *common.Common
	store   Store
	layout  Layout
	release *release.Service
	members *membership.Service

	mu    sync.Mutex
	table Table
	// told is the revision of the newest change of endpoints known, which the
	// others hear; newest is that up to which this host knows all changes, and
	// behind since when another host has told of a later one.
	told   int64
	newest int64
	behind time.Time
	// endpoints follows the entries of endpoints.
	endpoints *follower
	// casual is set while this host owns no service.
	casual atomic.Bool
	hosts  map[string]string
	// kept holds the revisions of what was kept, for the one who keeps.
	kept map[string]int64
}

// New makes the service.
func New(c *common.Common, store Store, layout Layout) *Service {
	return &Service{common: c, store: store, layout: layout, hosts: map[string]string{}, kept: map[string]int64{}}
}

// Start begins to follow.
func (s *Service) Start(ctx context.Context) error {
	var err error
	if s.release, err = kernel.Lookup[*release.Service](s.common.Kernel, kernel.Release); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](s.common.Kernel, kernel.Membership); err != nil {
		return err
	}
	s.tellHosts()
	declared := &follower{service: s, prefix: s.layout.ConfigurationKey(), wait: s.declaredWait, gather: always(declaredGather), longest: declaredPause, take: s.takeDeclared, done: s.confirm}
	s.endpoints = &follower{service: s, prefix: s.layout.EndpointPrefix(), wait: s.endpointsWait, gather: s.endpointsGather, longest: longPause, take: s.takeEndpoints, done: s.expire}
	go declared.run(ctx)
	go (&prover{service: s, inForce: s.release, others: s.members, declared: declared}).run(ctx)
	go s.endpoints.run(ctx)
	go s.run(ctx)
	go s.loop(ctx)
	return nil
}

// Stop has nothing to end beyond the context.
func (s *Service) Stop(context.Context) error { return nil }

// takeDeclared takes in the operators' configuration.
func (s *Service) takeDeclared(n news) {
	for _, c := range n.changes {
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

// confirm notes that nothing newer had been declared at a moment.
func (s *Service) confirm(upTo time.Duration) { s.release.Confirm(upTo) }

func (s *Service) takeHost(name, address string) {
	if _, err := netip.ParseAddrPort(address); err == nil {
		s.hosts[name] = address
	}
}

// tellHosts passes on where other hosts may be.
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

// run registers this host and finds those that were registered, until both are
// done. Later ones make themselves known.
func (s *Service) run(ctx context.Context) {
	for !s.register(ctx) || !s.findHosts(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(longPause):
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

// Keep writes what must outlast the hosts, whatever stands there.
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

// Kept gives what was kept under all keys that begin so.
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
