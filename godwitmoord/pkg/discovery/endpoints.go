package discovery

import (
	"context"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

// applyEndpoints applies the result of a listing or a watch of the endpoints.
func (s *Service) applyEndpoints(u update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := u.complete
	present := map[string]bool{}
	for _, c := range u.changes {
		s.newestChange = max(s.newestChange, c.Entry.Revision)
		name, isEndpoint := s.layout.EndpointName(c.Entry.Key)
		switch {
		case !isEndpoint:
		case c.Removed:
			changed = s.markMissing(name, c.Entry.Revision) || changed
		default:
			present[name] = true
			changed = s.applyEntry(name, c.Entry) || changed
		}
	}
	if u.complete {
		for _, name := range s.table.PresentNames() {
			if !present[name] {
				s.markMissing(name, u.revision)
			}
		}
	}
	if changed {
		s.release.SetEndpoints(s.table.ByService(), s.table.Left())
	}
	s.syncedRevision = max(s.syncedRevision, s.newestChange)
	if u.complete {
		s.syncedRevision = max(s.syncedRevision, u.revision)
	}
	s.members.SetEndpointsRevision(s.newestChange)
}

// loop takes endpoints out of use in time, also while a long watch is in
// progress. It lists the endpoints again if other hosts have seen a change that
// this host's watch did not return.
func (s *Service) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(endpointsCheckInterval):
		}
		s.expire()
		if s.isBehind() {
			s.endpoints.requestListing()
		}
	}
}

// isBehind reports whether another host has reported a newer change of endpoints
// for longer than maxBehind, so that this host's watch should have returned it.
func (s *Service) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.members.NewestEndpointsRevision() <= s.syncedRevision:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = time.Now()
	case time.Since(s.behindSince) > maxBehind:
		s.behindSince = time.Time{}
		return true
	}
	return false
}

// SetOwner records whether this host owns a service. A host that becomes an owner
// lists the endpoints at once instead of waiting for its long watch.
func (s *Service) SetOwner(owner bool) {
	if was := s.ownsNoService.Swap(!owner); was && owner {
		s.endpoints.requestListing()
	}
}

// endpointsWatchDuration returns how long the next watch of the endpoints lasts
// without changes.
func (s *Service) endpointsWatchDuration() time.Duration {
	if s.ownsNoService.Load() {
		return nonOwnerWatchDuration
	}
	return ownerWatchDuration
}

// endpointsBatchDelay returns the pause after a watch that returned changes of
// endpoints.
func (s *Service) endpointsBatchDelay() time.Duration {
	if s.ownsNoService.Load() {
		return nonOwnerBatchDelay
	}
	return ownerBatchDelay
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

// inUseUntil returns until when an endpoint whose entry went missing stays in
// use. On a host that owns no service that is always missingEntryGrace, since its
// long watch may not have noticed an outage of the store.
func (s *Service) inUseUntil() time.Time {
	if s.ownsNoService.Load() {
		return time.Now().Add(missingEntryGrace)
	}
	until := s.endpoints.regainedAt.Add(outageGrace)
	if latest := time.Now().Add(missingEntryGrace); s.endpoints.lost || latest.Before(until) {
		until = latest
	}
	return until
}

// markMissing marks the entry of an endpoint as missing and reports whether that
// changed anything.
func (s *Service) markMissing(name string, revision int64) bool {
	until := s.inUseUntil()
	if !s.table.MarkMissing(name, revision, until) {
		return false
	}
	s.common.Log.Info("endpoint entry gone", zap.String("endpoint", name), zap.Int64("revision", revision),
		zap.Bool("may-come-back", time.Now().Before(until)))
	s.table.Expire(time.Now())
	return true
}

// applyEntry applies one entry and reports whether that changed anything. An
// entry that cannot be decoded counts as missing.
func (s *Service) applyEntry(name string, e keyvalue.Entry) bool {
	service, endpoint, err := s.layout.Endpoint(name, e.Value)
	if err != nil {
		s.common.Log.Warn("endpoint entry not used", zap.String("endpoint", name), zap.Error(err))
		return s.markMissing(name, e.Revision)
	}
	changed := s.table.Put(service, endpoint, e.Revision)
	if changed {
		s.common.Log.Info("endpoint found", zap.String("endpoint", name), zap.String("service", service),
			zap.String("address", endpoint.Address), zap.Bool("leaving", endpoint.Leaving), zap.Int64("revision", e.Revision))
	}
	return changed
}
