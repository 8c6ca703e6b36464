package release

import (
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/godwitmoord/pkg/kernel"
)

const (
	// acceptKeysReserve is how long before the key revocation bound this host stops
	// accepting customers' keys, to leave time for requests in progress.
	acceptKeysReserve = 300 * time.Millisecond
	// readyReserve is how long before the same bound this host reports that it is
	// not ready, because the balancer takes a few seconds to react.
	readyReserve = 1500 * time.Millisecond
)

// Install brings a configuration into force if it is newer than the one in force,
// and adds the endpoints found in the platform's store. An older version is refused,
// logged and counted.
func (s *Service) Install(version int64, c configuration.Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inForceVersion := s.InForceVersion()
	if version < inForceVersion {
		s.common.Count("release.refused.older")
		s.common.Log.Warn("older configuration refused", zap.Int64("offered", version), zap.Int64("in-force", inForceVersion))
		return
	}
	if version == inForceVersion {
		return
	}
	s.setInForce(version, c)
	s.common.Log.Info("configuration in force", zap.Int64("version", version), zap.Int64("before", inForceVersion),
		zap.Int("routes", len(c.Routes)), zap.Int("customers", len(c.Customers)))
}

// SetEndpoints replaces the endpoints found, by service, and the names of those that
// have left, and updates the configuration in force accordingly.
func (s *Service) SetEndpoints(endpoints map[string][]configuration.Endpoint, left map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.foundEndpoints = endpoints
	s.left.Store(&left)
	if current := s.Current(); current != nil {
		s.setInForce(current.Version, current.Configuration)
	}
}

// HasLeft reports whether an endpoint is known to have left.
func (s *Service) HasLeft(endpoint string) bool {
	left := s.left.Load()
	return left != nil && (*left)[endpoint]
}

// RecordEndpointsSync records that this host knows all changes of endpoints up to the
// given boot time.
func (s *Service) RecordEndpointsSync(upTo time.Duration) {
	s.endpointsSyncedAt.Store(max(s.endpointsSyncedAt.Load(), int64(upTo)))
}

// EndpointsAge returns for how long endpoints may have changed without the knowledge of
// this host; zero if it never had a list of them.
func (s *Service) EndpointsAge() time.Duration {
	syncedAt := time.Duration(s.endpointsSyncedAt.Load())
	if syncedAt == 0 {
		return 0
	}
	return max(s.now()-syncedAt, 1)
}

// setInForce brings a configuration with the endpoints found into force. The caller
// holds s.mu.
func (s *Service) setInForce(version int64, c configuration.Configuration) {
	c = c.WithEndpoints(s.foundEndpoints)
	s.inForce.Store(&InForce{Version: version, Configuration: c, Index: configuration.NewIndex(&c)})
	s.members.SetVersion(version)
	s.common.Kernel.Publish(kernel.ConfigurationChanged, nil)
}

// RecordProof records that the version in force was the newest at the given boot
// time, as boottime.Now returns it. The time must not be later than the moment at
// which the store had no newer version, so it is usually taken before the call that
// proves it. Times before the last proof are ignored.
func (s *Service) RecordProof(at time.Duration) {
	for latest := s.provenAt.Load(); int64(at) > latest; latest = s.provenAt.Load() {
		if s.provenAt.CompareAndSwap(latest, int64(at)) {
			return
		}
	}
}

// Age returns how long ago a version was proven to be the newest; zero if it never
// was, or if it is not the version in force.
func (s *Service) Age(version int64) time.Duration {
	provenAt := time.Duration(s.provenAt.Load())
	if provenAt == 0 || version != s.InForceVersion() {
		return 0
	}
	return max(s.now()-provenAt, 1)
}

// RecordPeerProof records another host's proof that a version was the newest at the given
// boot time. With it, a host that cannot reach the store goes on serving while
// other hosts can.
func (s *Service) RecordPeerProof(version int64, at time.Duration) {
	if version > 0 && version == s.InForceVersion() {
		s.RecordProof(at)
	}
}

// ProofIsFresh reports whether the age of the last proof is below the key revocation
// bound less the reserve. A customer's key that is valid in the configuration in
// force can then have been revoked no longer ago than that. With a configuration
// store there is no such bound.
func (s *Service) ProofIsFresh(reserve time.Duration) bool {
	if s.configurationStore != nil {
		return true
	}
	provenAt := time.Duration(s.provenAt.Load())
	revocationBound := s.common.Settings.Platform.KeyRevocation.Std()
	return provenAt > 0 && s.now()-provenAt < revocationBound-reserve
}

// AcceptsKeys reports whether requests with customers' keys may be served now.
func (s *Service) AcceptsKeys() bool { return s.ProofIsFresh(acceptKeysReserve) }
