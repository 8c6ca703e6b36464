package discovery

import (
	"sync"
	"time"
)

const (
	// minStandInPause is the pause after a failed attempt to stand in. It doubles with
	// each further one, up to maxStandInPause.
	minStandInPause = time.Second
	maxStandInPause = 8 * time.Second
)

// standIn records whether this host reads the store in place of the provers. The zero
// value does not. It reads no clock: callers pass the time.
type standIn struct {
	mu sync.Mutex
	// until is the end of the present term.
	until time.Time
	// notBefore is the earliest time of the next term, and pause the latest pause that
	// it followed from.
	notBefore time.Time
	pause     time.Duration
	// confirmed is true once the store could be read in the present term.
	confirmed bool
}

// active reports whether this host stands in now.
func (s *standIn) active(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until)
}

// begin starts a term, unless one is running or the store has refused the latest one too
// recently, and reports whether it did.
func (s *standIn) begin(now time.Time, term time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.until) || now.Before(s.notBefore) {
		return false
	}
	s.until, s.confirmed = now.Add(term), false
	return true
}

// fail ends the term, because the store can't be read from here either. The next one
// begins minWait later at the earliest.
func (s *standIn) fail(now time.Time, minWait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.until) {
		return
	}
	s.pause = min(max(2*s.pause, minStandInPause), maxStandInPause)
	s.until, s.notBefore = time.Time{}, now.Add(max(s.pause, minWait))
}

// succeed records that the store could be read.
func (s *standIn) succeed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause, s.confirmed = 0, true
}

// confirmedNow reports whether this host stands in and could read the store.
func (s *standIn) confirmedNow(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until) && s.confirmed
}
