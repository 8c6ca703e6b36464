// Package release holds the configuration in force on this host and replaces it
// when a newer version is found. A release is one accepted revision of the
// configuration.
//
// The configuration comes from one of two sources. With a configuration store, a few
// hosts of each data centre read the key-value service every second. The other hosts
// learn of a new version from heartbeats and fetch it from a host that has it.
// Polling every second is preferred to a watch because it costs the service no more,
// and because a watch on a dead connection looks like one without changes. Without a
// configuration store, package discovery watches the platform's store and calls
// Install.
//
// Versions only rise. An older version is refused and counted, whatever its source.
package release

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/boottime"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

const (
	// readersPerDataCentre is how many hosts of a data centre read the key-value
	// service, every readInterval.
	readersPerDataCentre = 2
	readInterval         = time.Second
	// fetchInterval is how often a host checks whether another one has a newer
	// version.
	fetchInterval = 200 * time.Millisecond
	// isolationTimeout is how long a host that is in touch with no other host stays
	// ready without a successful read of the key-value service.
	isolationTimeout = 15 * time.Second
)

// InForce is the configuration in force on this host, with its version.
type InForce struct {
	Version       int64
	Configuration configuration.Configuration
	// Index finds the routes and customers of the configuration.
	Index *configuration.Index
	// release is the encoded form that other hosts fetch; empty without a
	// configuration store.
	release configuration.Release
}

// Service holds the configuration in force.
type Service struct {
	common *common.Common
	// configurationStore reads releases from the key-value service; nil if Install
	// provides the configurations.
	configurationStore *configuration.Store
	members            *membership.Service
	peers              *peer.Service

	inForce atomic.Pointer[InForce]
	// lastRead is the Unix time of the last successful read of the key-value
	// service, in nanoseconds.
	lastRead atomic.Int64
	// mu serializes changes of inForce and guards foundEndpoints.
	mu sync.Mutex
	// foundEndpoints holds the endpoints found in the platform's store, by service;
	// nil if the configuration lists the endpoints itself.
	foundEndpoints map[string][]configuration.Endpoint
	// left holds the names of the endpoints that have left.
	left atomic.Pointer[map[string]bool]
	// provenAt is the latest boot time at which the version in force was proven to
	// be the newest, in nanoseconds; zero if it never was.
	provenAt atomic.Int64
	// endpointsSyncedAt is the latest boot time up to which this host knows all changes
	// of endpoints, in nanoseconds; zero if it never did.
	endpointsSyncedAt atomic.Int64
	// now returns the boot time; tests replace it.
	now func() time.Duration
}

// releaseReply is the answer to a host that fetches the release in force.
type releaseReply struct {
	Version int64    `cbor:"1,keyasint"`
	Change  string   `cbor:"2,keyasint"`
	By      string   `cbor:"3,keyasint"`
	Text    string   `cbor:"4,keyasint"`
	Earlier []string `cbor:"5,keyasint,omitempty"`
}

// New returns a service without a configuration. If configurationStore is nil, the
// configurations come from calls of Install.
func New(c *common.Common, configurationStore *configuration.Store) *Service {
	return &Service{common: c, configurationStore: configurationStore, now: boottime.Now}
}

// Start looks up the services it needs. With a configuration store it begins to read
// the key-value service and to exchange releases with other hosts.
func (s *Service) Start(ctx context.Context) error {
	members, err := kernel.Lookup[*membership.Service](s.common.Kernel, kernel.Membership)
	if err != nil {
		return err
	}
	peers, err := kernel.Lookup[*peer.Service](s.common.Kernel, kernel.Peer)
	if err != nil {
		return err
	}
	s.members, s.peers = members, peers
	s.lastRead.Store(time.Now().UnixNano())
	if s.configurationStore == nil {
		// Package discovery watches the platform's store and calls Install.
		return nil
	}
	peers.Handle(kernel.Release, s.answerFetch)
	go s.run(ctx)
	go s.loop(ctx)
	return nil
}

// Stop does nothing: the context of Start ends all goroutines.
func (s *Service) Stop(context.Context) error { return nil }

// Current returns the configuration in force, or nil before the first one.
func (s *Service) Current() *InForce { return s.inForce.Load() }

