package permit

import (
	"slices"
	"time"
)

// Ask is a request for admission to an endpoint. It carries only the properties
// that the decision needs, and none of the request's content.
type Ask struct {
	// ID identifies this ask; the permit that answers it has the same ID.
	ID string `json:"id"`
	// Request identifies the request. It is the same for all asks of one request.
	Request string `json:"request"`
	// Subject identifies what the caller asks for, so that the core recognizes a
	// request that is sent again after a refusal. Empty means not given.
	Subject string `json:"subject,omitempty"`
	// Parts identifies the parts of the prompt that other requests may share.
	Parts []string `json:"parts,omitempty"`
	// Host is the entry host of the request.
	Host string `json:"host"`
	// DataCentre is the data centre of the entry host; empty if it does not matter.
	DataCentre string `json:"data-centre,omitempty"`
	// Route is the request's route, where rollouts compare versions by route; otherwise
	// it is empty.
	Route string `json:"route,omitempty"`
	// Tier is the rank of the request's tier; 0 is the highest.
	Tier int `json:"tier"`
	// Deadline is when the whole answer must have arrived.
	Deadline Instant `json:"deadline"`
	// PromptTokens and AnswerTokens are estimates of the work. Both are 0 for a
	// service that does not count tokens.
	PromptTokens int `json:"prompt-tokens,omitempty"`
	AnswerTokens int `json:"answer-tokens,omitempty"`
	// Suspendable is set if the request can be stopped while it runs and resumed
	// later where it stopped.
	Suspendable bool `json:"suspendable,omitempty"`
	// Suspensions is how often the request was suspended. Begun is set if part of
	// the answer was already produced; such requests are served before the others
	// of their tier.
	Suspensions int  `json:"suspensions,omitempty"`
	Begun       bool `json:"begun,omitempty"`
	// Avoid lists the endpoints that failed this request before.
	Avoid []string `json:"avoid,omitempty"`
	// Goal is the soft deadline of the first part of the answer. Patience is when
	// the caller gives up if no part has arrived. Zero means not given.
	Goal Instant `json:"goal,omitempty"`
	// GapGoal is the longest acceptable pause between two parts of the answer.
	GapGoal  time.Duration `json:"gap-goal,omitempty"`
	Patience Instant       `json:"patience,omitempty"`
	// Customer is charged QuotaTokens of its quota for the ask.
	Customer    string `json:"customer,omitempty"`
	QuotaTokens int    `json:"quota-tokens,omitempty"`
	// Repeat is set if the request was already sent to an endpoint before.
	Repeat bool `json:"repeat,omitempty"`
	// Returned is set if an earlier permit of the request was returned before anything
	// was sent. It was charged then.
	Returned bool `json:"returned,omitempty"`
}

// Suspect returns what identifies the request if its endpoint crashes.
func (a Ask) Suspect() Suspect {
	return Suspect{Request: a.Request, Customer: a.Customer, Subject: a.Subject, Parts: a.Parts}
}

// WithAvoid returns a copy of the ask with a new ID that also avoids the given
// endpoint.
func (a Ask) WithAvoid(id, endpoint string) Ask {
	a.Avoid = append(slices.Clip(a.Avoid), endpoint)
	a.ID = id
	return a
}
