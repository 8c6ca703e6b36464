package audit

import (
	"fmt"

	"godwitmoor.example/replay/pkg/trace"
)

// Missed compares the report with the expectations of a trace and returns one
// line of text for each expectation that is not met. A broken promise is always
// included, even if the trace does not list it.
func (j Judgement) Missed(e trace.Expect) []string {
	must := map[int]bool{}
	for _, number := range e.Held {
		must[number] = true
	}
	var missed []string
	for _, v := range j.Verdicts {
		if v.Standing == Broken || (must[v.Number] && v.Standing != Held) {
			missed = append(missed, fmt.Sprintf("promise %d is %s", v.Number, v.Standing))
		}
	}
	for _, share := range e.InTime {
		missed = append(missed, missedShare(share, j.Tiers)...)
	}
	if e.WastedPrefill > 0 && j.WastedShare() > e.WastedPrefill {
		missed = append(missed, fmt.Sprintf("wasted prefill %.2f%% over %.2f%%", 100*j.WastedShare(), 100*e.WastedPrefill))
	}
	return missed
}

func missedShare(s trace.TierShare, tiers []Tier) []string {
	for _, t := range tiers {
		if t.Name != s.Tier {
			continue
		}
		got := float64(t.InTime) / float64(max(t.Sent, 1))
		if got >= s.Share {
			return nil
		}
		return []string{fmt.Sprintf("tier %s in time %.1f%% under %.1f%%", s.Tier, 100*got, 100*s.Share)}
	}
	return []string{fmt.Sprintf("tier %s was not seen", s.Tier)}
}
