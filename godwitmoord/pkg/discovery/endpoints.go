package discovery

import (
	"context"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

// applyEndpoints applies the result of a listing or a watch of the endpoints, and
// passes what is new on to the other hosts.
func (s *Service) applyEndpoints(u update) {
	s.observeRevision(u.revision)
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := u.complete
	u.initial = u.complete && s.table.Empty()
	present := map[string]bool{}
	for _, c := range u.changes {
		name, isEndpoint := s.layout.EndpointName(c.Entry.Key)
		if !isEndpoint {
			continue
		}
		present[name] = !c.Removed
		applied, usable := s.applyChange(name, c, s.graceLeft(u.age))
		changed = changed || applied
		if usable || applied {
			s.share(keyvalue.Change{Entry: c.Entry, Removed: !usable}, u)
		}
	}
	if u.complete {
		for _, name := range s.table.PresentNames() {
			if !present[name] {
				s.applyMissing(name, u)
			}
		}
	}
	if changed {
		s.release.SetEndpoints(s.table.ByService(), s.table.Left())
	}
	s.syncedRevision = max(s.syncedRevision, u.revision)
}

// applyChange applies a change of one entry. It reports whether that changed anything,
// and whether the entry describes an endpoint. If it does not, or was removed, the
// endpoint stays in use for the given grace.
func (s *Service) applyChange(name string, c keyvalue.Change, grace time.Duration) (changed, usable bool) {
	if c.Removed {
		return s.markMissing(name, c.Entry.Revision, grace), false
	}
	service, endpoint, err := s.layout.Endpoint(name, c.Entry.Value)
	if err != nil {
		s.common.Log.Warn("endpoint entry not used", zap.String("endpoint", name), zap.Error(err))
		return s.markMissing(name, c.Entry.Revision, grace), false
	}
	endpoint = s.versioned(endpoint)
	if s.table.LeftBefore(endpoint, c.Entry.Revision) {
		s.common.Count("store.endpoints.older")
		s.common.Log.Info("entry of an endpoint that left before the store was restored", zap.String("endpoint", name), zap.Int64("revision", c.Entry.Revision))
		return false, false
	}
	changed = s.table.Put(service, endpoint, c.Entry.Revision)
	if changed {
		s.common.Log.Info("endpoint found", zap.String("endpoint", name), zap.String("service", service),
			zap.String("address", endpoint.Address), zap.Bool("leaving", endpoint.Leaving), zap.Int64("revision", c.Entry.Revision))
	}
	return changed, true
}

// applyMissing applies that a listing lacks the entry of an endpoint.
func (s *Service) applyMissing(name string, u update) {
	if s.markMissing(name, u.revision, s.graceLeft(u.age)) {
		removal := keyvalue.Entry{Key: s.layout.EndpointPrefix() + name, Revision: u.revision}
		s.share(keyvalue.Change{Entry: removal, Removed: true}, u)
	}
}

// loop takes endpoints out of use in time, also while a long watch is in
// progress.
func (s *Service) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(endpointsCheckInterval):
		}
		s.expire()
	}
}

// endpointsWatchDuration returns how long the next watch of the endpoints lasts
// without changes.
func (s *Service) endpointsWatchDuration() time.Duration {
	if s.duty() == proves {
		return proverWatchDuration
	}
	return listenerWatchDuration
}

// endpointsBatchDelay returns the pause after a watch that returned changes of
// endpoints.
func (s *Service) endpointsBatchDelay() time.Duration {
	if s.duty() == proves {
		return s.budget().shortPause()
	}
	return s.budget().longPause()
}

// recordSync records up to when the changes of endpoints are known, and takes endpoints
// out of use. After a failed call the boot time is zero.
func (s *Service) recordSync(upTo time.Duration) {
	s.release.RecordEndpointsSync(upTo)
	s.expire()
}

// expire takes endpoints out of use whose entries did not come back in time.
func (s *Service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Expire(time.Now()) {
		s.release.SetEndpoints(s.table.ByService(), s.table.Left())
	}
}

// graceLeft returns how long an endpoint stays in use whose entry went missing up to
// age ago. Except on a prover it does not depend on the host's own view of the store,
// since a long watch may not have noticed an outage.
func (s *Service) graceLeft(age time.Duration) time.Duration {
	longest := s.budget().grace() - age
	if s.endpoints.lost || s.duty() != proves {
		return longest
	}
	backAt := s.endpoints.regainedAt
	if restoredAt, _ := s.eras.last(); restoredAt.After(backAt) {
		// Another host may have told this one of the restore before it called the store.
		backAt = restoredAt
	}
	return min(longest, time.Until(backAt.Add(outageGrace)))
}

// markMissing marks the entry of an endpoint as missing and reports whether that
// changed anything. The endpoint stays in use for the given grace.
func (s *Service) markMissing(name string, revision int64, grace time.Duration) bool {
	now := time.Now()
	if !s.table.MarkMissing(name, revision, now.Add(grace)) {
		return false
	}
	s.common.Log.Info("endpoint entry gone", zap.String("endpoint", name), zap.Int64("revision", revision),
		zap.Bool("may-come-back", grace > 0))
	s.table.Expire(now)
	return true
}
