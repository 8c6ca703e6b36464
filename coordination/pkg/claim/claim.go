// Package claim makes sure that a non-idempotent request runs at most once,
// however often it is sent and whichever hosts it is sent to.
//
// Before the first byte of such a request goes to an endpoint, its host creates
// a claim under the request's key in the platform's key-value service. Whoever
// creates it runs the request; everyone else reports what the claim says. A
// host that wants to tell a caller "not run" first creates the claim itself, as
// withdrawn, so that nobody who still holds the request can run it afterwards.
//
// # States
//
//	(absent) --Claim--> sent --Settle--> answered | lost
//	(absent) --Withdraw--> withdrawn
//	sent     --Withdraw by its holder, which sent nothing--> withdrawn
//
// No state is ever left for an earlier one, and nobody but its holder moves a
// claim out of sent. A holder that dies leaves sent for good: the outcome of
// that request is unknown. Safety never rests on a lease being timely, see Book.
//
// # Usage
//
//	book := &claim.Book{Store: store, Host: identity}
//	switch v := book.Claim(ctx, application, retention).(type) {
//	case claim.Held:     // send it, then book.Settle(ctx, v.Holding, …)
//	case claim.Answered: // give the caller v.Answer
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

// State is how far a claim has come.
type State string

// The states of a claim.
const (
	// Sent means that the request may be on its way to an endpoint, or has run.
	Sent State = "sent"
	// Done means that the endpoint gave its whole answer.
	Done State = "answered"
	// Withdrawn means that the request was not run and never will be.
	Withdrawn State = "withdrawn"
	// Lost means that the request was sent and its outcome cannot be known.
	Lost State = "lost"
)

const maxKeyLead = 5 * time.Minute

// Key names one non-idempotent request for good. ID is a UUID of version 7, so
// that the key itself tells its age.
type Key struct {
	Service  string
	Customer string
	ID       string
}

// Created gives the time the key was made by its caller's clock.
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

// checkAge refuses keys whose claim may have been forgotten already.
func (k Key) checkAge(now time.Time, retention time.Duration) error {
	created, err := k.Created()
	if err != nil {
		return err
	}
	if now.Sub(created) > retention {
		return &ExpiredKeyError{ID: k.ID, Age: now.Sub(created), Retention: retention}
	}
	if created.Sub(now) > maxKeyLead {
		return &MalformedKeyError{ID: k.ID}
	}
	return nil
}

// MalformedKeyError says that a key cannot tell its age.
type MalformedKeyError struct{ ID string }

func (e *MalformedKeyError) Error() string {
	return fmt.Sprintf("request key %q is no UUID of version 7 made at the present time; make a new one with a correct clock for each new request", e.ID)
}

// ExpiredKeyError says that a key is so old that its claim may be forgotten.
type ExpiredKeyError struct {
	ID        string
	Age       time.Duration
	Retention time.Duration
}

func (e *ExpiredKeyError) Error() string {
	return fmt.Sprintf("request key %s is %v old and keys are kept for %v; find out from the service itself whether the request ran", e.ID, e.Age.Round(time.Second), e.Retention)
}

// Answer is a whole answer, as kept for a repeated key.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Omitted is set when the answer was too large to keep.
	Omitted bool `json:"omitted,omitempty"`
}

// Application is one host's wish to run one request.
type Application struct {
	Key Key
	// Attempt is unique to this host's handling of the request.
	Attempt string
	// Fingerprint tells requests apart that reuse a key by mistake.
	Fingerprint string
}

// Fingerprint gives the digest of what a request asks for.
func Fingerprint(method, path string, body []byte) string {
	digest := sha256.New()
	fmt.Fprintf(digest, "%s %s\n", method, path)
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil)[:16])
}

// record is the value of a claim's key.
type record struct {
	State       State         `json:"state"`
	Holder      host.Identity `json:"holder"`
	Attempt     string        `json:"attempt"`
	Fingerprint string        `json:"fingerprint"`
	Answer      *Answer       `json:"answer,omitempty"`
}

// Verdict is what a claim says. It is one of Vacant, Held, InProgress,
// Answered, NotRun, Unknown and Conflict.
type Verdict interface{ verdict() }

type (
	// Vacant says that nobody has claimed the key.
	Vacant struct{}
	// Held says that the claim is ours: send the request, once.
	Held struct{ Holding Holding }
	// InProgress says that another attempt may be running the request now.
	InProgress struct{ Holder host.Identity }
	// Answered gives the answer that the one run of the request brought.
	Answered struct{ Answer Answer }
	// NotRun says that the request did not run and never will.
	NotRun struct{}
	// Unknown says that the request may have run; it will not be sent again.
	Unknown struct {
		Reason string
		// AnswerOmitted is set when the request ran and its answer was not kept.
		AnswerOmitted bool
	}
	// Conflict says that the key was used for a request of other content.
	Conflict struct{}
)

func (Vacant) verdict()     {}
func (Held) verdict()       {}
func (InProgress) verdict() {}
func (Answered) verdict()   {}
func (NotRun) verdict()     {}
func (Unknown) verdict()    {}
func (Conflict) verdict()   {}

// Holding is a claim of ours in state sent.
type Holding struct {
	application Application
	revision    int64
}

func (r record) verdictFor(application Application, revision int64) Verdict {
	if r.Fingerprint != application.Fingerprint {
		return Conflict{}
	}
	switch r.State {
	case Sent:
		if r.Attempt == application.Attempt {
			return Held{Holding: Holding{application: application, revision: revision}}
		}
		return InProgress{Holder: r.Holder}
	case Done:
		if r.Answer == nil || r.Answer.Omitted {
			return Unknown{Reason: "the request ran and was answered; the answer was too large to keep", AnswerOmitted: true}
		}
		return Answered{Answer: *r.Answer}
	case Withdrawn:
		return NotRun{}
	case Lost:
		return Unknown{Reason: "the request was sent and its answer never came"}
	default:
		return Unknown{Reason: fmt.Sprintf("the claim is in state %q, which this version does not know", r.State)}
	}
}
