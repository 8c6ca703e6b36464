// Package discovery follows the platform's store: the operators' configuration,
// the endpoints and the hosts. One watch over all keys serves the three, since
// every call is paid for; its regular ends prove that nothing changed.
//
// # Usage
//
//	follower := discovery.New(common, store, layout)
//	kernel.Register(kernel.Discovery, follower)
package discovery

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/boottime"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/release"
)

const (
	// watchWait is how long a watch without changes lasts. A third of the bound
	// for keys taken away leaves room for one that fails.
	watchWait = 1300 * time.Millisecond
	// firstPause is the wait after a failed call; it doubles up to longPause.
	firstPause = 100 * time.Millisecond
	longPause  = time.Second
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
	Read(ctx context.Context, key string) (keyvalue.Entry, error)
	// Put writes a key if it still stands at revision; zero means that it must
	// not exist.
	Put(ctx context.Context, key string, value []byte, revision int64) (keyvalue.Outcome, error)
}

// Layout is where things lie in the store and what they look like.
type Layout interface {
	ConfigurationKey() string
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

	table Table
	hosts map[string]string
	// kept holds the revisions of what was kept, for the one who keeps.
	kept map[string]int64
	// lost is set from a failed call until one succeeds, at regained.
	lost     bool
	since    time.Time
	regained time.Time
	pause    time.Duration
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
	go s.run(ctx)
	go s.loop(ctx)
	return nil
}

// Stop has nothing to end beyond the context.
func (s *Service) Stop(context.Context) error { return nil }

// run lists all keys and then watches them, and lists them again where changes
// were missed.
func (s *Service) run(ctx context.Context) {
	revision, known := int64(0), false
	for ctx.Err() == nil {
		asked := boottime.Now()
		var err error
		if known {
			revision, err = s.watch(ctx, revision)
		} else {
			revision, err = s.list(ctx)
		}
		var compacted *keyvalue.CompactedError
		if errors.As(err, &compacted) {
			s.common.Log.Info("store changes were dropped, listing again", zap.Int64("revision", revision))
			known = false
			continue
		}
		if err != nil {
			s.storeLost(ctx, err)
			continue
		}
		known = true
		s.storeFound()
		s.release.Confirm(asked)
		if s.table.Expire(time.Now()) {
			s.release.Found(s.table.ByService())
		}
	}
}

func (s *Service) storeLost(ctx context.Context, err error) {
	if !s.lost {
		s.lost, s.since = true, time.Now()
		s.common.Log.Warn("store lost", zap.Error(err))
	}
	s.common.Count("store.failed")
	s.pause = min(max(2*s.pause, firstPause), longPause)
	if s.table.Expire(time.Now()) {
		s.release.Found(s.table.ByService())
	}
	select {
	case <-ctx.Done():
	case <-time.After(s.pause):
	}
}

func (s *Service) storeFound() {
	if s.lost {
		s.regained = time.Now()
		s.common.Log.Info("store regained", zap.Duration("after", time.Since(s.since)))
	}
	s.lost, s.pause = false, 0
}

// lapseUntil gives until when an endpoint is used whose entry is missing.
func (s *Service) lapseUntil() time.Time {
	until := s.regained.Add(lapseGrace)
	if latest := time.Now().Add(goneGrace); s.lost || latest.Before(until) {
		until = latest
	}
	return until
}

func (s *Service) list(ctx context.Context) (int64, error) {
	listing, err := s.store.List(ctx, "")
	if err != nil {
		return 0, err
	}
	var standing []string
	for _, e := range listing.Entries {
		s.take(e)
		if name, isEndpoint := s.layout.EndpointName(e.Key); isEndpoint {
			standing = append(standing, name)
		}
	}
	for _, name := range s.table.Names() {
		if !slices.Contains(standing, name) {
			s.remove(name, listing.Revision)
		}
	}
	s.release.Found(s.table.ByService())
	s.tellHosts()
	return listing.Revision, nil
}

func (s *Service) watch(ctx context.Context, revision int64) (int64, error) {
	changes, err := s.store.Watch(ctx, "", revision, watchWait)
	if err != nil {
		return revision, err
	}
	changed := false
	for _, c := range changes.Changes {
		name, isEndpoint := s.layout.EndpointName(c.Entry.Key)
		switch {
		case c.Removed && isEndpoint:
			changed = s.remove(name, c.Entry.Revision) || changed
		case !c.Removed:
			changed = s.take(c.Entry) || changed
		}
	}
	if changed {
		s.release.Found(s.table.ByService())
		s.tellHosts()
	}
	return changes.Revision, nil
}

func (s *Service) remove(name string, revision int64) bool {
	until := s.lapseUntil()
	if !s.table.Remove(name, revision, until) {
		return false
	}
	s.common.Log.Info("endpoint entry gone", zap.String("endpoint", name), zap.Int64("revision", revision),
		zap.Bool("may-come-back", time.Now().Before(until)))
	s.table.Expire(time.Now())
	return true
}

// take takes in one entry, and tells whether endpoints or hosts changed.
func (s *Service) take(e keyvalue.Entry) bool {
	if e.Key == s.layout.ConfigurationKey() {
		version, declared, err := s.layout.Configuration(e.Value)
		if err != nil {
			s.common.Log.Error("configuration cannot be read", zap.Int64("revision", e.Revision), zap.Error(err))
			return false
		}
		s.release.Install(version, declared)
		return false
	}
	if name, isHost := s.layout.HostName(e.Key); isHost {
		return s.takeHost(name, string(e.Value))
	}
	name, isEndpoint := s.layout.EndpointName(e.Key)
	if !isEndpoint {
		return false
	}
	service, endpoint, err := s.layout.Endpoint(name, e.Value)
	if err != nil {
		s.common.Log.Warn("endpoint entry not used", zap.String("endpoint", name), zap.Error(err))
		return s.remove(name, e.Revision)
	}
	changed := s.table.Put(service, endpoint, e.Revision)
	if changed {
		s.common.Log.Info("endpoint found", zap.String("endpoint", name), zap.String("service", service),
			zap.String("address", endpoint.Address), zap.Bool("leaving", endpoint.Leaving), zap.Int64("revision", e.Revision))
	}
	return changed
}

func (s *Service) takeHost(name, address string) bool {
	if _, err := netip.ParseAddrPort(address); err != nil || s.hosts[name] == address {
		return false
	}
	s.hosts[name] = address
	return true
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

// loop registers this host, until that is done.
func (s *Service) loop(ctx context.Context) {
	for !s.register(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(longPause):
		}
	}
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

// Kept reads what was kept; nil if nothing was.
func (s *Service) Kept(ctx context.Context, key string) ([]byte, error) {
	entry, err := s.store.Read(ctx, s.layout.KeptKey(key))
	return entry.Value, err
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
