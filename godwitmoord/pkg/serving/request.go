// Package serving processes each request from its arrival to its result: it
// acquires permits, sends attempts to endpoints and forwards the answer. A permit
// is the right to send one attempt to one endpoint. A claim is the record in the
// key-value store that lets only one host send a non-idempotent request.
//
// A request that gets no whole answer ends with one of three outcomes. Not-run is
// certain: the request did not run and will not. Unknown means that it may have
// run and is never sent again. Broken-off means that the answer began and is
// incomplete.
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

// Request is one request of a caller, with the properties that the configuration
// assigns to it.
type Request struct {
	ID string
	// CallerID is the caller's own id of this try, which the endpoint echoes. It
	// is empty if the system generates the ids of attempts itself.
	CallerID string
	// Subject identifies the same work over several tries of the caller. It is
	// empty if the caller does not name it.
	Subject string
	// Parts identifies the parts of the prompt that other requests may share.
	Parts    []string
	Customer string
	Service  configuration.Service
	Claims   configuration.Claims
	Route    string
	// Version is the version of the configuration that was in force when the
	// request arrived.
	Version int64
	Tier    string
	Rank    int
	Method  string
	// Path is the path and query sent to the endpoint.
	Path string
	// HostHeader is the value of the Host header sent to the endpoint; empty
	// means the endpoint's own address.
	HostHeader string
	Header     http.Header
	Body       []byte
	// BodyRest follows Body, if the body is in several pieces.
	BodyRest   [][]byte
	Idempotent bool
	// Resumable says that another endpoint can continue the answer's stream after
	// the last event that was forwarded.
	Resumable bool
	// Streams says that the answer is a stream of server-sent events.
	Streams bool
	// Key is the idempotency key of a non-idempotent request.
	Key string
	// Keyless says that the request arrives once, at one host, under an id of its
	// own. It therefore needs no claim.
	Keyless bool
	// MaxAttempts bounds the attempts that may run the request; zero means the
	// default.
	MaxAttempts int
	Arrived     time.Time
	Deadline    time.Time
	// Goal is the time after the arrival within which the first part of the answer
	// should come, GapGoal the longest pause between later parts. Zero means that
	// there is no such goal.
	Goal    time.Duration
	GapGoal time.Duration
	// Patience is how long the caller waits for the first part; zero means until
	// the deadline.
	Patience time.Duration
	// PromptTokens and AnswerTokens are the caller's own figures, or estimates.
	// AnswerTokens is measured in parts of the answer.
	PromptTokens int
	AnswerTokens int
	// QuotaTokens is what the request counts against its customer's quota.
	QuotaTokens int
	// LastEvent is the id of the last event that the caller already received.
	LastEvent string
}

// WithDeadline returns a copy of the request with another deadline.
func (r Request) WithDeadline(deadline time.Time) Request {
	r.Deadline = deadline
	return r
}

// attemptRequest returns the message for an endpoint.
func (r Request) attemptRequest(attemptID, endpoint string) attempt.Request {
	message := attempt.Request{
		Method:             r.Method,
		Target:             r.Path,
		HostHeader:         r.HostHeader,
		Header:             r.Header,
		Body:               r.Body,
		BodyRest:           r.BodyRest,
		MayReuseConnection: r.Idempotent || r.Keyless,
		RunsOnce:           !r.Idempotent,
		EchoesAttempt:      r.Service.EchoesAttempt,
		FirstByteTimeout:   r.Service.FirstByteTimeout.Std(),
		GapTimeout:         r.Service.GapTimeout.Std(),
	}
	message.EndpointRequest = exchange.EndpointRequest{
		Request:  r.ID,
		Attempt:  attemptID,
		Key:      r.Key,
		Tier:     r.Tier,
		Customer: r.Customer,
		Endpoint: endpoint,
	}
	if r.CallerID != "" {
		message.EndpointRequest.Attempt = r.CallerID
		message.EchoesAttempt = true
		message.EndpointRequest.Timeout = max(time.Until(r.Deadline), time.Millisecond)
	}
	return message
}

// newClaimRequest returns the data that the request's claim is made with.
func (r Request) newClaimRequest(attemptID string) claim.Request {
	return claim.Request{
		Key:         claim.Key{Service: r.Service.Name, Customer: r.Customer, ID: r.Key},
		Attempt:     attemptID,
		Fingerprint: claim.Fingerprint(r.Method, r.Path, r.Body),
	}
}

// Caller receives the answer. WriteHead sends its head and is called at most once,
// before the first WritePart, which sends a piece of the body.
type Caller interface {
	WriteHead(status int, header http.Header)
	WritePart(data []byte) error
}

// Result describes how a request ended: it is Delivered, Refused or Broken.
type Result interface{ isResult() }

type (
	// Delivered means that the whole answer was sent to the caller.
	Delivered struct{}
	// Refused means that the caller receives no answer of an endpoint. Outcome
	// says whether the request may have run.
	Refused struct {
		Outcome    text.Outcome
		Reason     text.Reason
		RetryAfter time.Duration
	}
	// Broken means that the answer began and is incomplete.
	Broken struct{ Reason text.Reason }
)

func (Delivered) isResult() {}
func (Refused) isResult()   {}
func (Broken) isResult()    {}
