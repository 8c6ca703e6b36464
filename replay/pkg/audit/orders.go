package audit

// checkDispatchedOnce checks that no POST request with an idempotency key (an
// order) started twice at endpoints, also if no caller reported it; checkRunOnce
// starts from the callers' outcomes instead.
func (a *auditor) checkDispatchedOnce(r *Result) {
	for key, runs := range a.runsByKey {
		if runs[0].Method != "POST" {
			continue
		}
		r.Cases++
		if len(runs) > 1 {
			r.addViolation("key %s was dispatched %d times", key, len(runs))
		}
	}
}

// checkRunOnce checks that each request with an idempotency key, whatever its
// method, ran at most once, and that callers got answers only to those that did
// run.
func (a *auditor) checkRunOnce(r *Result) {
	checked := map[string]bool{}
	for _, o := range a.evidence.Outcomes {
		if o.Key == "" {
			continue
		}
		if !checked[o.Key] {
			checked[o.Key] = true
			r.Cases++
			if n := len(a.runsByKey[o.Key]); n > 1 {
				r.addViolation("key %s ran %d times", o.Key, n)
			}
		}
		if o.Result == "answered" && len(a.runsByKey[o.Key]) == 0 {
			r.addViolation("key %s was answered and never ran", o.Key)
		}
	}
}
