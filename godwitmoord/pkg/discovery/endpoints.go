package discovery

import (
	"context"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

// takeEndpoints applies the result of a listing or a watch of the endpoints.
func (s *Service) takeEndpoints(u update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := u.complete
	standing := map[string]bool{}
	for _, c := range u.changes {
		s.told = max(s.told, c.Entry.Revision)
		name, isEndpoint := s.layout.EndpointName(c.Entry.Key)
		switch {
		case !isEndpoint:
		case c.Removed:
			changed = s.remove(name, c.Entry.Revision) || changed
		default:
			standing[name] = true
			changed = s.takeEndpoint(name, c.Entry) || changed
		}
	}
	if u.complete {
		for _, name := range s.table.Names() {
			if !standing[name] {
				s.remove(name, u.revision)
			}
		}
	}
	if changed {
		s.release.Found(s.table.ByService(), s.table.Left())
	}
	s.newest = max(s.newest, s.told)
	if u.complete {
		s.newest = max(s.newest, u.revision)
	}
	s.members.SetEndpoints(s.told)
}

// loop takes endpoints out of use in time, also while a long watch is in
// progress. It lists the endpoints again if other hosts have seen a change that
// this host's watch did not return.
func (s *Service) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(loopInterval):
		}
		s.expire(0)
		if s.isBehind() {
			s.endpoints.requestListing()
		}
	}
}

// isBehind reports whether another host has reported a newer change of endpoints
// for longer than this host's watch takes to return it.
func (s *Service) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.members.NewestEndpoints() <= s.newest:
		s.behind = time.Time{}
	case s.behind.IsZero():
		s.behind = time.Now()
	case time.Since(s.behind) > behindBound:
		s.behind = time.Time{}
		return true
	}
	return false
}

// Attend records whether this host owns a service. A host that becomes an owner
// lists the endpoints at once instead of waiting for its long watch.
func (s *Service) Attend(owner bool) {
	if was := s.casual.Swap(!owner); was && owner {
		s.endpoints.requestListing()
	}
}

func (s *Service) endpointsWait() time.Duration {
	if s.casual.Load() {
		return casualWait
	}
	return endpointsWait
}

func (s *Service) endpointsGather() time.Duration {
	if s.casual.Load() {
		return casualGather
	}
	return endpointsGather
}

// expire takes endpoints out of use whose entries did not come back in time.
func (s *Service) expire(time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Expire(time.Now()) {
		s.release.Found(s.table.ByService(), s.table.Left())
	}
}

// lapseUntil returns until when an endpoint whose entry went missing stays in
// use. On a host without services that is always goneGrace, since its long watch
// may not have noticed an outage of the store.
func (s *Service) lapseUntil() time.Time {
	if s.casual.Load() {
		return time.Now().Add(goneGrace)
	}
	until := s.endpoints.regainedAt.Add(lapseGrace)
	if latest := time.Now().Add(goneGrace); s.endpoints.lost || latest.Before(until) {
		until = latest
	}
	return until
}

// remove marks the entry of an endpoint as missing and reports whether that
// changed anything.
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

// takeEndpoint applies one entry and reports whether that changed anything. An
// entry that cannot be decoded counts as missing.
func (s *Service) takeEndpoint(name string, e keyvalue.Entry) bool {
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
