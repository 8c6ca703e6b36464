package permit

import "time"

const (
	// refusalMemory is how long after its refusal a request is recognized if it is
	// sent again. Callers retry within a few seconds or not at all.
	refusalMemory = 5 * time.Second
	// maxRefusals is how many refused requests are remembered at most.
	maxRefusals = 8192
)

// goalMemory holds the goals of refused requests, oldest first, to apply them if
// the requests are asked for again. The zero value holds none.
type goalMemory struct {
	goals map[string]refusedGoal
	order []refusedSubject
}

// refusedGoal is the goal of a refused request, when its caller was told to retry, and
// whether slots were reserved for it then.
type refusedGoal struct {
	goal, retryAt Instant
	reserved      bool
}

type refusedSubject struct {
	key string
	at  Instant
}

// subjectKey returns a key of the requested subject that is unique across customers.
func (a Ask) subjectKey() string { return a.Suspect().own() }

// remember stores the goal of a refused request, and what its caller was told.
func (m *goalMemory) remember(a Ask, now, retryAt Instant, reserved bool) {
	if a.Subject == "" || a.Goal == 0 {
		return
	}
	if m.goals == nil {
		m.goals = map[string]refusedGoal{}
	}
	m.dropExpired(now)
	m.goals[a.subjectKey()] = refusedGoal{goal: a.Goal, retryAt: retryAt, reserved: reserved}
	m.order = append(m.order, refusedSubject{key: a.subjectKey(), at: now})
}

// dropExpired drops expired entries, and the oldest ones beyond the bound. A subject
// that was refused twice is dropped together with its first refusal.
func (m *goalMemory) dropExpired(now Instant) {
	dropped := 0
	for dropped < len(m.order) && (now.Since(m.order[dropped].at) > refusalMemory || len(m.order)-dropped >= maxRefusals) {
		delete(m.goals, m.order[dropped].key)
		dropped++
	}
	m.order = m.order[dropped:]
}

// originalGoal returns the goal that a request had when it was first asked for. A
// refusal does not extend the goal, because the caller has been waiting since the
// first ask.
func (m *goalMemory) originalGoal(a Ask, now Instant) Instant {
	m.dropExpired(now)
	refused, found := m.goals[a.subjectKey()]
	if !found || a.Goal == 0 || a.Subject == "" {
		return a.Goal
	}
	return min(refused.goal, a.Goal)
}
