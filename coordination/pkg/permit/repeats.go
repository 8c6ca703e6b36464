package permit

import "time"

// RepeatBound bounds how often requests are sent once more: in any window, the
// ratio of the requests plus the slack. The zero value allows everything.
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

// admit counts a request, and tells whether a repeat is within the bound.
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
