package dispatch

import (
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

// entryKind is the kind of a message from an entry to an owner.
type entryKind uint8

const (
	askKind entryKind = iota + 1
	withdrawKind
	finishKind
	listKind
	failKind
	stallKind
	progressKind
	limitKind
	pauseKind
	// grantsKind is a message from one owner to others.
	grantsKind
	slownessKind
)

// entryMessage is a message from an entry to the owner of a service.
type entryMessage struct {
	Kind    entryKind       `cbor:"1,keyasint"`
	Service string          `cbor:"2,keyasint"`
	ID      string          `cbor:"3,keyasint,omitempty"`
	Ask     *permit.Ask     `cbor:"4,keyasint,omitempty"`
	Usage   *permit.Usage   `cbor:"5,keyasint,omitempty"`
	Permits []permit.Permit `cbor:"6,keyasint,omitempty"`
	// Budget is the time left until the ask's deadline when the message was created.
	// The owner adds it to its own clock, so that the hosts' clocks need not agree.
	Budget time.Duration `cbor:"7,keyasint,omitempty"`
	// Goal and Patience are the times left until those of the ask; zero means not
	// set.
	Goal     time.Duration `cbor:"8,keyasint,omitempty"`
	Patience time.Duration `cbor:"9,keyasint,omitempty"`
	// Rates holds the endpoint rates that earlier owners learned.
	Rates []permit.LearnedRates `cbor:"10,keyasint,omitempty"`
	// Fault is how the endpoint failed the request.
	Fault permit.Fault `cbor:"11,keyasint,omitempty"`
	// Begun is set if the endpoint had begun the answer before it failed. Suspect
	// identifies the request if its connection ended before that.
	Begun   bool            `cbor:"12,keyasint,omitempty"`
	Suspect *permit.Suspect `cbor:"13,keyasint,omitempty"`
	// Crashes and Held are what earlier owners learned about parts of prompts that
	// crash endpoints.
	Crashes []permit.Crash     `cbor:"14,keyasint,omitempty"`
	Held    []permit.HeldParts `cbor:"15,keyasint,omitempty"`
	// Limits holds the limits that endpoints name. A message of limitKind has one.
	Limits []permit.RateLimit `cbor:"16,keyasint,omitempty"`
	// Pauses holds how long endpoints want no request from the entry's host. A message
	// of pauseKind has one.
	Pauses []permit.Pause `cbor:"17,keyasint,omitempty"`
	// Reports holds what processes granted. Complete is set if it is all that was granted
	// in the quota window. A message of grantsKind has them.
	Reports  []grantReport `cbor:"18,keyasint,omitempty"`
	Complete bool          `cbor:"19,keyasint,omitempty"`
	// Ended is set if the receiver is not told of further grants.
	Ended bool `cbor:"20,keyasint,omitempty"`
	// Slowness is what an endpoint said of its slowness. A message of slownessKind has it.
	Slowness *slownessReport `cbor:"21,keyasint,omitempty"`
	// RoundTrips holds the expensive paths from the data centre of the entry.
	RoundTrips []permit.RoundTrip `cbor:"22,keyasint,omitempty"`
}

// ownerMessage is a decision that the owner of a service sends to an entry: a grant,
// a refusal, a suspension, or a warning to all entries.
type ownerMessage struct {
	// ID is empty in a warning only.
	ID string `cbor:"1,keyasint"`
	// Endpoint is set for a grant and empty in a refusal or a suspension.
	Endpoint string `cbor:"2,keyasint,omitempty"`
	// Address is the endpoint's address according to the owner.
	Address string `cbor:"9,keyasint,omitempty"`
	// Born is when the endpoint started according to the owner, in Unix milliseconds.
	Born int64 `cbor:"14,keyasint,omitempty"`
	// Reason is set in a refusal only.
	Reason     permit.Reason `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Estimate   time.Duration `cbor:"5,keyasint,omitempty"`
	// ReportFirstPart requests a progress message when the first part of the answer
	// arrives.
	ReportFirstPart bool `cbor:"7,keyasint,omitempty"`
	// Rates holds the rates that the owner has learned for the endpoint.
	Rates *permit.LearnedRates `cbor:"8,keyasint,omitempty"`
	// Suspend requests that the entry stops the attempt and returns its permit.
	Suspend bool `cbor:"6,keyasint,omitempty"`
	// Held is the key of the parts for which a request is refused.
	Held string `cbor:"10,keyasint,omitempty"`
	// Queued lists asks that wait for a slot; the message has nothing else.
	Queued []string `cbor:"15,keyasint,omitempty"`
	// Unknown is set if the owner does not know the service of the ask yet.
	Unknown bool `cbor:"16,keyasint,omitempty"`
	// Limit is the limit that the granted endpoint names, as far as the owner knows.
	Limit *permit.RateLimit `cbor:"12,keyasint,omitempty"`
	// Slowness is what the owner last heard of the slowness of the granted endpoint; zero
	// if it heard nothing.
	Slowness float64 `cbor:"17,keyasint,omitempty"`
	// EndpointsAge is for how long endpoints may have changed without the knowledge of
	// the owner that grants one.
	EndpointsAge time.Duration `cbor:"13,keyasint,omitempty"`
	// Warning tells what the owner learned about parts of prompts.
	Warning *warning `cbor:"11,keyasint,omitempty"`
}

// warning is one thing that the owner of a service learned about parts of prompts that
// crash endpoints.
type warning struct {
	Service string            `cbor:"1,keyasint"`
	Crash   *permit.Crash     `cbor:"2,keyasint,omitempty"`
	Held    *permit.HeldParts `cbor:"3,keyasint,omitempty"`
	// Cleared is the key of parts that are not held any more.
	Cleared string `cbor:"4,keyasint,omitempty"`
}

// processStart is the process's start time. instantNow adds the monotonic time since
// then to it, so that the core's time does not follow jumps of the wall clock.
var processStart = time.Now()

func instantNow() permit.Instant {
	return permit.Instant(processStart.UnixNano()).After(time.Since(processStart))
}
