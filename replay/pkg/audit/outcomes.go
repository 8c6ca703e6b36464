package audit

import (
	"slices"
	"time"

	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/standin/pkg/runlog"
)

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
		case o.Correct && answeredInTime(o):
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

// answeredInTime reports whether a whole answer, correct or not, arrived by the
// deadline of its request.
func answeredInTime(o caller.Outcome) bool {
	return o.Result == "answered" && !o.DoneAt.After(o.Deadline)
}

// wasCut reports whether a request ended without any of the three replies that a
// caller can act on: a whole answer, not-run and unknown.
func wasCut(o caller.Outcome) bool { return o.Result == "failed" || o.Result == "broken-off" }
