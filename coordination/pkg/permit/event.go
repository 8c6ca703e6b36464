package permit

import "time"

// EndpointRules is the configuration of one endpoint.
type EndpointRules struct {
	Name         string  `json:"name"`
	Limit        int     `json:"limit"`
	PrefillSpeed float64 `json:"prefill-speed,omitempty"`
	DecodeSpeed  float64 `json:"decode-speed,omitempty"`
	Leaving      bool    `json:"leaving,omitempty"`
	DataCentre   string  `json:"data-centre,omitempty"`
	// Version is the version of the endpoint's software; empty if it states none.
	Version string `json:"version,omitempty"`
}

// EarlierGrants holds the persisted grants of earlier owners that a new owner has
// read. The zero value means that none were found.
type EarlierGrants struct {
	// NoEarlierOwner is set if the service had no owner before.
	NoEarlierOwner bool `json:"first,omitempty"`
	// Unread is set if the persisted grants could not be read. Quotas are then assumed
	// to be used: at the last moment if AtOnce is set, otherwise evenly over the window.
	Unread bool `json:"unread,omitempty"`
	AtOnce bool `json:"at-once,omitempty"`
	// Assumed is the share of its quota that a customer is assumed to have used if
	// no persisted grants were found for it.
	Assumed float64 `json:"assumed,omitempty"`
	// QuotaUsed holds the persisted grants that were found.
	QuotaUsed []QuotaUsage `json:"spent,omitempty"`
}

// Event is an input of the core. It is one of Configured, Regained, Shared, Asked, Withdrawn,
// Progressed, Finished, Failed, Stalled, Warned, Limited, Slowed, Measured, Paused,
// Listed, Settled, Reported, Marked, Steered, HostLost and Ticked.
type Event interface{ at() Instant }

// TimeOf returns when an event arrived.
func TimeOf(event Event) Instant { return event.at() }

type (
	// Configured sets the rules of the service. The first one starts the settling
	// period, during which a new owner receives the permits that were granted
	// before it.
	Configured struct {
		At         Instant `json:"at"`
		Version    int64   `json:"version"`
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
		// RateShare is the part of the limits that endpoints name which this owner may
		// use; zero means all of them.
		RateShare float64 `json:"rate-share,omitempty"`
		// FairShare divides what endpoints can serve between the customers that compete
		// for it, and schedules when refused requests come back.
		FairShare bool `json:"fair-share,omitempty"`
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
	// Shared reports the grants that other owners make while this owner decides.
	Shared struct {
		At        Instant      `json:"at"`
		QuotaUsed []QuotaUsage `json:"spent,omitempty"`
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
		// Begun is set if the endpoint had begun its answer.
		Begun bool `json:"begun,omitempty"`
		// Suspect identifies the request, if its fault is Disconnected and its answer
		// was not begun; otherwise it is nil.
		Suspect *Suspect `json:"suspect,omitempty"`
	}
	// Warned reports what other owners learned about parts of prompts that crash
	// endpoints.
	Warned struct {
		At      Instant     `json:"at"`
		Crashes []Crash     `json:"crashes,omitempty"`
		Held    []HeldParts `json:"held,omitempty"`
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
	// Settled reports that all hosts have listed the permits that they hold, which ends
	// the settling period of a new owner.
	Settled struct {
		At Instant `json:"at"`
	}
	// Limited reports what an endpoint says of the rate of requests that it takes.
	Limited struct {
		At    Instant   `json:"at"`
		Limit RateLimit `json:"limit"`
	}
	// Slowed reports how long work takes on the machine of an endpoint, as a multiple of
	// the usual.
	Slowed struct {
		At       Instant `json:"at"`
		Endpoint string  `json:"endpoint"`
		Slowness float64 `json:"slowness"`
		// Age is how long before At the answer arrived that said so.
		Age time.Duration `json:"age,omitempty"`
	}
	// Measured reports round trips from a data centre that are expensive for the service,
	// as one of its hosts measured them. They count for a time only.
	Measured struct {
		At         Instant     `json:"at"`
		DataCentre string      `json:"data-centre"`
		RoundTrips []RoundTrip `json:"round-trips"`
	}
	// Paused reports that an endpoint wants no request from a host for a time.
	Paused struct {
		At    Instant `json:"at"`
		Host  string  `json:"host"`
		Pause Pause   `json:"pause"`
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
func (e Shared) at() Instant     { return e.At }
func (e Asked) at() Instant      { return e.At }
func (e Withdrawn) at() Instant  { return e.At }
func (e Finished) at() Instant   { return e.At }
func (e Failed) at() Instant     { return e.At }
func (e Settled) at() Instant    { return e.At }
func (e Limited) at() Instant    { return e.At }
func (e Slowed) at() Instant     { return e.At }
func (e Measured) at() Instant   { return e.At }
func (e Paused) at() Instant     { return e.At }
func (e Warned) at() Instant     { return e.At }
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
	// Disconnected means that the connection ended before the answer did. It is Lost
	// in all else.
	Disconnected
)
