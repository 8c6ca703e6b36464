package permit

import (
	"slices"
	"time"
)

// Instant is a point in time in nanoseconds since 1970 UTC, as read by the caller
// of the core. The core itself never reads a clock.
type Instant int64

// After returns the instant t+d.
func (t Instant) After(d time.Duration) Instant { return t + Instant(d) }

// Since returns the time elapsed from earlier to t.
func (t Instant) Since(earlier Instant) time.Duration { return time.Duration(t - earlier) }

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
	// Host is the entry host of the request.
	Host string `json:"host"`
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
}

// WithAvoid returns a copy of the ask with a new ID that also avoids the given
// endpoint.
func (a Ask) WithAvoid(id, endpoint string) Ask {
	a.Avoid = append(slices.Clip(a.Avoid), endpoint)
	a.ID = id
	return a
}

// Permit is the right to send one request to one endpoint.
type Permit struct {
	ID       string `json:"id"`
	Endpoint string `json:"endpoint"`
	Tier     int    `json:"tier"`
}

// Usage holds the measured size and times of an answered request, from which the
// core learns the rates of the endpoint. The zero Usage changes no rate.
type Usage struct {
	PromptTokens int           `json:"prompt-tokens,omitempty"`
	AnswerTokens int           `json:"answer-tokens,omitempty"`
	FirstByte    time.Duration `json:"first-byte,omitempty"`
	Total        time.Duration `json:"total,omitempty"`
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

// EndpointRules is the configuration of one endpoint.
type EndpointRules struct {
	Name         string  `json:"name"`
	Limit        int     `json:"limit"`
	PrefillSpeed float64 `json:"prefill-speed,omitempty"`
	DecodeSpeed  float64 `json:"decode-speed,omitempty"`
	Leaving      bool    `json:"leaving,omitempty"`
}

// EarlierGrants holds the persisted grants of earlier owners that a new owner has
// read. The zero value means that none were found.
type EarlierGrants struct {
	// NoEarlierOwner is set if the service had no owner before.
	NoEarlierOwner bool `json:"first,omitempty"`
	// Unread is set if the persisted grants could not be read.
	Unread bool `json:"unread,omitempty"`
	// Assumed is the share of its quota that a customer is assumed to have used if
	// no persisted grants were found for it.
	Assumed float64 `json:"assumed,omitempty"`
	// QuotaUsed holds the persisted grants that were found.
	QuotaUsed []QuotaUsage `json:"spent,omitempty"`
}

// Event is an input of the core. It is one of Configured, Regained, Asked, Withdrawn,
// Progressed, Finished, Failed, Stalled, Listed, Reported, Marked, HostLost and Ticked.
type Event interface{ at() Instant }

type (
	// Configured sets the rules of the service. The first one starts the settling
	// period, during which a new owner receives the permits that were granted
	// before it.
	Configured struct {
		At         Instant `json:"at"`
		Version    int64   `json:"version"`
		Tiers      int     `json:"tiers"`
		QueueLimit int     `json:"queue-limit"`
		// Weights are the relative values of an answer of each tier, the highest tier
		// first. Without weights a higher tier is always served first.
		Weights []float64 `json:"weights,omitempty"`
		// WorstWeight is how much the share of requests served in the worst-served
		// tier counts relative to the total value of all that is served. At zero it
		// does not count.
		WorstWeight float64 `json:"worst-weight,omitempty"`
		// GoodputWeight is from 0 to 1. A waiting request may interrupt running
		// work of a lower tier once only half this share of its possible waiting
		// time is left: at 1 when half of the time has passed, at 0 at the last moment.
		GoodputWeight float64         `json:"goodput-weight,omitempty"`
		Endpoints     []EndpointRules `json:"endpoints"`
		Settle        time.Duration   `json:"settle,omitempty"`
		Quotas        []Quota         `json:"quotas,omitempty"`
		QuotaWindow   time.Duration   `json:"quota-window,omitempty"`
		// Partial is set if other owners may grant from the same quotas.
		Partial bool `json:"partial,omitempty"`
		// EarlierGrants describes the grants made before this owner. Only the first
		// Configured event uses it.
		EarlierGrants EarlierGrants `json:"before,omitzero"`
		Repeats       RepeatBound   `json:"repeats,omitzero"`
	}
	// Regained reports the grants of other owners to an owner that resumes deciding
	// after an interruption.
	Regained struct {
		At            Instant       `json:"at"`
		EarlierGrants EarlierGrants `json:"before"`
	}
	// Asked adds a waiting request. It is idempotent: if the request is already
	// granted, the core repeats the grant.
	Asked struct {
		At  Instant `json:"at"`
		Ask Ask     `json:"ask"`
	}
	// Withdrawn cancels an ask, or returns a permit that was not used.
	Withdrawn struct {
		At Instant `json:"at"`
		ID string  `json:"id"`
	}
	// Finished returns the permit of a request that was answered.
	Finished struct {
		At    Instant `json:"at"`
		ID    string  `json:"id"`
		Usage Usage   `json:"usage"`
	}
	// Progressed reports the usage of a running request up to its first part, if
	// the grant asked for that report.
	Progressed struct {
		At    Instant `json:"at"`
		ID    string  `json:"id"`
		Usage Usage   `json:"usage"`
	}
	// Failed returns the permit of a request that the endpoint rejected, did not
	// answer, or answered only in part.
	Failed struct {
		At    Instant `json:"at"`
		ID    string  `json:"id"`
		Fault Fault   `json:"fault,omitempty"`
	}
	// Stalled reports that the endpoint has sent no data for a request for too
	// long. The permit is still held.
	Stalled struct {
		At Instant `json:"at"`
		ID string  `json:"id"`
	}
	// Listed lists all permits that a host holds, to repair the state after lost
	// messages.
	Listed struct {
		At      Instant  `json:"at"`
		Host    string   `json:"host"`
		Permits []Permit `json:"permits"`
		// Rates holds what earlier owners learned about endpoints and sent to the host.
		Rates []LearnedRates `json:"paces,omitempty"`
	}
	// Reported is an endpoint's own report of the number of requests it runs. It
	// arrives with a delay.
	Reported struct {
		At       Instant `json:"at"`
		Endpoint string  `json:"endpoint"`
		Running  int     `json:"running"`
	}
	// Marked opens or closes an endpoint for new requests.
	Marked struct {
		At       Instant `json:"at"`
		Endpoint string  `json:"endpoint"`
		Open     bool    `json:"open"`
		Reason   string  `json:"reason,omitempty"`
	}
	// HostLost reports that the process of a host is gone, and with it the requests
	// that it had waiting.
	HostLost struct {
		At   Instant `json:"at"`
		Host string  `json:"host"`
	}
	// Ticked advances the time without any other change.
	Ticked struct {
		At Instant `json:"at"`
	}
)

func (e Configured) at() Instant { return e.At }
func (e Regained) at() Instant   { return e.At }
func (e Asked) at() Instant      { return e.At }
func (e Withdrawn) at() Instant  { return e.At }
func (e Finished) at() Instant   { return e.At }
func (e Failed) at() Instant     { return e.At }
func (e Progressed) at() Instant { return e.At }
func (e Stalled) at() Instant    { return e.At }
func (e Listed) at() Instant     { return e.At }
func (e Reported) at() Instant   { return e.At }
func (e Marked) at() Instant     { return e.At }
func (e HostLost) at() Instant   { return e.At }
func (e Ticked) at() Instant     { return e.At }

// Fault classifies how an endpoint failed a request.
type Fault uint8

// An endpoint fails a request with one of these faults.
const (
	// Unanswered means that the endpoint could not be reached or did not answer.
	Unanswered Fault = iota
	// Lost means that the answer was lost, or arrived only in part.
	Lost
	// Rejected means that the endpoint rejected the request because it was full.
	Rejected
)

// Reason is why a request was refused.
type Reason string

// A request is refused for one of these reasons.
const (
	// TooLate means that no endpoint can finish the request in time any more.
	TooLate Reason = "deadline"
	// QueueFull means that the queue is full and all waiting requests are of the
	// same tier or a higher one.
	QueueFull Reason = "queue-full"
	// Displaced means that a request of a higher tier took the place in the full
	// queue.
	Displaced Reason = "displaced"
	// OverQuota means that the customer has used up its quota for the current window.
	OverQuota Reason = "over-quota"
	// Crowded means that the work queued before the request takes longer than the
	// request can wait.
	Crowded Reason = "crowded"
	// NoRepeat means that the retry budget is exhausted.
	NoRepeat Reason = "no-repeat"
)

// Action is a decision of the core. It is one of Granted, Refused and Suspended.
type Action interface{ action() }

type (
	// Granted permits the host to send the request to the endpoint.
	Granted struct {
		ID       string `json:"id"`
		Host     string `json:"host"`
		Endpoint string `json:"endpoint"`
		// Waited is the time since the request was asked for.
		Waited time.Duration `json:"waited"`
		// Estimate is how long the request is expected to take at the endpoint.
		Estimate time.Duration `json:"estimate"`
		// ReportFirstPart asks the host to report the first part with Progressed,
		// because few prompts have been measured at the endpoint.
		ReportFirstPart bool `json:"teach,omitempty"`
		// Rates holds the learned rates of the endpoint, or is nil if none are known.
		// The host passes it on to the next owner.
		Rates *LearnedRates `json:"pace,omitempty"`
	}
	// Suspended stops a running request to free its slot for a higher tier. The
	// host cancels the attempt, returns the permit and asks again.
	Suspended struct {
		ID   string `json:"id"`
		Host string `json:"host"`
		// For is the ID of the ask that needs the slot.
		For string `json:"for"`
	}
	// Refused ends an ask without a permit: the request was not sent.
	Refused struct {
		ID         string        `json:"id"`
		Host       string        `json:"host"`
		Reason     Reason        `json:"reason"`
		RetryAfter time.Duration `json:"retry-after"`
		// Waited is the time since the request was asked for.
		Waited time.Duration `json:"waited"`
	}
)

func (Granted) action()   {}
func (Refused) action()   {}
func (Suspended) action() {}
