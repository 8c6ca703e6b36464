package membership

import "time"

const (
	// roundTripWindow is the span of which the shortest round trip counts. A host makes
	// dozens of probes in it; most of them wait for a processor, the shortest does not.
	roundTripWindow = 30 * time.Second
)

// shortestTrip keeps the shortest of recent round trips: that of the present window and of
// the one before. The zero value has none.
type shortestTrip struct {
	current, previous time.Duration
	since             time.Time
}

// add adds a round trip.
func (s *shortestTrip) add(took time.Duration, now time.Time) {
	s.advance(now)
	if s.current == 0 || took < s.current {
		s.current = took
	}
}

// advance begins a new window if the present one is over.
func (s *shortestTrip) advance(now time.Time) {
	age := now.Sub(s.since)
	switch {
	case age < roundTripWindow:
		return
	case age < 2*roundTripWindow:
		s.previous = s.current
	default:
		s.previous = 0
	}
	s.current, s.since = 0, now
}

// shortest returns the shortest recent round trip; zero if there is none.
func (s *shortestTrip) shortest(now time.Time) time.Duration {
	s.advance(now)
	if s.current == 0 || s.previous == 0 {
		return max(s.current, s.previous)
	}
	return min(s.current, s.previous)
}

// recordRoundTrip records how long a host took to answer a probe.
func (s *Service) recordRoundTrip(target row, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roundTrips == nil {
		s.roundTrips = map[string]*shortestTrip{}
	}
	if s.roundTrips[target.DataCentre] == nil {
		s.roundTrips[target.DataCentre] = &shortestTrip{}
	}
	s.roundTrips[target.DataCentre].add(took, time.Now())
}

// RoundTrips returns how much longer a message to each other data centre and back takes
// than one within this host's own, as its recent probes show: the hosts' own time to answer
// counts in both. A data centre without recent probes is missing.
func (s *Service) RoundTrips() map[string]time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, local := time.Now(), time.Duration(0)
	if own := s.roundTrips[s.self.row.DataCentre]; own != nil {
		local = own.shortest(now)
	}
	trips := map[string]time.Duration{}
	for dataCentre, trip := range s.roundTrips {
		shortest := trip.shortest(now)
		if shortest == 0 {
			delete(s.roundTrips, dataCentre)
			continue
		}
		if dataCentre != s.self.row.DataCentre && shortest > local {
			trips[dataCentre] = shortest - local
		}
	}
	return trips
}

// DataCentreOf returns the data centre of a host; empty if it is not known.
func (s *Service) DataCentreOf(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rowOf(name).DataCentre
}
