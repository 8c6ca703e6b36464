package audit

import (
	"fmt"

	"godwitmoor.example/replay/pkg/trace"
)

// UnmetExpectations compares the report with the expectations of a trace and returns one
// line of text for each expectation that is not met. A broken promise is always
// included, even if the trace does not list it.
func (r Report) UnmetExpectations(e trace.Expect) []string {
	expectedHeld := map[int]bool{}
	for _, number := range e.Held {
		expectedHeld[number] = true
	}
	var unmet []string
	for _, result := range r.Results {
		if result.Status == Broken || (expectedHeld[result.Number] && result.Status != Held) {
			unmet = append(unmet, fmt.Sprintf("promise %d is %s", result.Number, result.Status))
		}
	}
	for _, share := range e.InTime {
		unmet = append(unmet, unmetShare(share, r.Tiers)...)
	}
	if e.WastedPrefill > 0 && r.WastedShare() > e.WastedPrefill {
		unmet = append(unmet, fmt.Sprintf("wasted prefill %.2f%% over %.2f%%", 100*r.WastedShare(), 100*e.WastedPrefill))
	}
	return unmet
}

func unmetShare(s trace.TierShare, tiers []Tier) []string {
	for _, t := range tiers {
		if t.Name != s.Tier {
			continue
		}
		inTime := float64(t.InTime) / float64(max(t.Sent, 1))
		if inTime >= s.Share {
			return nil
		}
		return []string{fmt.Sprintf("tier %s in time %.1f%% under %.1f%%", s.Tier, 100*inTime, 100*s.Share)}
	}
	return []string{fmt.Sprintf("tier %s was not seen", s.Tier)}
}
