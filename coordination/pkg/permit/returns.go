package permit

import "time"

const (
	// returnMemory is how long after its refusal a request is recognized if it is sent
	// again. Callers retry within a few seconds or not at all.
	returnMemory = 5 * time.Second
	// mostRefused bounds the number of refused requests that are remembered.
	mostRefused = 8192
)

// refusals remembers the goals of refused requests, oldest first, to apply them if
// the requests are asked for again. The zero value remembers none.
type refusals struct {
	goals map[string]Instant
	order []refusal
}

type refusal struct {
	wanted string
	at     Instant
}

// wanted returns a key of the requested subject that is unique across customers.
func (a Ask) wanted() string { return a.Customer + "/" + a.Subject }

// note remembers a refused request.
func (r *refusals) note(a Ask, now Instant) {
	if a.Subject == "" || a.Goal == 0 {
		return
	}
	if r.goals == nil {
		r.goals = map[string]Instant{}
	}
	r.forget(now)
	r.goals[a.wanted()] = a.Goal
	r.order = append(r.order, refusal{wanted: a.wanted(), at: now})
}

// forget drops expired entries, and the oldest ones beyond the bound. A subject that
// was refused twice is dropped together with its first refusal.
func (r *refusals) forget(now Instant) {
	gone := 0
	for gone < len(r.order) && (now.Since(r.order[gone].at) > returnMemory || len(r.order)-gone >= mostRefused) {
		delete(r.goals, r.order[gone].wanted)
		gone++
	}
	r.order = r.order[gone:]
}

// firstGoal returns the goal that a request had when it was first asked for. A
// refusal does not extend the goal, because the caller has been waiting since the
// first ask.
func (r *refusals) firstGoal(a Ask, now Instant) Instant {
	r.forget(now)
	goal, returned := r.goals[a.wanted()]
	if !returned || a.Goal == 0 || a.Subject == "" {
		return a.Goal
	}
	return min(goal, a.Goal)
}
