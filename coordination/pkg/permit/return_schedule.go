package permit

import "time"

const (
	// returnStep is the length of a step of the schedule of returning requests. It is
	// well below any goal, and above the time that a message takes.
	returnStep = 100 * time.Millisecond
	// returnSteps is the number of steps that the schedule covers. They reach beyond
	// maxShedRetryAfter.
	returnSteps = 64
	// returnWaitShare is the share of the time that it has left which a refused caller
	// waits at most before it asks again.
	returnWaitShare = 1.0 / 3
	// returnReserve is the share of the slots that is kept for returning requests even
	// if arriving ones fill all slots. It bounds what reservations take from arriving ones.
	returnReserve = 0.05
	// returnedValue is the value of an answer whose caller came back when it was told to
	// and for which slots were reserved, relative to one that meets its goal. It is above
	// 1, as under overload arriving requests would otherwise take the reserved slots.
	returnedValue = 2.0
)

// returnSchedule holds the work of refused requests for whose return slots are reserved,
// by time step. The zero value holds none.
type returnSchedule struct {
	// oldest is the number of the oldest step, counted from instant 0.
	oldest int64
	// within holds the work of requests within their customers' shares, all the work of
	// all requests, both in slot-seconds.
	within, all [returnSteps]float64
	// spare is the number of slots that returning requests can count on, as computed
	// at spareAt.
	spare   float64
	spareAt Instant
}

func returnStepOf(at Instant) int64 { return int64(at) / int64(returnStep) }

// advance clears the steps that are over.
func (s *returnSchedule) advance(now Instant) {
	current := returnStepOf(now)
	s.oldest = max(s.oldest, current-returnSteps)
	for ; s.oldest < current; s.oldest++ {
		s.within[s.oldest%returnSteps], s.all[s.oldest%returnSteps] = 0, 0
	}
}

// reserve reserves the spare slots for some work from the earliest step on that has room
// between two times, and returns when that step begins. Work within its customer's share
// takes no account of work beyond, so that this does not keep it from returning. If no
// step has room, reserve returns the latest time, at which the load may be another.
func (s *returnSchedule) reserve(work float64, beyond bool, earliest, latest Instant) (at Instant, reserved bool) {
	taken := &s.within
	if beyond {
		taken = &s.all
	}
	room := s.spare * returnStep.Seconds()
	last := min(returnStepOf(latest), s.oldest+returnSteps-1)
	for step := returnStepOf(earliest) + 1; step <= last; step++ {
		if taken[step%returnSteps] >= room {
			continue
		}
		s.fill(&s.all, step, work, room)
		if !beyond {
			s.fill(&s.within, step, work, room)
		}
		return Instant(step * int64(returnStep)), true
	}
	return latest, false
}

// fill spreads work over the room of a step and of those after it.
func (s *returnSchedule) fill(taken *[returnSteps]float64, step int64, work, room float64) {
	for ; step < s.oldest+returnSteps && work > 0; step++ {
		part := max(0, min(work, room-taken[step%returnSteps]))
		taken[step%returnSteps] += part
		work -= part
	}
}

// scheduleReturn returns when the caller of a refused request is told to retry, and whether
// slots are reserved for it then. It handles the load in which more is refused than can
// come back at once: a refused request gets the first time with room for it, no earlier
// than the given time and no later than its caller waits. Refusals for other reasons than
// a lack of slots are left as they are.
func (c *Core) scheduleReturn(w *waiter, reason Reason, retryAfter time.Duration) (time.Duration, bool) {
	if !c.fair.enabled || w.ask.Goal == 0 || !reason.lacksSlots() {
		return retryAfter, false
	}
	latest := time.Duration(returnWaitShare * float64(w.ask.Deadline.Since(c.now)))
	latest = min(latest, maxShedRetryAfter)
	earliest := max(retryAfter, minShedRetryAfter)
	if latest <= earliest {
		return max(latest, minShedRetryAfter), false
	}
	c.returns.advance(c.now)
	c.updateSpareSlots()
	at, reserved := c.returns.reserve(w.work, w.round > 0, c.now.After(earliest), c.now.After(latest))
	return at.Since(c.now), reserved
}

// updateSpareSlots computes the slots that arriving requests leave to returning ones: those
// that they do not fill, and at least a small part of all.
func (c *Core) updateSpareSlots() {
	if c.returns.spareAt == c.now {
		return
	}
	slots, _ := c.openSlots()
	spare := slots
	for _, t := range c.tiers {
		spare -= t.offeredSlots(c.now)
	}
	c.returns.spare, c.returns.spareAt = max(spare, returnReserve*slots), c.now
}

// recogniseReturn marks a request that was refused before, and comes back no sooner than
// its caller was told to. Slots were reserved for one request, so only the first one of the
// subject that returns gets them.
func (c *Core) recogniseReturn(w *waiter) {
	if !c.fair.enabled || w.ask.Subject == "" || len(c.refusedGoals.goals) == 0 {
		return
	}
	refused, found := c.refusedGoals.goals[w.ask.subjectKey()]
	w.returned = found && c.now.After(returnStep) >= refused.retryAt
	w.reserved = w.returned && refused.reserved
	if w.reserved {
		refused.reserved = false
		c.refusedGoals.goals[w.ask.subjectKey()] = refused
	}
}

// turn orders the requests of one queue before their urgency: first those of earlier
// rounds, and of those that miss their goals the ones that came back when told to.
func (w *waiter) turn() int {
	if w.late && !w.returned && w.round == 0 && !w.ask.Begun {
		return 1
	}
	return w.round
}

// lacksSlots reports whether a request is refused because others get the slots.
func (r Reason) lacksSlots() bool {
	switch r {
	case TooLate, QueueFull, Displaced, Crowded:
		return true
	default:
		return false
	}
}

// withShare adds to a refusal whether the request is beyond its customer's share, whether
// it had been refused before, and whether slots were reserved for it then.
func (c *Core) withShare(w *waiter, r Refused) Refused {
	if !c.fair.enabled || !r.Reason.lacksSlots() {
		return r
	}
	r.Again, r.Reserved = w.returned, w.reserved
	if w.round > 0 {
		r.BeyondShare = w.ask.Customer
	}
	return r
}
