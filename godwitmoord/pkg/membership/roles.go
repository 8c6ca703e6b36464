package membership

import (
	"slices"
	"time"

	"godwitmoor.example/coordination/pkg/host"
)

const (
	// avoidInterval is how long a host gets no role after a call to it failed.
	avoidInterval = 2 * time.Second
	// maxStartupWait bounds the wait for the fleet if a host list is configured.
	// Without one, the bound is startupWaitHeartbeats.
	maxStartupWait        = 8 * time.Second
	startupWaitHeartbeats = 4
	// propagationHeartbeats is the number of heartbeats in which a new phase
	// reaches the other hosts.
	propagationHeartbeats = 5
	// maxStoreReaders is the number of hosts that StoreReaders ranks.
	maxStoreReaders = 12
	// storeReaderRankingKey is the key of the rendezvous ranking of these hosts.
	storeReaderRankingKey = "configuration"
)

// FleetDiscovered reports whether this host knows the fleet well enough to take
// a role: it is on the host list itself, and no host listed as live is missing
// or dead in the table. After startupWait it returns true in any case. Two
// hosts with different views of the fleet choose different owners for a
// service, and each of these owners fills the endpoints to their limit. A list
// that is wrong or unavailable delays a start by startupWait at most.
func (s *Service) FleetDiscovered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.started) > s.startupWait() {
		return true
	}
	selfListed := false
	for _, l := range s.listed {
		if l.Role != entryRole {
			continue
		}
		if l.Name == s.self.row.Name {
			selfListed = true
			continue
		}
		if e := s.table[l.Name]; l.State == liveState && (e == nil || e.row.State == Dead) {
			return false
		}
	}
	return selfListed
}

// startupWait returns the longest time that a host waits until it knows the
// others.
func (s *Service) startupWait() time.Duration {
	if s.common.Settings.HostListURL == "" {
		// Listed hosts may have left long ago, so wait for a few heartbeats only.
		return startupWaitHeartbeats * s.common.Settings.Heartbeat.Std()
	}
	return maxStartupWait
}

// ReadinessPropagated reports whether this host has been ready for long enough
// that the other hosts have received that phase. Until then they may choose
// another owner for a service than this host does, so requests for it would reach
// two owners.
func (s *Service) ReadinessPropagated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	propagation := propagationHeartbeats * s.common.Settings.Heartbeat.Std()
	return s.self.row.Phase == Ready && time.Since(s.self.changedAt) > propagation
}

// Avoid excludes a host from roles for avoidInterval, after a call to it failed. It
// also marks the host as unreachable from here.
func (s *Service) Avoid(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table[name]; e != nil {
		s.common.Count("membership.avoided")
		e.avoidedAt = time.Now()
		e.recordFailure()
		s.candidates.invalidate()
	}
}

// ReadyNames returns the names of the hosts that may have a role now, sorted. It
// is never empty: if no host qualifies, it holds this host. The caller must not change
// it.
func (s *Service) ReadyNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentCandidates().ready
}

// OwnerNames returns the names of the hosts that may own a service, sorted: of the
// ready hosts those with at least half of the largest capacity. An owner decides for
// all hosts, so a small one would be slow for all of them. It is never empty. The
// caller must not change it.
func (s *Service) OwnerNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentCandidates().owners
}

// OwnerOf returns the name of the host that owns a service: the one of OwnerNames that
// ranks first for it by rendezvous hashing.
func (s *Service) OwnerOf(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentCandidates().ownerOf(service)
}

// Successors returns the hosts that may own a service next, or do already, without this one:
// of the live hosts that are large enough those that rank first for it, at most count. They
// need not be ready.
func (s *Service) Successors(service string, count int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	able := s.largeHosts(s.liveNames())
	ranked := host.Ranked(able, service, min(count+1, len(able)))
	others := slices.DeleteFunc(ranked, func(name string) bool { return name == s.self.row.Name })
	return others[:min(count, len(others))]
}

