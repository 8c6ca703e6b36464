package audit

import (
	"slices"
	"strings"
	"time"

	"godwitmoor.example/replay/pkg/caller"
)

const (
	// balancerLag is how long after a kill the balancer may still send requests
	// to the host.
	balancerLag = 2 * time.Second
	// maxSuspensions is how often the scheduler may suspend one request in favour
	// of a higher tier.
	maxSuspensions = 3
)

func (a *auditor) rank(tier string) int { return slices.Index(a.tiers, tier) }

// checkHighTiersFirst checks the requests without an idempotency key of all tiers
// but the lowest. If such a request was not answered by its deadline, and was not
// lost in a kill, no run of a lower tier of its service may start between its
// sending and its end (or its deadline, if that is earlier); and no such run may
// last from before its sending until after its end, unless it had been suspended
// maxSuspensions times and so could not be suspended again. Runs whose end is not
// recorded are skipped.
func (a *auditor) checkHighTiersFirst(r *Result) {
	for _, o := range a.evidence.Outcomes {
		rank := a.rank(o.Tier)
		if rank < 0 || rank == len(a.tiers)-1 || o.Key != "" {
			continue
		}
		r.Cases++
		end, unserved := unservedUntil(o)
		if !unserved || a.lostInKill(o) {
			continue
		}
		service := a.serviceOf(o)
		for _, run := range a.startedRuns {
			lowerTier := a.serviceByEndpointOrPrefix[run.Endpoint] == service && a.rank(run.Tier) > rank
			if !lowerTier || run.At.After(end) || a.endByAttempt[run.Attempt].Before(o.SentAt) {
				continue
			}
			if run.At.After(o.SentAt) {
				r.addViolation("request %d (%s, %s) while %s started at %s", o.Number, o.Tier, o.Result, run.Tier, run.Endpoint)
				break
			}
			if a.endByAttempt[run.Attempt].After(end) && len(a.runsByRequest[run.Request]) <= maxSuspensions {
				r.addViolation("request %d (%s, %s) while %s ran at %s", o.Number, o.Tier, o.Result, run.Tier, run.Endpoint)
				break
			}
		}
	}
}

// lostInKill reports whether a request was lost because its host was killed while
// the request was open, or so shortly before that the balancer could not have
// noticed. It also accepts a kill up to a second after DoneAt. The scheduler did
// not shed such a request.
func (a *auditor) lostInKill(o caller.Outcome) bool {
	if !wasCut(o) {
		return false
	}
	return slices.ContainsFunc(a.evidence.Timeline, func(e Event) bool {
		hostKilled := e.Kind == Fault && e.Target == o.Host && strings.HasPrefix(e.Note, "kill-host")
		return hostKilled && e.At.After(o.SentAt.Add(-balancerLag)) && e.At.Before(o.DoneAt.Add(time.Second))
	})
}

// unservedUntil reports whether a request was not answered by its deadline. The
// time it returns is when the request ended, or its deadline if that was earlier.
func unservedUntil(o caller.Outcome) (time.Time, bool) {
	if answeredInTime(o) {
		return time.Time{}, false
	}
	if o.DoneAt.Before(o.Deadline) {
		return o.DoneAt, true
	}
	return o.Deadline, true
}

// serviceOf returns the service whose path prefix matches the request, or an empty
// string.
func (a *auditor) serviceOf(o caller.Outcome) string {
	for prefix, service := range a.serviceByEndpointOrPrefix {
		if strings.HasPrefix(prefix, "/") && strings.HasPrefix(o.Path, prefix+"/") {
			return service
		}
	}
	return ""
}
