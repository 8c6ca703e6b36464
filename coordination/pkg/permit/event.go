package permit

import (
	"slices"
	"time"
)

// Instant is a point in time in nanoseconds since 1970 UTC, as the caller of
// the core read it. The core itself never reads a clock.
type Instant int64

// After gives the instant d later.
func (t Instant) After(d time.Duration) Instant { return t + Instant(d) }

// Since gives the time from earlier to t.
func (t Instant) Since(earlier Instant) time.Duration { return time.Duration(t - earlier) }

// Ask is one request's wish for a place at an endpoint. It carries what the
// decision needs and nothing of the request's content.
type Ask struct {
	// ID is unique to this asking; the permit that answers it has the same ID.
	ID string `json:"id"`
	// Request is the request's own id, the same over all its askings.
	Request string `json:"request"`
	// Subject is the same when a caller asks for the same again after a refusal;
	// empty is not told.
	Subject string `json:"subject,omitempty"`
	// Host is the entry host that holds the request.
	Host string `json:"host"`
	// Tier is the rank of the request's tier; 0 is the highest.
	Tier int `json:"tier"`
	// Deadline is when the whole answer must be there.
	Deadline Instant `json:"deadline"`
	// PromptTokens and AnswerTokens estimate the work; both are 0 for a plain
	// service.
	PromptTokens int `json:"prompt-tokens,omitempty"`
	AnswerTokens int `json:"answer-tokens,omitempty"`
	// Suspendable says that the request can be stopped while it runs and go on
	// later from where it was.
	Suspendable bool `json:"suspendable,omitempty"`
	// Suspensions counts how often that has happened. A request that was begun
	// goes before the others of its tier.
	Suspensions int  `json:"suspensions,omitempty"`
	Begun       bool `json:"begun,omitempty"`
	// Avoid names the endpoints that failed this request before.
	Avoid []string `json:"avoid,omitempty"`
	// Goal is when the first part of the answer is wanted, and Patience when the
	// caller leaves without one; zero is not told.
	Goal Instant `json:"goal,omitempty"`
	// GapGoal is the longest pause wanted between two parts of the answer.
	GapGoal  time.Duration `json:"gap-goal,omitempty"`
	Patience Instant       `json:"patience,omitempty"`
	// Customer and QuotaTokens are what the ask counts for, and how much.
	Customer    string `json:"customer,omitempty"`
	QuotaTokens int    `json:"quota-tokens,omitempty"`
	// Repeat says that the request was sent to an endpoint before.
	Repeat bool `json:"repeat,omitempty"`
}

// WithAvoid gives a copy of the ask, under a new id, that stays off one more
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

// Usage is what an answered request took, from which speeds are learned. The
// zero Usage teaches nothing.
type Usage struct {
	PromptTokens int           `json:"prompt-tokens,omitempty"`
	AnswerTokens int           `json:"answer-tokens,omitempty"`
	FirstByte    time.Duration `json:"first-byte,omitempty"`
	Total        time.Duration `json:"total,omitempty"`
}

// Pace is what an owner has learned of the speed of one endpoint. Zero costs are
// not known.
type Pace struct {
	Endpoint string `json:"endpoint"`
	// Request is what each request costs, Token each token of its prompt and Part
	// each part of its answer, in seconds.
	Request float64 `json:"request"`
	Token   float64 `json:"token,omitempty"`
	Part    float64 `json:"part,omitempty"`
}

// EndpointRules is what the configuration says of one endpoint.
type EndpointRules struct {
	Name         string  `json:"name"`
	Limit        int     `json:"limit"`
	PrefillSpeed float64 `json:"prefill-speed,omitempty"`
	DecodeSpeed  float64 `json:"decode-speed,omitempty"`
	Leaving      bool    `json:"leaving,omitempty"`
}

// Before is what a new owner knows of earlier grants. The zero value means that
// there is nothing to know.
type Before struct {
	// First says that there was no owner before.
	First bool `json:"first,omitempty"`
	// Unread says that what was written of them could not be read.
	Unread bool `json:"unread,omitempty"`
	// Assumed is the share of its quota that a customer is taken to have used of
	// whom nothing was found.
	Assumed float64 `json:"assumed,omitempty"`
	// Spent is what was found written of them.
	Spent []Spending `json:"spent,omitempty"`
}

// Event is what the core is told. It is one of Configured, Regained, Asked, Withdrawn,
// Progressed, Finished, Failed, Stalled, Listed, Reported, Marked, HostLost and Ticked.
type Event interface{ at() Instant }

