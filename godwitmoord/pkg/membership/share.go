package membership

import "time"

// Share gives the part of the fleet that this host is in touch with. Hosts that
// have not answered for a while no longer count as part of it.
func (s *Service) Share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	alive, lost := 1, 0
	if time.Since(s.started) < s.settleBound() {
		// Whoever is listed may be serving, and is met in a moment.
		lost = s.unmet()
	}
	for _, e := range s.table {
		switch {
		case e.row.State == Alive && !e.unreached.IsZero():
			// Others may reach it, and follow it as their owner.
			lost++
		case e.row.State == Alive && time.Since(e.returned) < s.quotaWindow():
			// What it granted while it was away still counts.
			lost++
		case e.row.State == Alive && e.row.Phase != Leaving:
			alive++
		case e.row.State != Alive && time.Since(e.since) < shareMemory && e.row.Phase != Leaving:
			lost++
		}
	}
	return float64(alive) / float64(alive+lost)
}

// quotaWindow is how long grants count.
func (s *Service) quotaWindow() time.Duration {
	if p := s.common.Settings.Platform; p != nil {
		return p.QuotaWindow.Std()
	}
	return 0
}

// unmet counts the listed hosts that are not known yet; s.mu is held.
func (s *Service) unmet() int {
	count := 0
	for _, l := range s.listed {
		if l.Name != "" && l.Name != s.self.row.Name && s.table[l.Name] == nil {
			count++
		}
	}
	return count
}

// miss notes that a call to the host got no answer.
func (e *entry) miss() {
	if e.unreached.IsZero() {
		e.unreached = time.Now()
	}
}

// meet notes that a call to the host was answered.
func (e *entry) meet() {
	if !e.unreached.IsZero() && time.Since(e.unreached) > briefAbsence {
		e.returned = time.Now()
	}
	e.unreached = time.Time{}
}
