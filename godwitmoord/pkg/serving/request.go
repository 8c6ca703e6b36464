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
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/text"
)

// Request is one request as the rules see it.
type Request struct {
	ID string
	// CallerID is the caller's own id of this try, which the endpoint echoes;
	// empty where the system names its attempts itself.
	CallerID string
	// Subject names what is asked for over several tries of the caller; empty
	// where the caller does not tell.
	Subject  string
	Customer string
	Service  configuration.Service
	Claims   configuration.Claims
	Route    string
	// Version is the version of the configuration that it came in under.
	Version int64
	Tier    string
	Rank    int
	Method  string
	// Path is the path and query that the endpoint sees.
	Path string
	// HostName is the Host header that the endpoint sees; empty means its own
	// address.
	HostName   string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// Resumable streams go on at another endpoint after the last event passed on.
	Resumable bool
	// Streams says that the answer is a stream of server-sent events.
	Streams bool
	// Key is the caller's key of a non-idempotent request.
	Key string
	// Keyless requests come once to one host, each under its own id, so that
	// nothing need be claimed for them.
	Keyless bool
	// MaxAttempts bounds the endpoints that it may run at; zero means the
	// default.
	MaxAttempts int
	Arrived     time.Time
	Deadline    time.Time
	// Goal is how long after its arrival the first part of the answer is wanted,
	// GapGoal the longest pause wanted after that; zero is not told.
	Goal    time.Duration
	GapGoal time.Duration
	// Patience is how long the caller waits for a first part; zero is as long as
	// for the whole.
	Patience time.Duration
	// PromptTokens and AnswerTokens are the caller's own figures, or estimates.
	// AnswerTokens counts in parts of the answer.
	PromptTokens int
	AnswerTokens int
	// QuotaTokens is what the request counts against its customer's quota.
	QuotaTokens int
	// LastEvent is the id of the last event that the caller has already.
	LastEvent string
}

// WithDeadline gives a copy with another deadline.
func (r Request) WithDeadline(deadline time.Time) Request {
	r.Deadline = deadline
	return r
}

// parcel makes what goes to an endpoint.
func (r Request) parcel(attemptID, endpoint string) attempt.Parcel {
	p := attempt.Parcel{
		Method:           r.Method,
		Target:           r.Path,
		Host:             r.HostName,
		Header:           r.Header,
		Body:             r.Body,
		Shared:           r.Idempotent || r.Keyless,
		Echoes:           r.Service.EchoesAttempt,
		FirstByteTimeout: r.Service.FirstByteTimeout.Std(),
		GapTimeout:       r.Service.GapTimeout.Std(),
	}
	p.Order = exchange.Order{
		Request:  r.ID,
		Attempt:  attemptID,
		Key:      r.Key,
		Tier:     r.Tier,
		Customer: r.Customer,
		Endpoint: endpoint,
	}
	if r.CallerID != "" {
		p.Order.Attempt = r.CallerID
		p.Echoes = true
		p.Order.Wait = max(time.Until(r.Deadline), time.Millisecond)
	}
	return p
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