type (
	// Configured brings the rules of the service. The first one starts the
	// settling time, in which a new owner hears of permits granted before it.
	Configured struct {
		At         Instant `json:"at"`
		Version    int64   `json:"version"`
		Tiers      int     `json:"tiers"`
		QueueLimit int     `json:"queue-limit"`
		// Weights are what answers of each tier are worth beside each other, the
		// highest tier first; none means that a higher tier always goes first.
		Weights []float64 `json:"weights,omitempty"`
		// WorstWeight is how much the share that is served of the worst-served
		// tier counts beside the worth of all that is served; zero is not at all.
		WorstWeight float64 `json:"worst-weight,omitempty"`
		// GoodputWeight is from 0 to 1. A waiting request may interrupt running
		// work of a lower tier when half this share of the time that it could
		// wait is left: at 1, when half of it has passed; at 0, at the last moment.
		GoodputWeight float64         `json:"goodput-weight,omitempty"`
		Endpoints     []EndpointRules `json:"endpoints"`
		Settle        time.Duration   `json:"settle,omitempty"`
		Quotas        []Quota         `json:"quotas,omitempty"`
		QuotaWindow   time.Duration   `json:"quota-window,omitempty"`
		// Partial says that other owners may be granting of the same quotas.
		Partial bool `json:"partial,omitempty"`
		// Before says what is known of grants before this owner, when it begins.
		Before  Before      `json:"before,omitzero"`
		Repeats RepeatBound `json:"repeats,omitzero"`
	}
	// Regained tells an owner that decides again what others granted meanwhile.
	Regained struct {
		At     Instant `json:"at"`
		Before Before  `json:"before"`
	}
	// Asked brings a waiting request. Asking again with the same ID is harmless.
	Asked struct {
		At  Instant `json:"at"`
		Ask Ask     `json:"ask"`
	}
	// Withdrawn takes back an ask, or a permit that was not used.
	Withdrawn struct {
		At Instant `json:"at"`
		ID string  `json:"id"`
	}
	// Finished gives back a used permit.
	Finished struct {
		At    Instant `json:"at"`
		ID    string  `json:"id"`
		Usage Usage   `json:"usage"`
	}
	// Progressed tells what a running request took until its first part, where the
	// grant asked for that.
	Progressed struct {
		At    Instant `json:"at"`
		ID    string  `json:"id"`
		Usage Usage   `json:"usage"`
	}
	// Failed gives back a permit whose endpoint refused, was silent or cut the
	// answer short.
	Failed struct {
		At    Instant `json:"at"`
		ID    string  `json:"id"`
		Fault Fault   `json:"fault,omitempty"`
	}
	// Stalled says that the endpoint has been silent on a request for longer than
	// it should; the permit is still held.
	Stalled struct {
		At Instant `json:"at"`
		ID string  `json:"id"`
	}
	// Listed gives all the permits that a host holds, for what messages lost.
	Listed struct {
		At      Instant  `json:"at"`
		Host    string   `json:"host"`
		Permits []Permit `json:"permits"`
		// Paces are what earlier owners told the host of endpoints.
		Paces []Pace `json:"paces,omitempty"`
	}
	// Reported is an endpoint's own, late word on the requests it runs.
	Reported struct {
		At       Instant `json:"at"`
		Endpoint string  `json:"endpoint"`
		Running  int     `json:"running"`
	}
	// Marked opens or closes an endpoint for new work.
	Marked struct {
		At       Instant `json:"at"`
		Endpoint string  `json:"endpoint"`
		Open     bool    `json:"open"`
		Reason   string  `json:"reason,omitempty"`
	}
	// HostLost says that a host's process is gone, and what waited on it too.
	HostLost struct {
		At   Instant `json:"at"`
		Host string  `json:"host"`
	}
	// Ticked lets time pass.
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

// Fault says how an endpoint failed a request.
type Fault uint8

// The faults.
const (
	// Unanswered means that the endpoint could not be reached or did not answer.
	Unanswered Fault = iota
	// Lost means that the answer did not come, or not whole.
	Lost
	// TurnedDown means that the endpoint had no place.
	TurnedDown
)

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// TooLate means that no endpoint could still finish the request in time.
	TooLate Reason = "deadline"
	// QueueFull means that all waiting requests are of the same tier or higher.
	QueueFull Reason = "queue-full"
	// Displaced means that a request of a higher tier took the place in the queue.
	Displaced Reason = "displaced"
	// OverQuota means that the customer has sent what it may for now.
	OverQuota Reason = "over-quota"
	// Crowded means that more work waits before it than it can wait for.
	Crowded Reason = "crowded"
	// NoRepeat means that too many requests were sent once more lately.
	NoRepeat Reason = "no-repeat"
)

// Action is what the core decides. It is one of Granted, Refused and Suspended.
type Action interface{ action() }

type (
	// Granted lets the host send the request to the endpoint.
	Granted struct {
		ID       string `json:"id"`
		Host     string `json:"host"`
		Endpoint string `json:"endpoint"`
		// Waited is the time since the ask.
		Waited time.Duration `json:"waited"`
		// Estimate is the time the request is expected to take there.
		Estimate time.Duration `json:"estimate"`
		// Teach asks for Progressed with the first part: little is known yet of
		// the endpoint.
		Teach bool `json:"teach,omitempty"`
		// Pace is what is known of the endpoint; nil while nothing is. The host
		// brings it to the next owner.
		Pace *Pace `json:"pace,omitempty"`
	}
	// Suspended stops a running request, so that a higher tier gets its place.
	// The host cancels the attempt, gives the permit back and asks again.
	Suspended struct {
		ID   string `json:"id"`
		Host string `json:"host"`
		// For is the ask that needs the place.
		For string `json:"for"`
	}
	// Refused ends an ask without a permit: the request was not sent.
	Refused struct {
		ID         string        `json:"id"`
		Host       string        `json:"host"`
		Reason     Reason        `json:"reason"`
		RetryAfter time.Duration `json:"retry-after"`
		// Waited is the time since the ask.
		Waited time.Duration `json:"waited"`
	}
)

func (Granted) action()   {}
func (Refused) action()   {}
func (Suspended) action() {}
