package audit

import (
	"time"

	"godwitmoor.example/standin/pkg/runlog"
)

// promises lists the promises in the order of their numbers, with their checks.
var promises = []struct {
	text  string
	check func(*auditor, *Result)
}{
	{"an order is dispatched at most once", (*auditor).checkDispatchedOnce},
	{"no higher tier is shed while a lower one is served", (*auditor).checkHighTiersFirst},
	{"every answer is whole and its caller's own", (*auditor).checkWholeAnswers},
	{"what is told as not run did not run", (*auditor).checkNotRun},
	{"a non-idempotent request runs at most once", (*auditor).checkRunOnce},
	{"a leaving endpoint gets no new work after 3 s", (*auditor).checkLeavingEndpoints},
	{"a planned stop cuts no request", (*auditor).checkPlannedStops},
	{"an accepted configuration is everywhere in 5 s and never reverts", (*auditor).checkConfiguration},
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
	report := Report{Tiers: a.countOutcomes()}
	for i, p := range promises {
		result := Result{Number: i + 1, Promise: p.text}
		p.check(a, &result)
		report.Results = append(report.Results, result.withStatus())
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
