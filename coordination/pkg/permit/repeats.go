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

// repeats counts requests and repeats in a window.
type repeats struct {
	bound           RepeatBound
	requests, again tally
}

func (r *repeats) configure(bound RepeatBound) {
	r.bound = bound
	r.requests.width = int64(bound.Window) / windowSlots
	r.again.width = r.requests.width
}

// admit counts a request, and reports whether a repeat is within the budget.
func (r *repeats) admit(now Instant, repeat bool) bool {
	if r.bound.Window <= 0 {
		return true
	}
	r.requests.advance(now)
	r.again.advance(now)
	if !repeat {
		r.requests.add(now, 1)
		return true
	}
	if r.again.sum()+1 > r.bound.Ratio*r.requests.sum()+r.bound.Slack {
		return false
	}
	r.again.add(now, 1)
	return true
}
