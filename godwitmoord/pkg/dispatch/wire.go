package dispatch

import (
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

// entryKind says what an entry tells an owner.
type entryKind uint8

const (
	askKind entryKind = iota + 1
	withdrawKind
	finishKind
	listKind
	failKind
	stallKind
	progressKind
)

// entryMessage goes from an entry to the owner of a service.
type entryMessage struct {
	Kind    entryKind       `cbor:"1,keyasint"`
	Service string          `cbor:"2,keyasint"`
	ID      string          `cbor:"3,keyasint,omitempty"`
	Ask     *permit.Ask     `cbor:"4,keyasint,omitempty"`
	Usage   *permit.Usage   `cbor:"5,keyasint,omitempty"`
	Permits []permit.Permit `cbor:"6,keyasint,omitempty"`
	// Budget is the time to the ask's deadline when the message was made: the
	// owner adds it to its own clock, so that clocks need not agree.
	Budget time.Duration `cbor:"7,keyasint,omitempty"`
	// Goal and Patience are the times to those of the ask; zero is not told.
	Goal     time.Duration `cbor:"8,keyasint,omitempty"`
	Patience time.Duration `cbor:"9,keyasint,omitempty"`
	// Paces are what earlier owners told of endpoints.
	Paces []permit.Pace `cbor:"10,keyasint,omitempty"`
	// Fault says how the endpoint failed.
	Fault permit.Fault `cbor:"11,keyasint,omitempty"`
}

// ownerMessage goes from the owner of a service to an entry.
type ownerMessage struct {
	ID string `cbor:"1,keyasint"`
	// Endpoint is set for a grant.
	Endpoint string `cbor:"2,keyasint,omitempty"`
	// Address is where the owner knows the endpoint to be.
	Address string `cbor:"9,keyasint,omitempty"`
	// Reason is set for a refusal.
	Reason     permit.Reason `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Estimate   time.Duration `cbor:"5,keyasint,omitempty"`
	// Teach asks for word of the first part.
	Teach bool `cbor:"7,keyasint,omitempty"`
	// Pace is what the owner knows of the endpoint.
	Pace *permit.Pace `cbor:"8,keyasint,omitempty"`
	// Suspend asks for a permit that was granted back.
	Suspend bool `cbor:"6,keyasint,omitempty"`
}

// started ties the core's time to the clock that never jumps.
var started = time.Now()

func instantNow() permit.Instant {
	return permit.Instant(started.UnixNano()).After(time.Since(started))
}
