// Package text defines the outcomes, the reasons and the explanations that callers
// read when they receive no whole answer.
package text

// Outcome says whether a request that got no whole answer may have run.
type Outcome string

// The outcomes of a request that got no whole answer.
const (
	// NotRun is certain: the request did not run and will not.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run; it will not be sent again.
	Unknown Outcome = "unknown"
	// BrokenOff means that the answer began and will not be completed.
	BrokenOff Outcome = "broken-off"
)

// Reason identifies why a request got no whole answer.
type Reason string

// The reasons. Their meanings, and what the caller can do, are in english.
const (
	NotReady          Reason = "not-ready"
	Unauthorized      Reason = "unauthorized"
	NoSuchService     Reason = "no-such-service"
	TierNotGranted    Reason = "tier-not-granted"
	UnknownTier       Reason = "unknown-tier"
	BadTimeout        Reason = "bad-timeout"
	BadBody           Reason = "bad-body"
	BodyTooLarge      Reason = "body-too-large"
	KeyMissing        Reason = "key-missing"
	KeyMalformed      Reason = "key-malformed"
	KeyExpired        Reason = "key-expired"
	KeyConflict       Reason = "key-conflict"
	KeyWithdrawn      Reason = "key-withdrawn"
	Deadline          Reason = "deadline"
	QueueFull         Reason = "queue-full"
	Displaced         Reason = "displaced"
	NoEndpoint        Reason = "no-endpoint"
	ClaimsUnreachable Reason = "claims-unreachable"
	StillRunning      Reason = "still-running"
	HolderLost        Reason = "holder-lost"
	AnswerLost        Reason = "answer-lost"
	AnswerNotKept     Reason = "answer-not-kept"
	AnswerCrossed     Reason = "answer-crossed"
	Stopped           Reason = "stopped"
	OverQuota         Reason = "over-quota"
	KeysUnconfirmed   Reason = "keys-unconfirmed"
	BadHeader         Reason = "bad-header"
	CrashesEndpoints  Reason = "crashes-endpoints"
	AllPaused         Reason = "all-paused"
	OwnerLate         Reason = "owner-late"
	OwnerSilent       Reason = "owner-silent"
	HostFull          Reason = "host-full"
	BodyTooSlow       Reason = "body-too-slow"
)

// Texts returns the texts for each reason. The zero value returns the English ones.
type Texts struct{}

// Title returns one line that says what happened. For a reason without a text it
// returns the reason itself.
func (Texts) Title(reason Reason) string {
	if t, known := english[reason]; known {
		return t.title
	}
	return string(reason)
}

// Remedy returns what the caller can do, or an empty string for a reason without a
// text.
func (Texts) Remedy(reason Reason) string { return english[reason].remedy }

// entry is the explanation of one reason.
type entry struct{ title, remedy string }

const sameKey = "send it again with the same Idempotency-Key; it cannot run twice"

var english = map[Reason]entry{
	NotReady:          {"the host has no configuration yet", "try another host"},
	Unauthorized:      {"the bearer token belongs to no customer", "send a customer's token as Authorization: Bearer"},
	NoSuchService:     {"no service has this path", "see the services' prefixes in the configuration"},
	TierNotGranted:    {"the tier is not granted to the customer", "leave out Request-Tier, or ask the operators for the tier"},
	UnknownTier:       {"there is no such tier", "name a tier of the configuration in Request-Tier, or leave it out"},
	BadTimeout:        {"Request-Timeout is no duration above zero", `write it as "2.5s"`},
	BadBody:           {"the request's body could not be read", "send the body completely and in time"},
	BodyTooSlow:       {"the request's body came too slowly", "send the body without pauses of several seconds"},
	HostFull:          {"the host has no room for the request's body", "send it again after Retry-After"},
	BodyTooLarge:      {"the request's body is larger than the service takes", "send less, or ask the operators for a higher body-limit"},
	KeyMissing:        {"a non-idempotent request needs a key", "send a UUID of version 7 as Idempotency-Key, new for each new request"},
	KeyMalformed:      {"the Idempotency-Key is no UUID of version 7 of the present time", "make a new one with a correct clock for each new request"},
	KeyExpired:        {"the Idempotency-Key is older than keys are remembered", "find out from the service itself whether the request ran"},
	KeyConflict:       {"the Idempotency-Key was used for another request", "make a new key for each new request"},
	KeyWithdrawn:      {"the request was withdrawn before it ran", "send it again with a new Idempotency-Key"},
	Deadline:          {"the request could not be finished in time", "send it again later, or with a longer Request-Timeout"},
	AllPaused:         {"every endpoint of the service asked this host for a pause", "send it again after Retry-After, to another host"},
	OwnerLate:         {"the host that decides for the service is behind with its decisions", "send it again after Retry-After"},
	OwnerSilent:       {"no host decided for the service in time", "send it again after Retry-After"},
	QueueFull:         {"too many requests of this tier wait", "send it again after Retry-After"},
	Displaced:         {"a request of a higher tier took the place", "send it again after Retry-After"},
	NoEndpoint:        {"no endpoint took the request", "send it again after Retry-After"},
	ClaimsUnreachable: {"this host sent nothing, but could not find out whether the same key ran elsewhere", sameKey},
	StillRunning:      {"the request was sent and is not answered yet", sameKey},
	HolderLost:        {"the host that sent the request is gone", "find out from the service itself whether the request ran"},
	AnswerLost:        {"the request was sent and its answer did not come", "find out from the service itself whether the request ran"},
	AnswerNotKept:     {"the request ran; its answer was too large to keep", "ask the service itself for the result"},
	AnswerCrossed:     {"the endpoint answered another request", "find out from the service itself whether the request ran"},
	OverQuota:         {"the customer has sent what its quota allows", "send it again after Retry-After"},
	KeysUnconfirmed:   {"the host cannot find out whether the customer's key still stands", "send it again to another host"},
	BadHeader:         {"a header of the request cannot be read", "send it in its documented form or leave it out"},
	CrashesEndpoints:  {"requests with a part of this prompt have crashed endpoints", "leave that part out, or send it again after Retry-After"},
	Stopped:           {"the host was stopped", "send it again to another host"},
}
