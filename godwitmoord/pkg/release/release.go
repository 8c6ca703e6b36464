// Package release brings the configuration into force on this host.
//
// A few hosts of each data centre read the platform's key-value service every
// second; the rest hear of a new version with the heartbeats and fetch it from
// whoever has it. A plain read each second was chosen over a watch: it costs the
// service no more, and a watch whose connection went silent looks like quiet.
//
// Versions only rise. An older one, from whichever side, is refused and counted.
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
	// readersPerDataCentre is how many hosts of a data centre read the service.
	readersPerDataCentre = 2
	readInterval         = time.Second
	spreadInterval       = 200 * time.Millisecond
	// isolationAfter is how long a host without any other host may go without
	// a word of the service before it stops being ready.
	isolationAfter = 15 * time.Second
)

// InForce is the configuration in force here, with its version.
type InForce struct {
	Version       int64
	Configuration configuration.Configuration
	// Index finds the routes and customers of the configuration.
	Index   *configuration.Index
	release configuration.Release
}

// Service holds the configuration in force.
type Service struct {
	common   *common.Common
	register *configuration.Register
	members  *membership.Service
	peers    *peer.Service

	inForce  atomic.Pointer[InForce]
	lastRead atomic.Int64
	mu       sync.Mutex
	// sights is what was found of endpoints; nil where the configuration lists
	// them itself.
	sights map[string][]configuration.Endpoint
	// left holds the endpoints that are known to have left.
	left atomic.Pointer[map[string]bool]
	// confirmed is the boot time at which the version in force was known to be
	// the newest, in nanoseconds; zero if it never was.
	confirmed atomic.Int64
	// now gives the boot time; tests replace it.
	now func() time.Duration
}

type releaseReply struct {
	Version int64    `cbor:"1,keyasint"`
	Change  string   `cbor:"2,keyasint"`
	By      string   `cbor:"3,keyasint"`
	Text    string   `cbor:"4,keyasint"`
	Earlier []string `cbor:"5,keyasint,omitempty"`
}

// New makes the service. Without a register, Install brings configurations.
func New(c *common.Common, register *configuration.Register) *Service {
	return &Service{common: c, register: register, now: boottime.Now}
}

// Start begins reading and fetching.
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
	if s.register == nil {
		// A follower of the platform's store installs what it finds.
		return nil
	}
	peers.Handle(kernel.Release, s.give)
	go s.run(ctx)
	go s.loop(ctx)
	return nil
}

// Stop has nothing to end beyond the context.
func (s *Service) Stop(context.Context) error { return nil }

// Current gives what is in force, or nil before the first configuration.
func (s *Service) Current() *InForce { return s.inForce.Load() }

// Ready tells whether this host may serve: it has a configuration and is not
// cut off from both the service and all other hosts.
func (s *Service) Ready() bool {
	if s.Current() == nil {
		return false
	}
	if s.register == nil {
		return s.KeysTrusted(readyReserve)
	}
	sinceRead := time.Since(time.Unix(0, s.lastRead.Load()))
	return sinceRead < isolationAfter || !s.members.Alone()
}

// run reads the service where this host is one of the readers.
func (s *Service) run(ctx context.Context) {
	for {
		if s.isReader() {
			s.read(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(readInterval):
		}
	}
}

func (s *Service) isReader() bool {
	if s.Current() == nil || s.members.Alone() {
		return true
	}
	var near []string
	for _, m := range s.members.Members() {
		if m.DataCentre == s.common.Settings.DataCentre && m.State == membership.Alive {
			near = append(near, m.Identity.Name)
		}
	}
	for _, name := range host.Ranked(near, "configuration", readersPerDataCentre) {
		if name == s.common.Self.Name {
			return true
		}
	}
	return false
}

func (s *Service) read(ctx context.Context) {
	current, err := s.register.Current(ctx)
	if err != nil {
		s.common.Count("release.read.failed")
		return
	}
	s.lastRead.Store(time.Now().UnixNano())
	if current.Version > 0 {
		s.adopt(current, "key-value service")
	}
}

// loop fetches a newer version from the host that has it.
func (s *Service) loop(ctx context.Context) {
	for {
		if address, newer := s.newest(); newer {
			s.fetch(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(spreadInterval):
		}
	}
}

func (s *Service) newest() (address string, newer bool) {
	version := s.InForceVersion()
	for _, m := range s.members.Members() {
		if m.Version > version {
			version, address, newer = m.Version, m.Address, true
		}
	}
	return address, newer
}

// InForceVersion gives the version in force; zero before the first.
func (s *Service) InForceVersion() int64 {
	if current := s.Current(); current != nil {
		return current.Version
	}
	return 0
}

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
	s.adopt(configuration.Release(r), "host at "+address)
}

// give hands the release in force to another host.
func (s *Service) give(host.Identity, []byte) ([]byte, error) {
	current := s.Current()
	if current == nil {
		return nil, &peer.RefusedError{Why: "no configuration here yet"}
	}
	return cbor.Marshal(releaseReply(current.release))
}

// adopt brings a release into force if it is newer than the one in force.
func (s *Service) adopt(r configuration.Release, source string) {
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
	s.common.Kernel.Announce(kernel.ConfigurationChanged, nil)
}
