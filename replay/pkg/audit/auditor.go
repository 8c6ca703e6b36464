package audit

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/standin/pkg/runlog"
)

const (
	// leavingBound is the time after which a leaving endpoint must not receive
	// new work.
	leavingBound = 3 * time.Second
	// configurationBound is the time within which an accepted configuration must
	// be in force on every host.
	configurationBound = 5 * time.Second
	// maxExamples is how many violations of one promise are described; all are
	// counted.
	maxExamples = 3
	// balancerLag is how long after a kill the balancer may still send requests
	// to the host.
	balancerLag = 2 * time.Second
	// maxSuspensions is how often the scheduler may suspend one request in favour
	// of a higher tier.
	maxSuspensions = 3
)

// Status says whether a run kept a promise.
type Status string

// The values of Status. NotJudged means that the run had no case to which the
// promise applies.
const (
	Held      Status = "held"
	Broken    Status = "broken"
	NotJudged Status = "not judged"
)

// Result is the result for one promise.
type Result struct {
	// Number is the number of the promise, 1 to 8.
	Number  int
	Promise string
	Status  Status
	// Cases counts the cases checked, Violations those that broke the promise.
	// Examples describes the first few violations.
	Cases      int
	Violations int
	Examples   []string
}

// Tier counts the outcomes of one tier's requests. Late counts answers that came
// after the deadline or were not correct.
type Tier struct {
	Name      string
	Sent      int
	InTime    int
	Late      int
	NotRun    int
	Unknown   int
	BrokenOff int
	Failed    int
	// FirstP50 and FirstP99 are quantiles of the time to the first part of an
	// answer, over the requests for which a first part arrived.
	FirstP50 time.Duration
	FirstP99 time.Duration
}

// Report is the result of an audit.
type Report struct {
	Results []Result
	Tiers   []Tier
	// Prefilled counts the prompt tokens that endpoints computed, Wasted those of
	// them that were computed for cancelled runs.
	Prefilled int
	Wasted    int
}

// auditor indexes the evidence for the checks. startedRuns, runsByKey and
// runsByRequest hold only the lines with phase Started.
type auditor struct {
	evidence                  Evidence
	tiers                     []string
	serviceByEndpointOrPrefix map[string]string
	startedRuns               []runlog.Line
	runsByKey                 map[string][]runlog.Line
	runsByRequest             map[string][]runlog.Line
	// endByAttempt maps each attempt to the time at which its run ended.
	endByAttempt map[string]time.Time
	// lastTry maps a request's number to the number of its last try.
	lastTry map[int]int
}

// Check checks the evidence against each of the eight promises and counts the
// outcomes by tier.
func Check(e Evidence) Report {
	a := newAuditor(e)
	report := Report{
		Results: []Result{
			a.checkDispatchedOnce(),
			a.checkHighTiersFirst(),
			a.checkWholeAnswers(),
			a.checkNotRun(),
			a.checkRunOnce(),
			a.checkLeavingEndpoints(),
			a.checkPlannedStops(),
			a.checkConfiguration(),
		},
		Tiers: a.countOutcomes(),
	}
	report.Prefilled, report.Wasted = a.sumPrefill()
	return report
}

func newAuditor(e Evidence) *auditor {
	a := &auditor{evidence: e, runsByKey: map[string][]runlog.Line{}, runsByRequest: map[string][]runlog.Line{}, endByAttempt: map[string]time.Time{}, lastTry: map[int]int{}}
	for _, o := range e.Outcomes {
		a.lastTry[o.Number] = max(a.lastTry[o.Number], o.Try)
	}
	for _, event := range e.Timeline {
		if event.Kind == Deployed {
			a.tiers, a.serviceByEndpointOrPrefix = event.Tiers, event.Services
		}
	}
	for _, run := range e.Runs {
		if run.Phase != runlog.Started {
			a.endByAttempt[run.Attempt] = run.At
			continue
		}
		a.startedRuns = append(a.startedRuns, run)
		if run.Key != "" {
			a.runsByKey[run.Key] = append(a.runsByKey[run.Key], run)
		}
		a.runsByRequest[run.Request] = append(a.runsByRequest[run.Request], run)
	}
	return a
}

func (r Result) withStatus() Result {
	switch {
	case r.Violations > 0:
		r.Status = Broken
	case r.Cases > 0:
		r.Status = Held
	default:
		r.Status = NotJudged
	}
	return r
}

func (r *Result) addViolation(format string, values ...any) {
	r.Violations++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, values...))
	}
}

