package permit

import "time"

// RepeatBound is a retry budget: in any window, the number of repeats is at most
// Ratio times the number of first requests, plus Slack. A repeat is a request that
// was already sent to an endpoint before. The zero value allows every repeat.
type RepeatBound struct {
	Ratio  float64       `json:"ratio,omitempty"`
	Slack  float64       `json:"slack,omitempty"`
	Window time.Duration `json:"window,omitempty"`
}

// repeatBudget counts requests and repeats in a window.
type repeatBudget struct {
	bound              RepeatBound
	requests, repeated slidingWindow
}

func (r *repeatBudget) configure(bound RepeatBound) {
	r.bound = bound
	r.requests.bucketWidth = int64(bound.Window) / windowBuckets
	r.repeated.bucketWidth = r.requests.bucketWidth
}

// admit counts a request, and reports whether a repeat is within the budget.
func (r *repeatBudget) admit(now Instant, repeat bool) bool {
	if r.bound.Window <= 0 {
		return true
	}
	r.requests.advance(now)
	r.repeated.advance(now)
	if !repeat {
		r.requests.add(now, 1)
		return true
	}
	if r.repeated.sum()+1 > r.bound.Ratio*r.requests.sum()+r.bound.Slack {
		return false
	}
	r.repeated.add(now, 1)
	return true
}
