package permit

import "time"

const (
	// refusalMemory is how long after its refusal a request is recognized if it is sent
	// again. Callers retry within a few seconds or not at all.
	refusalMemory = 5 * time.Second
	// maxRefusals is how many refused requests are remembered at most.
	maxRefusals = 8192
)

// goalMemory holds the goals of refused requests, oldest first, to apply them if
// the requests are asked for again. The zero value holds none.
type goalMemory struct {
	goals map[string]Instant
	order []refusedSubject
}

type refusedSubject struct {
	key string
	at  Instant
}

// subjectKey returns a key of the requested subject that is unique across customers.
func (a Ask) subjectKey() string { return a.Customer + "/" + a.Subject }

// remember stores the goal of a refused request.
func (r *goalMemory) remember(a Ask, now Instant) {
	if a.Subject == "" || a.Goal == 0 {
		return
	}
	if r.goals == nil {
		r.goals = map[string]Instant{}
	}
	r.dropExpired(now)
	r.goals[a.subjectKey()] = a.Goal
	r.order = append(r.order, refusedSubject{key: a.subjectKey(), at: now})
}

// dropExpired drops expired entries, and the oldest ones beyond the bound. A subject that
// was refused twice is dropped together with its first refusal.
func (r *goalMemory) dropExpired(now Instant) {
	dropped := 0
	for dropped < len(r.order) && (now.Since(r.order[dropped].at) > refusalMemory || len(r.order)-dropped >= maxRefusals) {
		delete(r.goals, r.order[dropped].key)
		dropped++
	}
	r.order = r.order[dropped:]
}

// originalGoal returns the goal that a request had when it was first asked for. A
// refusal does not extend the goal, because the caller has been waiting since the
// first ask.
func (r *goalMemory) originalGoal(a Ask, now Instant) Instant {
	r.dropExpired(now)
	goal, found := r.goals[a.subjectKey()]
	if !found || a.Goal == 0 || a.Subject == "" {
		return a.Goal
	}
	return min(goal, a.Goal)
}