// Ready reports whether this host may serve requests. It needs a configuration. With
// a configuration store, it must not be cut off from both the key-value service and
// all other hosts; without one, the configuration must be proven recent.
func (s *Service) Ready() bool {
	if s.Current() == nil {
		return false
	}
	if s.configurationStore == nil {
		return s.ProofIsFresh(readyReserve)
	}
	sinceRead := time.Since(time.Unix(0, s.lastRead.Load()))
	return sinceRead < isolationTimeout || !s.members.Isolated()
}

// run reads the key-value service every readInterval while this host is one of
// the readers.
func (s *Service) run(ctx context.Context) {
	for {
		if s.isReader() {
			s.readRegister(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(readInterval):
		}
	}
}

// isReader reports whether this host reads the key-value service itself.
func (s *Service) isReader() bool {
	if s.Current() == nil || s.members.Isolated() {
		return true
	}
	var sameDataCentre []string
	for _, m := range s.members.Members() {
		if m.DataCentre == s.common.Settings.DataCentre && m.State == membership.Alive {
			sameDataCentre = append(sameDataCentre, m.Identity.Name)
		}
	}
	for _, name := range host.Ranked(sameDataCentre, "configuration", readersPerDataCentre) {
		if name == s.common.Self.Name {
			return true
		}
	}
	return false
}

// readRegister reads the newest release from the key-value service and installs it.
func (s *Service) readRegister(ctx context.Context) {
	current, err := s.configurationStore.Current(ctx)
	if err != nil {
		s.common.Count("release.read.failed")
		return
	}
	s.lastRead.Store(time.Now().UnixNano())
	if current.Version > 0 {
		s.installRelease(current, "key-value service")
	}
}

// loop fetches the newest version from a host that has it.
func (s *Service) loop(ctx context.Context) {
	for {
		if address, newer := s.newestHost(); newer {
			s.fetch(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(fetchInterval):
		}
	}
}

// newestHost returns the address of the host with the newest version, if that is
// newer than the version in force here.
func (s *Service) newestHost() (address string, newer bool) {
	version := s.InForceVersion()
	for _, m := range s.members.Members() {
		if m.Version > version {
			version, address, newer = m.Version, m.Address, true
		}
	}
	return address, newer
}

// InForceVersion returns the version in force; zero before the first one.
func (s *Service) InForceVersion() int64 {
	if current := s.Current(); current != nil {
		return current.Version
	}
	return 0
}

// fetch fetches and installs the release in force on another host.
func (s *Service) fetch(ctx context.Context, address string) {
	reply, err := s.peers.Call(ctx, address, kernel.Release, nil)
	if err != nil {
		return
	}
	var r releaseReply
	if err := cbor.Unmarshal(reply, &r); err != nil {
		s.common.Count("release.refused.malformed")
		return
	}
	s.installRelease(configuration.Release(r), "host at "+address)
}

// answerFetch answers another host's request for the release in force.
func (s *Service) answerFetch(host.Identity, []byte) ([]byte, error) {
	current := s.Current()
	if current == nil {
		return nil, &peer.RefusedError{Reason: "no configuration here yet"}
	}
	return cbor.Marshal(releaseReply(current.release))
}

// installRelease decodes a release and brings it into force if it is newer than the
// one in force. An older or invalid one is refused, logged and counted.
func (s *Service) installRelease(r configuration.Release, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.InForceVersion()
	if r.Version < version {
		s.common.Count("release.refused.older")
		s.common.Log.Warn("older configuration refused", zap.String("source", source), zap.Int64("offered", r.Version), zap.Int64("in-force", version))
		return
	}
	if r.Version == version {
		return
	}
	decoded, err := r.Decode()
	if err != nil {
		s.common.Count("release.refused.invalid")
		s.common.Log.Error("invalid configuration refused", zap.String("source", source), zap.Error(errors.Wrapf(err, "version %d", r.Version)))
		return
	}
	s.inForce.Store(&InForce{Version: r.Version, Configuration: decoded, Index: configuration.NewIndex(&decoded), release: r})
	s.members.SetVersion(r.Version)
	s.common.Log.Info("configuration in force", zap.Int64("version", r.Version), zap.String("change", r.Change), zap.String("source", source))
	s.common.Kernel.Publish(kernel.ConfigurationChanged, nil)
}
