package rollout

import "time"

// Record is what a successor has to know of a rollout.
type Record struct {
	Order Order
	Stage Stage
	Began time.Time
	// StageSince is when the stage began.
	StageSince time.Time
	Requests   int
	// Reserved is how many requests the target may have got.
	Reserved int
	Lines    []Line
}

// Record returns the record of the rollout in a stage, which allows the target the given
// number of requests.
func (s Steering) Record(stage Stage, reserved int) Record {
	r := Record{
		Order: s.order, Stage: stage, Began: s.began, StageSince: s.stageSince,
		Requests: s.requests, Reserved: max(reserved, s.exposed), Lines: s.total.Lines(),
	}
	if stage != s.stage {
		r.StageSince = s.now
	}
	return r
}

// Resume returns the state that a successor continues with. It takes all reserved
// requests as sent.
func (r Record) Resume(bounds Bounds, now time.Time) Steering {
	s := Steering{
		order: r.Order, bounds: bounds, stage: r.Stage, began: r.Began, stageSince: r.StageSince, now: now,
		requests: r.Requests, exposed: r.Reserved, reserved: r.Reserved, total: Results{},
	}
	if s.stage == "" {
		s.stage = Canary
	}
	for _, line := range r.Lines {
		s.total[line.Source] = line.Counts
	}
	return s
}