// ServingNames returns the names of the hosts that may hold permits, sorted: all that are
// not known to be dead or just starting, with this host.
func (s *Service) ServingNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{s.self.row.Name}
	for name, e := range s.table {
		if e.row.State != Dead && e.row.Phase != Starting {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// StoreReaders returns the hosts that are to read the platform's store for all others,
// the first in charge first, and maxStoreReaders at most. They are alive, but need not
// be ready. Of those with at least half of the largest capacity, the one that ranks first
// in each data centre comes before the rest, so that the first few don't share a fault
// of one data centre. It is never empty unless this host is leaving and alone. The caller
// must not change it.
func (s *Service) StoreReaders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.currentCandidates()
	if c.readers == nil {
		able := s.largeHosts(s.liveNames())
		c.readers = s.spreadOverDataCentres(host.Ranked(able, storeReaderRankingKey, len(able)))
		c.readers = c.readers[:min(maxStoreReaders, len(c.readers))]
	}
	return c.readers
}

// liveNames returns the names of this host and of the others that are alive, without
// those that are leaving; s.mu is held.
func (s *Service) liveNames() []string {
	var names []string
	if s.self.row.Phase != Leaving {
		names = append(names, s.self.row.Name)
	}
	for name, e := range s.table {
		if e.row.State == Alive && e.row.Phase != Leaving {
			names = append(names, name)
		}
	}
	return names
}

// spreadOverDataCentres moves the first host of each data centre before all others and
// keeps the order otherwise; s.mu is held.
func (s *Service) spreadOverDataCentres(ranked []string) []string {
	seen := map[string]bool{}
	var first, rest []string
	for _, name := range ranked {
		dataCentre := s.rowOf(name).DataCentre
		if seen[dataCentre] {
			rest = append(rest, name)
			continue
		}
		seen[dataCentre] = true
		first = append(first, name)
	}
	return append(first, rest...)
}

// readyNames determines the result of ReadyNames; s.mu is held.
func (s *Service) readyNames() []string {
	names := make([]string, 0, len(s.table)+1)
	for name, e := range s.table {
		if e.isCandidate(Ready) {
			names = append(names, name)
		}
	}
	if len(names) == 0 && s.self.row.Phase == Starting {
		// No other host is ready, so the fleet is starting. Counting the starting
		// hosts makes those that know each other choose the same owners.
		names = s.startingNames()
	}
	if s.self.row.Phase == Ready || len(names) == 0 {
		names = append(names, s.self.row.Name)
	}
	slices.Sort(names)
	return names
}

// largeHosts returns those of the hosts that have at least half of the largest capacity
// among them; s.mu is held.
func (s *Service) largeHosts(names []string) []string {
	largest := uint32(0)
	for _, name := range names {
		largest = max(largest, s.capacityOf(name))
	}
	large := make([]string, 0, len(names))
	for _, name := range names {
		if 2*s.capacityOf(name) >= largest {
			large = append(large, name)
		}
	}
	return large
}

// capacityOf returns the capacity of a host; s.mu is held.
func (s *Service) capacityOf(name string) uint32 { return s.rowOf(name).Capacity }

// rowOf returns the row of a host, which is empty if the host is unknown; s.mu is held.
func (s *Service) rowOf(name string) row {
	if name == s.self.row.Name {
		return s.self.row
	}
	if e := s.table[name]; e != nil {
		return e.row
	}
	return row{}
}

// startingNames returns the names of this host and of the others that are
// starting; s.mu is held.
func (s *Service) startingNames() []string {
	names := []string{s.self.row.Name}
	for name, e := range s.table {
		if e.isCandidate(Starting) {
			names = append(names, name)
		}
	}
	return names
}

// isCandidate reports whether a host in the given phase may have a role: it is
// alive, and no call to it failed just now.
func (e *tableRow) isCandidate(p Phase) bool {
	return e.row.Phase == p && e.row.State == Alive && time.Since(e.avoidedAt) >= avoidInterval
}

// Alone reports whether this host knows no other that is alive.
func (s *Service) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.knowsLiveHost()
}

// knowsLiveHost reports whether another host is alive in the table; s.mu is held.
func (s *Service) knowsLiveHost() bool {
	for _, e := range s.table {
		if e.row.State == Alive {
			return true
		}
	}
	return false
}

// Isolated reports whether this host has lost contact with the fleet: other hosts
// are known or listed, and none of them is alive.
func (s *Service) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.knowsLiveHost() && (len(s.table) > 0 || s.othersListed())
}
