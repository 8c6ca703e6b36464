package membership

import (
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
)

const (
	// maxHosts bounds the rows of the table and of a message.
	maxHosts = 4096
	// forgetFactor times the setting dead-after is how long a dead host stays
	// in the table.
	forgetFactor = 60
	// A host unreachable for no longer than briefAbsence is assumed not to have
	// granted permits by itself.
	briefAbsence = time.Second
	// newProcessAge is how long after its start a process on the platform treats
	// another row with its own name as left by an earlier process, and exceeds its
	// incarnation.
	newProcessAge = time.Second
)

// tableRow is the row of one host together with this host's own observations of
// it.
type tableRow struct {
	row row
	// changedAt is when the state, the phase of this host or the incarnation last
	// changed.
	changedAt time.Time
	// avoidedAt is when Avoid was last called for the host.
	avoidedAt time.Time
	// absentSince is when the host last ceased to be alive. returnedAt is when the
	// same incarnation last became alive, or reachable from this host, again after
	// more than briefAbsence.
	absentSince time.Time
	returnedAt  time.Time
	// unreachableSince is when calls from this host to the other began to fail,
	// although other hosts may still reach it; zero while it answers.
	unreachableSince time.Time
	// transmitsLeft is the number of times that the row still has to be sent.
	transmitsLeft int
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
	current := s.table[r.Name]
	if current == nil {
		if len(s.table) < maxHosts {
			s.contacts.forget(r.Address)
			s.table[r.Name] = &tableRow{row: r, changedAt: time.Now(), transmitsLeft: s.transmitLimit()}
			s.candidates.invalidate()
		}
		return host.Identity{}, false
	}
	if !r.supersedes(current.row) {
		return host.Identity{}, false
	}
	previous := current.row
	s.replaceRow(current, r)
	replaced := r.Incarnation > previous.Incarnation
	died := r.State == Dead || replaced
	return previous.identity(), died && previous.State != Dead
}

// replaceRow replaces the row of a host by a newer one, updates the times kept
// with it and schedules the dissemination; s.mu is held.
func (s *Service) replaceRow(e *tableRow, r row) {
	if e.row.State != r.State || e.row.Incarnation != r.Incarnation {
		e.changedAt = time.Now()
	}
	sameIncarnation := e.row.Incarnation == r.Incarnation
	switch {
	case e.row.State == Alive && r.State != Alive:
		e.absentSince = time.Now()
	case e.row.State != Alive && r.State == Alive && sameIncarnation && time.Since(e.absentSince) > briefAbsence:
		e.returnedAt = time.Now()
	}
	if !sameIncarnation {
		e.unreachableSince, e.returnedAt = time.Time{}, time.Time{}
	}
	if !e.row.sameCandidate(r) {
		s.candidates.invalidate()
	}
	if r.State == Alive {
		s.contacts.forget(r.Address)
	}
	e.row = r
	e.transmitsLeft = s.transmitLimit()
}

// refute reacts to a row about this host itself: if other hosts suspect it or
// declare it dead, it raises its revision to override them; s.mu is held.
func (s *Service) refute(r row) {
	justStarted := s.common.Settings.Platform != nil && time.Since(s.started) < newProcessAge
	if r.Incarnation > s.self.row.Incarnation && justStarted {
		// Clocks may jump on the platform. An earlier process of this host took a
		// higher incarnation from a clock that was ahead of the present one, so this
		// new process exceeds it. Once newProcessAge is over, the other row belongs to
		// a later process and must win.
		s.self.row.Incarnation = r.Incarnation + 1
		s.publishSelf(s.self.row.Revision + 1)
		return
	}
	sameIncarnation := r.Incarnation == s.self.row.Incarnation
	if sameIncarnation && r.State != Alive && r.Revision >= s.self.row.Revision {
		s.common.Count("membership.refuted")
		s.publishSelf(r.Revision + 1)
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
	s.replaceRow(e, r)
	s.common.Count("membership.suspected")
	s.common.Log.Info("host suspected", zap.String("host", name))
}

// expireSuspicions declares hosts dead that did not refute a suspicion within
// the setting dead-after, and deletes from the table those that have been dead
// for long enough.
func (s *Service) expireSuspicions() {
	var ended []host.Identity
	deadAfter := s.common.Settings.DeadAfter.Std()
	s.mu.Lock()
	for name, e := range s.table {
		elapsed := time.Since(e.changedAt)
		if e.row.State == Suspect && elapsed > deadAfter {
			r := e.row
			r.State = Dead
			s.replaceRow(e, r)
			ended = append(ended, r.identity())
		}
		if e.row.State == Dead && elapsed > forgetFactor*deadAfter {
			delete(s.table, name)
			s.candidates.invalidate()
		}
	}
	s.mu.Unlock()
	for _, identity := range ended {
		s.notifyLost(identity)
	}
}

// notifyLost logs and counts the end of an incarnation, and calls the OnLost
// callbacks.
func (s *Service) notifyLost(identity host.Identity) {
	s.common.Log.Info("host lost", zap.String("host", identity.Name), zap.Int64("incarnation", identity.Incarnation))
	s.common.Count("membership.lost")
	for _, callback := range s.lostCallbacks {
		callback(identity)
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
