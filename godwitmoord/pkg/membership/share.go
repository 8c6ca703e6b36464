package membership

import "time"

// Share returns the fraction of the fleet that this host is in contact with. An
// owner grants only that fraction of each quota. Hosts that may be granting
// without contact to this one lower the fraction; a host that has not been alive
// for shareMemory no longer counts as part of the fleet.
func (s *Service) Share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	alive, lost := 1, 0
	if time.Since(s.started) < s.settleBound() {
		// A listed host that is still unknown may be serving requests. It is contacted
		// within a few probe intervals.
		lost = s.unmet()
	}
	for _, e := range s.table {
		switch {
		case e.row.State == Alive && !e.unreached.IsZero():
			// Other hosts may still reach it and use it as an owner.
			lost++
		case e.row.State == Alive && time.Since(e.returned) < s.quotaWindow():
			// What it granted while it was unreachable still counts in the quota window.
			lost++
		case e.row.State == Alive && e.row.Phase != Leaving:
			alive++
		case e.row.State != Alive && time.Since(e.since) < shareMemory && e.row.Phase != Leaving:
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

// unmet returns the number of listed hosts that are not in the table yet; s.mu is
// held.
func (s *Service) unmet() int {
	count := 0
	for _, l := range s.listed {
		if l.Name != "" && l.Name != s.self.row.Name && s.table[l.Name] == nil {
			count++
		}
	}
	return count
}

// miss records that a call to the host got no answer.
func (e *entry) miss() {
	if e.unreached.IsZero() {
		e.unreached = time.Now()
	}
}

// meet records that a call to the host was answered.
func (e *entry) meet() {
	if !e.unreached.IsZero() && time.Since(e.unreached) > briefAbsence {
		e.returned = time.Now()
	}
	e.unreached = time.Time{}
}
