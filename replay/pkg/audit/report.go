package audit

import "time"

// Tier counts the outcomes of one tier's requests. Late counts answers that came
// after the deadline or were not correct.
type Tier struct {
	Name      string
	Sent      int
	InTime    int
	Late      int
	NotRun    int
	Unknown   int
	BrokenOff int
	Failed    int
	// FirstP50 and FirstP99 are quantiles of the time to the first part of an
	// answer, over the requests for which a first part arrived.
	FirstP50 time.Duration
	FirstP99 time.Duration
}

// Report is the result of an audit.
type Report struct {
	Results []Result
	Tiers   []Tier
	// Prefilled counts the prompt tokens that endpoints computed, Wasted those of
	// them that were computed for cancelled runs.
	Prefilled int
	Wasted    int
}
