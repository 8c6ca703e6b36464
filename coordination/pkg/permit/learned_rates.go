package permit

import "time"

// Usage holds the measured size and times of an answered request, from which the
// core learns the rates of the endpoint. The zero Usage changes no rate.
type Usage struct {
	PromptTokens int           `json:"prompt-tokens,omitempty"`
	AnswerTokens int           `json:"answer-tokens,omitempty"`
	FirstByte    time.Duration `json:"first-byte,omitempty"`
	Total        time.Duration `json:"total,omitempty"`
	// LongestPause is the longest time between two parts of the answer.
	LongestPause time.Duration `json:"longest-pause,omitempty"`
	// Begun is set if the endpoint began a successful answer.
	Begun bool `json:"begun,omitempty"`
	// Slowness is what the head of the answer said of the endpoint's slowness; zero if
	// it said nothing.
	Slowness float64 `json:"slowness,omitempty"`
	// Error is set if the endpoint answered with an error of its own, where rollouts
	// compare versions.
	Error bool `json:"error,omitempty"`
}

// LearnedRates holds the costs that an owner has learned for one endpoint. A cost of
// zero is unknown.
type LearnedRates struct {
	Endpoint string `json:"endpoint"`
	// PerRequest is the fixed cost of a request, PerToken the cost of a token of
	// its prompt, and PerPart the cost of a part of its answer, all in seconds.
	PerRequest float64 `json:"request"`
	PerToken   float64 `json:"token,omitempty"`
	PerPart    float64 `json:"part,omitempty"`
}
