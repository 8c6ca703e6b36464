package dispatch

import (
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
)

const (
	// lateFrom is the age of an event from which the owner's decision on it counts as
	// late.
	lateFrom = 100 * time.Millisecond
	// lateLogInterval is how often a late owner says so in the log.
	lateLogInterval = time.Second
)

// lateness observes how old events are when an owner decides them. The zero value has
// observed none.
type lateness struct {
	loggedAt time.Time
	// worst is the highest age, and late the number of late events, since the last line.
	worst time.Duration
	late  int
}

// observe counts the age of an event that is decided now, and reports whether a line
// about late decisions is due.
func (l *lateness) observe(age time.Duration) bool {
	if age < lateFrom {
		return false
	}
	l.late++
	l.worst = max(l.worst, age)
	return time.Since(l.loggedAt) >= lateLogInterval
}

// observeAge records how old an event is when it is decided.
func (s *serviceOwner) observeAge(event permit.Event) {
	age := instantNow().Since(permit.TimeOf(event))
	s.owner.common.Observe("owner.events.age-us", age.Microseconds())
	if !s.lateness.observe(age) {
		return
	}
	waiting, held := s.core.Load()
	s.owner.common.Log.Warn("owner decides late", zap.String("service", s.service),
		zap.Duration("oldest", s.lateness.worst), zap.Int("late-events", s.lateness.late), zap.Int("queued-events", s.events.Len()),
		zap.Int("waiting", waiting), zap.Int("held", held), zap.Uint64("evaluations", s.core.Evaluations()))
	s.lateness = lateness{loggedAt: time.Now()}
}