// checkDispatchedOnce checks that no POST request with an idempotency key (an
// order) started twice at endpoints, also if no caller reported it; checkRunOnce
// starts from the callers' outcomes instead.
func (a *auditor) checkDispatchedOnce() Result {
	result := Result{Number: 1, Promise: "an order is dispatched at most once"}
	for key, runs := range a.runsByKey {
		if runs[0].Method != "POST" {
			continue
		}
		result.Cases++
		if len(runs) > 1 {
			result.addViolation("key %s was dispatched %d times", key, len(runs))
		}
	}
	return result.withStatus()
}

// checkRunOnce checks that each request with an idempotency key, whatever its
// method, ran at most once, and that callers got answers only to those that did
// run.
func (a *auditor) checkRunOnce() Result {
	result := Result{Number: 5, Promise: "a non-idempotent request runs at most once"}
	checked := map[string]bool{}
	for _, o := range a.evidence.Outcomes {
		if o.Key == "" {
			continue
		}
		if !checked[o.Key] {
			checked[o.Key] = true
			result.Cases++
			if n := len(a.runsByKey[o.Key]); n > 1 {
				result.addViolation("key %s ran %d times", o.Key, n)
			}
		}
		if o.Result == "answered" && len(a.runsByKey[o.Key]) == 0 {
			result.addViolation("key %s was answered and never ran", o.Key)
		}
	}
	return result.withStatus()
}

func (a *auditor) rank(tier string) int { return slices.Index(a.tiers, tier) }

// checkHighTiersFirst checks the requests without an idempotency key of all tiers
// but the lowest. If such a request was not answered by its deadline, and was not
// lost in a kill, no run of a lower tier of its service may start between its
// sending and its end (or its deadline, if that is earlier); and no such run may
// last from before its sending until after its end, unless it had been suspended
// maxSuspensions times and so could not be suspended again. Runs whose end is not
// recorded are skipped.
func (a *auditor) checkHighTiersFirst() Result {
	result := Result{Number: 2, Promise: "no higher tier is shed while a lower one is served"}
	for _, o := range a.evidence.Outcomes {
		rank := a.rank(o.Tier)
		if rank < 0 || rank == len(a.tiers)-1 || o.Key != "" {
			continue
		}
		result.Cases++
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
				result.addViolation("request %d (%s, %s) while %s started at %s", o.Number, o.Tier, o.Result, run.Tier, run.Endpoint)
				break
			}
			if a.endByAttempt[run.Attempt].After(end) && len(a.runsByRequest[run.Request]) <= maxSuspensions {
				result.addViolation("request %d (%s, %s) while %s ran at %s", o.Number, o.Tier, o.Result, run.Tier, run.Endpoint)
				break
			}
		}
	}
	return result.withStatus()
}

