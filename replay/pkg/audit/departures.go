package audit

import "time"

// leavingBound is the time after which a leaving endpoint must not receive
// new work.
const leavingBound = 3 * time.Second

// checkLeavingEndpoints checks that no run started at an endpoint later than
// leavingBound after the endpoint was reported as leaving.
func (a *auditor) checkLeavingEndpoints(r *Result) {
	for _, event := range a.evidence.Timeline {
		if event.Kind != EndpointLeaving {
			continue
		}
		r.Cases++
		for _, run := range a.startedRuns {
			if run.Endpoint == event.Target && run.At.After(event.At.Add(leavingBound)) {
				r.addViolation("%s got work %v after it began to leave", event.Target, run.At.Sub(event.At))
			}
		}
	}
}

// checkPlannedStops checks that each host that was asked to stop exited cleanly,
// and that no request open there between the stop signal and the exit failed or
// broke off.
func (a *auditor) checkPlannedStops(r *Result) {
	for _, stopping := range a.evidence.Timeline {
		if stopping.Kind != HostStopping {
			continue
		}
		stopped, found := a.findExit(stopping)
		if !found || stopped.ExitStatus != 0 {
			r.Cases++
			r.addViolation("%s did not exit cleanly: %s", stopping.Target, stopped.Note)
			continue
		}
		for _, o := range a.evidence.Outcomes {
			wasOpen := o.Host == stopping.Target && o.DoneAt.After(stopping.At) && o.SentAt.Before(stopped.At)
			if !wasOpen {
				continue
			}
			r.Cases++
			if wasCut(o) {
				r.addViolation("request %d at %s: %s %s", o.Number, o.Host, o.Result, o.Reason)
			}
		}
	}
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
