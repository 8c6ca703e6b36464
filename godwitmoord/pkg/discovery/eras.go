package discovery

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/notice"
)

// eraRecord records in which era the store is, as far as this host knows. The zero value
// knows nothing. It reads no clock: callers pass the time.
type eraRecord struct {
	mu    sync.Mutex
	known bool
	era   int64
	// restoredAt is when the era rose last; zero if it never did here.
	restoredAt time.Time
}

// observe records an era, and returns the one known before and whether the store was
// restored since. The first era that a host learns is not a restore, as it has written
// nothing before.
func (r *eraRecord) observe(era int64, now time.Time) (before int64, restored bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.era
	if r.known && era <= r.era {
		return before, false
	}
	restored = r.known
	r.known, r.era = true, era
	if restored {
		r.restoredAt = now
	}
	return before, restored
}

// last returns when this host saw the store come back from an earlier copy, zero if it
// did not, and whether the store ever was restored.
func (r *eraRecord) last() (at time.Time, ever bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restoredAt, r.era > 0
}

// RestoredAt returns when this host saw the store come back from an earlier copy, zero if
// that was before the host first heard of the store, and whether the store ever did.
func (s *Service) RestoredAt() (at time.Time, ever bool) { return s.eras.last() }

// observeRevision records the era of a revision that the store or another host stated. If
// it shows that the store was restored, what this host wrote there is written again.
func (s *Service) observeRevision(revision int64) {
	era := keyvalue.EraOf(revision)
	before, restored := s.eras.observe(era, time.Now())
	if !restored {
		return
	}
	s.common.Count("store.restored")
	s.common.Log.Warn("store came back from an earlier copy", zap.Int64("era", era), zap.Int64("before", before))
	select {
	case s.restored <- struct{}{}:
	default:
	}
	s.common.Kernel.Publish(kernel.StoreRestored, nil)
}

// heldConfiguration is the newest configuration that a host knows, as it is passed on.
type heldConfiguration struct {
	version int64
	body    []byte
}

// holdConfiguration records a configuration that is in force, with the body of its notice.
func (s *Service) holdConfiguration(version int64, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.held.version {
		s.held = heldConfiguration{version: version, body: body}
	}
}

// isBehind reports whether a restored store holds an older version of the configuration
// than this host or another one has in force.
func (s *Service) isBehind(revision, version int64) bool {
	if keyvalue.EraOf(revision) == 0 {
		return false
	}
	return version < max(s.release.InForceVersion(), s.members.NewestVersion())
}

// provesNewest reports whether what this host read last of the configuration shows that
// the version in force is the newest. In a store that was never restored, versions don't
// go back, so each reading does. A host that starts must first know what others have.
func (s *Service) provesNewest() bool {
	if _, ever := s.eras.last(); !ever {
		return true
	}
	return s.members.FleetDiscovered() && s.storeVersion.Load() >= max(s.release.InForceVersion(), s.members.NewestVersion())
}

// passOnNewer answers an older configuration in a restored store, or the notice of one, by
// the newer one that this host holds. Without it, hosts that start would get the older one.
func (s *Service) passOnNewer(revision, version int64) {
	s.mu.Lock()
	held := s.held
	s.mu.Unlock()
	s.common.Count("store.configurations.older")
	if s.olderLogged.Swap(revision) != revision {
		s.common.Log.Warn("older configuration in the restored store", zap.Int64("era", keyvalue.EraOf(revision)), zap.Int64("offered", version),
			zap.Int64("in-force", s.release.InForceVersion()), zap.Int64("newest-elsewhere", s.members.NewestVersion()))
	}
	if held.version > version {
		s.notices.Publish(notice.Notice{
			Topic: storeTopic, Subject: s.layout.ConfigurationKey(), Version: configurationRank(revision, held.version), Body: held.body,
		})
	}
}

// configurationRank returns the version of the notice of a configuration that was read at
// a revision. In a restored store a later revision may hold an older configuration, so
// its own version takes the place of the revision within the era.
func configurationRank(revision, version int64) int64 {
	era := keyvalue.EraOf(revision)
	if era == 0 {
		return revision
	}
	return keyvalue.InEra(era, version)
}