// lostInKill reports whether a request was lost because its host was killed while
// the request was open, or so shortly before that the balancer could not have
// noticed. It also accepts a kill up to a second after DoneAt. The scheduler did
// not shed such a request.
func (a *auditor) lostInKill(o caller.Outcome) bool {
	if o.Result != "failed" && o.Result != "broken-off" {
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
	if o.Result == "answered" && !o.DoneAt.After(o.Deadline) {
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
		if len(prefix) > 0 && prefix[0] == '/' && len(o.Path) > len(prefix) && o.Path[:len(prefix)+1] == prefix+"/" {
			return service
		}
	}
	return ""
}

// checkWholeAnswers checks that every answer was complete and belonged to its
// request.
func (a *auditor) checkWholeAnswers() Result {
	result := Result{Number: 3, Promise: "every answer is whole and its caller's own"}
	for _, o := range a.evidence.Outcomes {
		if o.Result != "answered" {
			continue
		}
		result.Cases++
		if !o.Correct {
			result.addViolation("request %d at %s: %s", o.Number, o.Host, o.Reason)
		}
	}
	return result.withStatus()
}

// checkNotRun checks that no endpoint ran a request that was reported to its caller
// as not run.
func (a *auditor) checkNotRun() Result {
	result := Result{Number: 4, Promise: "what is told as not run did not run"}
	for _, o := range a.evidence.Outcomes {
		if o.Result != "not-run" {
			continue
		}
		result.Cases++
		runs := a.runsByRequest[o.Request]
		if o.Key != "" {
			runs = a.runsByKey[o.Key]
		}
		if len(runs) > 0 {
			result.addViolation("request %d (key %q) ran at %s", o.Number, o.Key, runs[0].Endpoint)
		}
	}
	return result.withStatus()
}

// checkLeavingEndpoints checks that no run started at an endpoint later than
// leavingBound after the endpoint was reported as leaving.
func (a *auditor) checkLeavingEndpoints() Result {
	result := Result{Number: 6, Promise: "a leaving endpoint gets no new work after 3 s"}
	for _, event := range a.evidence.Timeline {
		if event.Kind != EndpointLeaving {
			continue
		}
		result.Cases++
		for _, run := range a.startedRuns {
			if run.Endpoint == event.Target && run.At.After(event.At.Add(leavingBound)) {
				result.addViolation("%s got work %v after it began to leave", event.Target, run.At.Sub(event.At))
			}
		}
	}
	return result.withStatus()
}

// checkPlannedStops checks that each host that was asked to stop exited cleanly,
// and that no request open there between the stop signal and the exit failed or
// broke off.
func (a *auditor) checkPlannedStops() Result {
	result := Result{Number: 7, Promise: "a planned stop cuts no request"}
	for _, stopping := range a.evidence.Timeline {
		if stopping.Kind != HostStopping {
			continue
		}
		stopped, found := a.findExit(stopping)
		if !found || stopped.ExitStatus != 0 {
			result.Cases++
			result.addViolation("%s did not exit cleanly: %s", stopping.Target, stopped.Note)
			continue
		}
		for _, o := range a.evidence.Outcomes {
			wasOpen := o.Host == stopping.Target && o.DoneAt.After(stopping.At) && o.SentAt.Before(stopped.At)
			if !wasOpen {
				continue
			}
			result.Cases++
			if o.Result == "broken-off" || o.Result == "failed" {
				result.addViolation("request %d at %s: %s %s", o.Number, o.Host, o.Result, o.Reason)
			}
		}
	}
	return result.withStatus()
}

// findExit finds the exit of a host that was asked to stop.
func (a *auditor) findExit(stopping Event) (Event, bool) {
	for _, event := range a.evidence.Timeline {
		if event.Kind == HostStopped && event.Target == stopping.Target && event.At.After(stopping.At) {
			return event, true
		}
	}
	return Event{Note: "it never ended"}, false
}

// checkConfiguration checks that versions only rise on each host, and that each
// accepted version is in force on every observed host within configurationBound.
func (a *auditor) checkConfiguration() Result {
	result := Result{Number: 8, Promise: "an accepted configuration is everywhere in 5 s and never reverts"}
	latest := map[string]int64{}
	for _, event := range a.evidence.Timeline {
		switch event.Kind {
		case Observed:
			result.Cases++
			if event.Version < latest[event.Target] {
				result.addViolation("%s went back from version %d to %d", event.Target, latest[event.Target], event.Version)
			}
			latest[event.Target] = event.Version
		case Accepted:
			for _, other := range a.evidence.Timeline {
				overdue := other.Kind == Observed && other.At.After(event.At.Add(configurationBound))
				if overdue && other.Version < event.Version {
					result.addViolation("%s still had version %d, %v after version %d", other.Target, other.Version, other.At.Sub(event.At), event.Version)
				}
			}
		}
	}
	return result.withStatus()
}

// countOutcomes counts the outcomes of each tier. Of a request that its caller sent
// several times, only the last try counts.
func (a *auditor) countOutcomes() []Tier {
	tiers := make([]Tier, len(a.tiers))
	for i, name := range a.tiers {
		tiers[i].Name = name
	}
	firstPartTimes := make([][]time.Duration, len(a.tiers))
	for _, o := range a.evidence.Outcomes {
		rank := a.rank(o.Tier)
		if rank < 0 || o.ExcludedFromGoodput || a.lastTry[o.Number] > o.Try {
			continue
		}
		t := &tiers[rank]
		if !o.FirstAt.IsZero() {
			firstPartTimes[rank] = append(firstPartTimes[rank], o.FirstAt.Sub(o.SentAt))
		}
		t.Sent++
		switch {
		case o.Result == "answered" && o.Correct && !o.DoneAt.After(o.Deadline):
			t.InTime++
		case o.Result == "answered":
			t.Late++
		case o.Result == "not-run":
			t.NotRun++
		case o.Result == "unknown":
			t.Unknown++
		case o.Result == "broken-off":
			t.BrokenOff++
		default:
			t.Failed++
		}
	}
	for i := range tiers {
		slices.Sort(firstPartTimes[i])
		tiers[i].FirstP50 = quantile(firstPartTimes[i], 50)
		tiers[i].FirstP99 = quantile(firstPartTimes[i], 99)
	}
	return tiers
}

// quantile returns the value below which the given percentage of the sorted
// values lies, or 0 if there are no values.
func quantile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)]
}

// sumPrefill sums the prompt tokens computed in all runs and in cancelled runs.
func (a *auditor) sumPrefill() (computed, wasted int) {
	for _, run := range a.evidence.Runs {
		computed += run.Prefilled
		if run.Phase == runlog.Cancelled {
			wasted += run.Prefilled
		}
	}
	return computed, wasted
}
