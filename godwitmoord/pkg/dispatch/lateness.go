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
	// lateShare is the share of the time that an ask has left, when it arrives, after
	// which a late owner refuses it without deciding: until its goal, or until its
	// caller gives up if it has missed that.
	lateShare = 0.5
	// minLateRetryAfter is the shortest wait advised to a caller whose ask a late owner
	// refused.
	minLateRetryAfter = 500 * time.Millisecond
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

// refuseLate refuses an ask that was received too long ago, and reports whether it did.
// Deciding it would make the asks behind it late as well, and its caller would wait for
// an answer that comes too late to be of use.
func (s *serviceOwner) refuseLate(event permit.Event) bool {
	asked, isAsk := event.(permit.Asked)
	if !isAsk {
		return false
	}
	age := instantNow().Since(asked.At)
	if left, bounded := timeLeft(asked); !bounded || age <= time.Duration(lateShare*float64(left)) {
		return false
	}
	s.owner.common.Count("owner.asks.refused-late")
	s.refuseOverdue(asked.Ask, max(minLateRetryAfter, 2*age))
	return true
}

// timeLeft returns the time that an ask has left when it arrives; false if only its
// deadline bounds it.
func timeLeft(asked permit.Asked) (time.Duration, bool) {
	switch {
	case asked.Ask.Goal > asked.At:
		return asked.Ask.Goal.Since(asked.At), true
	case asked.Ask.Patience > 0:
		return max(asked.Ask.Patience.Since(asked.At), 0), true
	default:
		return 0, false
	}
}

// refuseOverdue refuses an ask that the core has not seen.
func (s *serviceOwner) refuseOverdue(ask permit.Ask, retryAfter time.Duration) {
	s.send(ask.Host, ownerMessage{ID: ask.ID, Reason: permit.OwnerLate, RetryAfter: retryAfter})
}
