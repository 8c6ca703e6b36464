package membership

import (
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
)

// entry is the row of one host together with this host's own observations of it.
type entry struct {
	row row
	// since is when the state, the phase of this host or the incarnation last
	// changed.
	since time.Time
	// avoided is when Avoid was last called for the host.
	avoided time.Time
	// away is when the host last ceased to be alive. returned is when the same
	// incarnation last came back after more than briefAbsence.
	away     time.Time
	returned time.Time
	// unreached is when calls from this host to the other began to fail, although
	// other hosts may still reach it; zero while it answers.
	unreached time.Time
	// spread is the number of times that the row still has to be sent.
	spread int
}

// merge applies a received row. If the row ends an incarnation that was not known
// to be dead, merge returns that incarnation and true.
func (s *Service) merge(r row) (ended host.Identity, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Name == s.self.row.Name {
		s.refute(r)
		return host.Identity{}, false
	}
	known := s.table[r.Name]
	if known == nil {
		if len(s.table) < maxHosts {
			s.table[r.Name] = &entry{row: r, since: time.Now(), spread: s.spreadCount()}
		}
		return host.Identity{}, false
	}
	if !r.after(known.row) {
		return host.Identity{}, false
	}
	before := known.row
	s.change(known, r)
	replaced := r.Incarnation > before.Incarnation
	died := r.State == Dead || replaced
	return before.identity(), died && before.State != Dead
}

// change replaces the row of an entry by a newer one, updates the times of the
// entry and schedules the dissemination; s.mu is held.
func (s *Service) change(e *entry, r row) {
	if e.row.State != r.State || e.row.Incarnation != r.Incarnation {
		e.since = time.Now()
	}
	sameLife := e.row.Incarnation == r.Incarnation
	switch {
	case e.row.State == Alive && r.State != Alive:
		e.away = time.Now()
	case e.row.State != Alive && r.State == Alive && sameLife && time.Since(e.away) > briefAbsence:
		e.returned = time.Now()
	}
	if !sameLife {
		e.unreached, e.returned = time.Time{}, time.Time{}
	}
	e.row = r
	e.spread = s.spreadCount()
}

// refute reacts to a row about this host itself: if other hosts suspect it or
// declare it dead, it raises its revision to override them; s.mu is held.
func (s *Service) refute(r row) {
	fresh := s.common.Settings.Platform != nil && time.Since(s.started) < newLife
	if r.Incarnation > s.self.row.Incarnation && fresh {
		// Clocks may jump on the platform. An earlier process of this host took a later
		// incarnation from a clock that was ahead of the present one, so the new process
		// moves past it. Once newLife is over, the other row belongs to a later process
		// and must win.
		s.self.row.Incarnation = r.Incarnation + 1
		s.speak(s.self.row.Revision + 1)
		return
	}
	own := r.Incarnation == s.self.row.Incarnation
	if own && r.State != Alive && r.Revision >= s.self.row.Revision {
		s.common.Count("membership.refuted")
		s.speak(r.Revision + 1)
	}
}

// suspect marks a host as suspected because neither this host nor the others asked
// got an answer from it. It does nothing unless that incarnation is alive.
func (s *Service) suspect(name string, incarnation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table[name]
	if e == nil || e.row.Incarnation != incarnation || e.row.State != Alive {
		return
	}
	r := e.row
	r.State = Suspect
	s.change(e, r)
	s.common.Count("membership.suspected")
	s.common.Log.Info("host suspected", zap.String("host", name))
}

// bury declares hosts dead that did not refute a suspicion within dead-after, and
// deletes from the table those that have been dead for long enough.
func (s *Service) bury() {
	var ended []host.Identity
	deadAfter := s.common.Settings.DeadAfter.Std()
	s.mu.Lock()
	for name, e := range s.table {
		age := time.Since(e.since)
		if e.row.State == Suspect && age > deadAfter {
			r := e.row
			r.State = Dead
			s.change(e, r)
			ended = append(ended, r.identity())
		}
		if e.row.State == Dead && age > forgetAfter*deadAfter {
			delete(s.table, name)
		}
	}
	s.mu.Unlock()
	for _, life := range ended {
		s.tellLost(life)
	}
}

// tellLost logs and counts the end of an incarnation, and calls the OnLost
// callbacks.
func (s *Service) tellLost(life host.Identity) {
	s.common.Log.Info("host lost", zap.String("host", life.Name), zap.Int64("incarnation", life.Incarnation))
	s.common.Count("membership.lost")
	for _, hear := range s.lost {
		hear(life)
	}
}

// digest returns a hash over the rows of all hosts that are not dead, regardless
// of order. Equal tables have equal digests; s.mu is held.
func (s *Service) digest() uint64 {
	sum := s.self.row.digest()
	for _, e := range s.table {
		if e.row.State != Dead {
			sum ^= e.row.digest()
		}
	}
	return sum
}
