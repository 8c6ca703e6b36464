package membership

import "time"

// lostHostWindow is how long a host that is no longer alive still counts as
// part of the fleet, as it may be cut off and serving. It starts again when a
// suspected host is declared dead.
const lostHostWindow = 15 * time.Second

// ReachableShare returns the fraction of the fleet that this host is in contact
// with. An owner grants only that fraction of each quota. Hosts that may be
// granting without contact to this one lower the fraction; a host that has not
// been alive for lostHostWindow no longer counts as part of the fleet.
func (s *Service) ReachableShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	alive, lost := 1, 0
	if time.Since(s.started) < s.startupWait() {
		// A listed host that is still unknown may be serving requests. It is
		// contacted within a few probe intervals.
		lost = s.countUnknownListed()
	}
	for _, e := range s.table {
		switch {
		case e.row.State == Alive && !e.unreachableSince.IsZero():
			// Other hosts may still reach it and use it as an owner.
			lost++
		case e.row.State == Alive && time.Since(e.returnedAt) < s.quotaWindow():
			// What it granted while it was unreachable still counts in the quota
			// window.
			lost++
		case e.row.State == Alive && e.row.Phase != Leaving:
			alive++
		case e.row.State != Alive && time.Since(e.changedAt) < lostHostWindow && e.row.Phase != Leaving:
			lost++
		}
	}
	return float64(alive) / float64(alive+lost)
}

// quotaWindow returns how long a grant counts against a quota; zero without the
// platform.
func (s *Service) quotaWindow() time.Duration {
	if p := s.common.Settings.Platform; p != nil {
		return p.QuotaWindow.Std()
	}
	return 0
}

// countUnknownListed returns the number of listed hosts that are not in the table yet;
// s.mu is held.
func (s *Service) countUnknownListed() int {
	unknown := map[string]bool{}
	for _, l := range s.listed {
		if l.Role == entryRole && l.Name != s.self.row.Name && l.Address != s.self.row.Address && !s.isInTable(l) {
			unknown[l.Address] = true
		}
	}
	return len(unknown)
}

// isInTable reports whether a listed host has a row, whatever its state; s.mu is held.
func (s *Service) isInTable(l hostListItem) bool {
	if l.Name != "" {
		return s.table[l.Name] != nil
	}
	for _, e := range s.table {
		if e.row.Address == l.Address {
			return true
		}
	}
	return false
}

// recordFailure records that a call to the host got no answer.
func (e *tableRow) recordFailure() {
	if e.unreachableSince.IsZero() {
		e.unreachableSince = time.Now()
	}
}

// recordAnswer records that a call to the host was answered.
func (e *tableRow) recordAnswer() {
	if !e.unreachableSince.IsZero() && time.Since(e.unreachableSince) > briefAbsence {
		e.returnedAt = time.Now()
	}
	e.unreachableSince = time.Time{}
}
