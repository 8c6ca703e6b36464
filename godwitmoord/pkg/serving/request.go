// Package serving takes one request from its arrival to its one outcome.
//
// There are three outcomes beside a whole answer, and they are never blurred:
// not-run is certain, unknown means that the request may have run and is never
// sent again, broken-off means that the answer began and stops short.
package serving

import (
	"net/http"
	"time"

	"godwitmoor.example/coordination/pkg/claim"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/text"
)

// Request is one request as the rules see it.
type Request struct {
	ID       string
	Customer string
	Service  configuration.Service
	Claims   configuration.Claims
	Tier     string
	Rank     int
	Method   string
	// Path is the path and query below the service's prefix.
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// Key is the caller's key of a non-idempotent request.
	Key      string
	Arrived  time.Time
	Deadline time.Time
	// PromptTokens and AnswerTokens are the caller's own figures, or estimates.
	PromptTokens int
	AnswerTokens int
}

// WithDeadline gives a copy with another deadline.
func (r Request) WithDeadline(deadline time.Time) Request {
	r.Deadline = deadline
	return r
}

func (r Request) parcel(attemptID string) attempt.Parcel {
	return attempt.Parcel{
		Method:           r.Method,
		Path:             r.Path,
		Header:           r.Header,
		Body:             r.Body,
		Request:          r.ID,
		Attempt:          attemptID,
		Key:              r.Key,
		Tier:             r.Tier,
		Idempotent:       r.Idempotent,
		Echoes:           r.Service.EchoesAttempt,
		FirstByteTimeout: r.Service.FirstByteTimeout.Std(),
		GapTimeout:       r.Service.GapTimeout.Std(),
	}
}

func (r Request) application(attemptID string) claim.Application {
	return claim.Application{
		Key:         claim.Key{Service: r.Service.Name, Customer: r.Customer, ID: r.Key},
		Attempt:     attemptID,
		Fingerprint: claim.Fingerprint(r.Method, r.Path, r.Body),
	}
}

// Caller is where the answer goes. Begin is called once at most, before Part.
type Caller interface {
	Begin(status int, header http.Header)
	Part(data []byte) error
}

// Ending is how a request ended. It is one of Delivered, Refused and Broken.
type Ending interface{ ending() }

type (
	// Delivered says that the caller was given the whole answer.
	Delivered struct{}
	// Refused says that the caller gets no answer, and what it may conclude.
	Refused struct {
		Outcome    text.Outcome
		Reason     text.Reason
		RetryAfter time.Duration
	}
	// Broken says that the answer began and stops short.
	Broken struct{ Reason text.Reason }
)

func (Delivered) ending() {}
func (Refused) ending()   {}
func (Broken) ending()    {}
