package release

import (
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/godwitmoord/pkg/kernel"
)

const (
	// keyReserve is how long before the bound for keys taken away this host
	// stops to trust those it knows, for requests that are under way.
	keyReserve = 300 * time.Millisecond
	// readyReserve is the same for reports of being ready, which the balancer
	// takes a few seconds to follow.
	readyReserve = 1500 * time.Millisecond
)

// Install brings a configuration into force if its version is not older than
// the one in force. Endpoints are added from what was found of them.
func (s *Service) Install(version int64, c configuration.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.InForceVersion()
	if version < known {
		s.common.Count("release.refused.older")
		s.common.Log.Warn("older configuration refused", zap.Int64("offered", version), zap.Int64("in-force", known))
		return
	}
	if version == known {
		return
	}
	s.put(version, c)
	s.common.Log.Info("configuration in force", zap.Int64("version", version), zap.Int64("before", known),
		zap.Int("routes", len(c.Routes)), zap.Int("customers", len(c.Customers)))
}

// Found replaces what was found of endpoints, by service, and which of them have
// left.
func (s *Service) Found(sights map[string][]configuration.Endpoint, left map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sights = sights
	s.left.Store(&left)
	if current := s.Current(); current != nil {
		s.put(current.Version, current.Configuration)
	}
}

// HasLeft tells whether this host knows that an endpoint has left.
func (s *Service) HasLeft(endpoint string) bool {
	left := s.left.Load()
	return left != nil && (*left)[endpoint]
}

// put stores a configuration with the endpoints found; s.mu is held.
func (s *Service) put(version int64, c configuration.Configuration) {
	c = c.WithEndpoints(s.sights)
	s.inForce.Store(&InForce{Version: version, Configuration: c, Index: configuration.NewIndex(&c)})
	s.members.SetVersion(version)
	s.common.Kernel.Announce(kernel.ConfigurationChanged, nil)
}

// Confirm notes that the version in force was the newest at a moment, as
// boottime.Now gave it before the platform was asked.
func (s *Service) Confirm(at time.Duration) {
	for known := s.confirmed.Load(); int64(at) > known; known = s.confirmed.Load() {
		if s.confirmed.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// Age gives how long ago a version was proven to be the newest; zero if it never
// was, or is not the one in force.
func (s *Service) Age(version int64) time.Duration {
	confirmed := time.Duration(s.confirmed.Load())
	if confirmed == 0 || version != s.InForceVersion() {
		return 0
	}
	return max(s.now()-confirmed, 1)
}

// Learn takes in that another host knew a version to be the newest: so a host
// that the store turns away goes on serving while others reach it.
func (s *Service) Learn(version int64, at time.Duration) {
	if version > 0 && version == s.InForceVersion() {
		s.Confirm(at)
	}
}

// KeysTrusted tells whether the keys of customers known here can't have been
// taken away for longer than allowed, with a reserve beside.
func (s *Service) KeysTrusted(reserve time.Duration) bool {
	if s.register != nil {
		return true
	}
	confirmed := time.Duration(s.confirmed.Load())
	bound := s.common.Settings.Platform.KeyRevocation.Std()
	return confirmed > 0 && s.now()-confirmed < bound-reserve
}

// AcceptsKeys tells whether requests of customers may be served now.
func (s *Service) AcceptsKeys() bool { return s.KeysTrusted(keyReserve) }
