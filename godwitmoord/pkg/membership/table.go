package membership

import (
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
)

// entry is a row and what this host does with it.
type entry struct {
	row row
	// since is when the row came to its state.
	since   time.Time
	avoided time.Time
	// away is when the host was last missed, returned when the same life of it
	// came back from an absence that was more than brief.
	away     time.Time
	returned time.Time
	// unreached is since when this host itself has had no answer from it, though
	// others may; zero while it answers.
	unreached time.Time
	// spread is how many more times the row is sent along.
	spread int
}

// merge takes in one row of another host and tells which life it ended, if any.
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

// change puts a newer row in place; s.mu is held.
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

// refute contradicts what others say of this life of this host; s.mu is held.
func (s *Service) refute(r row) {
	fresh := s.common.Settings.Platform != nil && time.Since(s.started) < newLife
	if r.Incarnation > s.self.row.Incarnation && fresh {
		// An earlier life started by a clock that ran ahead of the present one. A
		// host that has lived for longer is itself the earlier one.
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

// suspect is the word of this host that another does not answer.
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

// bury ends the lives of hosts that did not refute a suspicion in time.
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

func (s *Service) tellLost(life host.Identity) {
	s.common.Log.Info("host lost", zap.String("host", life.Name), zap.Int64("incarnation", life.Incarnation))
	s.common.Count("membership.lost")
	for _, hear := range s.lost {
		hear(life)
	}
}

// digest tells tables apart; s.mu is held.
func (s *Service) digest() uint64 {
	sum := s.self.row.digest()
	for _, e := range s.table {
		if e.row.State != Dead {
			sum ^= e.row.digest()
		}
	}
	return sum
}
