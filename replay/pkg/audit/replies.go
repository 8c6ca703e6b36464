package audit

// checkWholeAnswers checks that every answer was complete and belonged to its
// request.
func (a *auditor) checkWholeAnswers(r *Result) {
	for _, o := range a.evidence.Outcomes {
		if o.Result != "answered" {
			continue
		}
		r.Cases++
		if !o.Correct {
			r.addViolation("request %d at %s: %s", o.Number, o.Host, o.Reason)
		}
	}
}

// checkNotRun checks that no endpoint ran a request that was reported to its caller
// as not run.
func (a *auditor) checkNotRun(r *Result) {
	for _, o := range a.evidence.Outcomes {
		if o.Result != "not-run" {
			continue
		}
		r.Cases++
		runs := a.runsByRequest[o.Request]
		if o.Key != "" {
			runs = a.runsByKey[o.Key]
		}
		if len(runs) > 0 {
			r.addViolation("request %d (key %q) ran at %s", o.Number, o.Key, runs[0].Endpoint)
		}
	}
}
