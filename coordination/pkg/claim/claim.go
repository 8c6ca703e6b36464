// Package claim makes sure that a non-idempotent request runs at most once, even
// if the caller sends it several times and to different hosts.
//
// A claim is the idempotency record of one request. Before a host sends the
// first byte of such a request to an endpoint, it creates a claim under the
// request's key in the platform's key-value service. Only the host that creates
// the claim runs the request; every other host answers its caller from the
// claim. Before a host reports to a caller that the request did not run, it
// creates the claim itself in state withdrawn, so that no other host that still
// has the request can run it afterwards.
//
// # States
//
//	(absent) --Claim--> sent --Complete--> answered
//	                    sent --MarkLost--> lost
//	                    sent --Withdraw or Release by its holder, which sent nothing--> withdrawn
//	(absent) --Withdraw--> withdrawn
//
// A claim never returns to an earlier state, and only its holder, the attempt
// that created it, moves it out of sent. If the holder crashes, the claim stays
// in sent: the outcome of that request is unknown. Safety does not depend on
// leases that expire on time, see Store.
//
// # Usage
//
//	claims := &claim.Store{KeyValue: store, Host: identity}
//	result, err := claims.Claim(ctx, request, retention)
//	switch r := result.(type) {
//	case claim.Held:     // send the request, then claims.Complete(ctx, r.Holding, …)
//	case claim.Answered: // return r.Answer to the caller
//	}
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"
	"godwitmoor.example/coordination/pkg/host"
)

// State is the state of a stored claim.
type State string

// The states of a claim.
const (
	// Sent means that the request may be in flight to an endpoint or may have run.
	Sent State = "sent"
	// Done means that the endpoint returned a complete answer.
	Done State = "answered"
	// Withdrawn means that the request was not run and never will be.
	Withdrawn State = "withdrawn"
	// Lost means that the request was sent and its outcome cannot be determined.
	Lost State = "lost"
)

// maxClockSkew is how far a caller's clock may be ahead of the host's clock.
const maxClockSkew = 5 * time.Minute

// Key is the idempotency key of one request and is never reused for another one.
// ID is a version 7 UUID, so that the key itself contains its creation time.
type Key struct {
	Service  string
	Customer string
	ID       string
}

// Created returns the time at which the caller created the key, by the caller's
// clock.
func (k Key) Created() (time.Time, error) {
	id, err := uuid.Parse(k.ID)
	if err != nil || id.Version() != 7 {
		return time.Time{}, &MalformedKeyError{ID: k.ID}
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), nil
}

func (k Key) path() string {
	return fmt.Sprintf("godwitmoor/claims/%s/%s/%s", k.Service, k.Customer, k.ID)
}

// checkAge rejects a key whose claim the key-value service may already have
// deleted, and a key whose timestamp is too far in the future.
func (k Key) checkAge(now time.Time, retention time.Duration) error {
	created, err := k.Created()
	if err != nil {
		return err
	}
	if now.Sub(created) > retention {
		return &ExpiredKeyError{ID: k.ID, Age: now.Sub(created), Retention: retention}
	}
	if created.Sub(now) > maxClockSkew {
		return &MalformedKeyError{ID: k.ID}
	}
	return nil
}

// MalformedKeyError reports a key that is not a version 7 UUID, or whose
// timestamp is too far in the future, so that its age cannot be determined.
type MalformedKeyError struct{ ID string }

func (e *MalformedKeyError) Error() string {
	return fmt.Sprintf("request key %q is not a version 7 UUID with a current timestamp; generate a new key, with a correct clock, for each new request", e.ID)
}

// ExpiredKeyError reports a key older than the retention, so that its claim may
// already be deleted.
type ExpiredKeyError struct {
	ID        string
	Age       time.Duration
	Retention time.Duration
}

func (e *ExpiredKeyError) Error() string {
	return fmt.Sprintf("request key %s is %v old and keys are accepted for %v only; ask the service itself whether the request ran", e.ID, e.Age.Round(time.Second), e.Retention)
}

// Answer is an endpoint's complete answer, stored to be returned again when a
// caller repeats the key.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	// ContentEncoding is the coding of the body, such as gzip; empty if it has none.
	ContentEncoding string `json:"content-encoding,omitempty"`
	Body            []byte `json:"body,omitempty"`
	// Omitted is set when the answer was too large to store.
	Omitted bool `json:"omitted,omitempty"`
}

// Request identifies one attempt of a host to claim a key and run its request.
type Request struct {
	Key Key
	// Attempt is an id that no other handling of the request uses, on this host
	// or another. It lets a host recognize its own earlier claim.
	Attempt string
	// Fingerprint is a digest of the request's content. It detects a different
	// request that reuses the key by mistake.
	Fingerprint string
}

// Fingerprint returns a digest of a request's method, path and body.
func Fingerprint(method, path string, body []byte) string {
	digest := sha256.New()
	fmt.Fprintf(digest, "%s %s\n", method, path)
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil)[:16])
}

// record is the stored value of a claim.
type record struct {
	State       State         `json:"state"`
	Holder      host.Identity `json:"holder"`
	Attempt     string        `json:"attempt"`
	Fingerprint string        `json:"fingerprint"`
	Answer      *Answer       `json:"answer,omitempty"`
}

// Result is what reading, creating or changing a claim returns: the state of the
// claim as seen by one attempt. It is one of Vacant, Held, InProgress, Answered,
// NotRun, Unknown and Conflict.
type Result interface{ result() }

type (
	// Vacant means that the key has no claim.
	Vacant struct{}
	// Held means that this attempt holds the claim and must send the request
	// exactly once.
	Held struct{ Holding Holding }
	// InProgress means that another attempt may be running the request now.
	InProgress struct{ Holder host.Identity }
	// Answered contains the answer of the request's only run.
	Answered struct{ Answer Answer }
	// NotRun means that the request did not run and never will.
	NotRun struct{}
	// Unknown means that the request may have run; it will not be sent again.
	Unknown struct {
		Reason string
		// AnswerOmitted is set when the request ran and its answer was not stored.
		AnswerOmitted bool
	}
	// Conflict means that the key was used for a request with different content.
	Conflict struct{}
)

func (Vacant) result()     {}
func (Held) result()       {}
func (InProgress) result() {}
func (Answered) result()   {}
func (NotRun) result()     {}
func (Unknown) result()    {}
func (Conflict) result()   {}

// Holding is a claim in state sent that this attempt holds, with the revision that
// the next conditional write expects.
type Holding struct {
	request  Request
	revision int64
}

func (r record) resultFor(request Request, revision int64) Result {
	if r.Fingerprint != request.Fingerprint {
		return Conflict{}
	}
	switch r.State {
	case Sent:
		if r.Attempt == request.Attempt {
			return Held{Holding: Holding{request: request, revision: revision}}
		}
		return InProgress{Holder: r.Holder}
	case Done:
		if r.Answer == nil || r.Answer.Omitted {
			return Unknown{Reason: "the request ran and was answered, but the answer was too large to store", AnswerOmitted: true}
		}
		return Answered{Answer: *r.Answer}
	case Withdrawn:
		return NotRun{}
	case Lost:
		return Unknown{Reason: "the request was sent, but no complete answer was received"}
	default:
		return Unknown{Reason: fmt.Sprintf("the claim is in state %q, which this version does not support", r.State)}
	}
}
