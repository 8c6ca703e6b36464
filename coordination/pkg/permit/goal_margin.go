package permit

import "time"

const (
	// overshootRate is the weight of the newest sample.
	overshootRate = 0.05
	// goalMargin is how many mean overshoots are added to an estimate of the first part.
	goalMargin = 2
)

// overshoot is how much later than estimated the first parts of answers come, on average
// and relative to the estimate. Under overload a queue in order of urgency starts each
// request at the last moment, so without a margin half of them would miss their goals.
type overshoot struct{ mean float64 }

// learn updates the mean from a first part that was expected after one time and came
// after another.
func (o *overshoot) learn(expected, actual time.Duration) {
	if expected <= 0 || actual <= 0 {
		return
	}
	sample := max((actual-expected).Seconds()/expected.Seconds(), 0)
	o.mean += overshootRate * (min(sample, 1) - o.mean)
}

// withMargin returns the time within which a first part will most likely come.
func (o *overshoot) withMargin(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (1 + goalMargin*o.mean))
}
