// Package exchange defines the values that the system exchanges with callers and
// endpoints in HTTP headers, independently of the headers' names and formats,
// which differ between deployments. A Dialect translates between the two.
//
// # Usage
//
//	callerRequest, err := dialect.ReadCallerRequest(request.Header)
//	dialect.WriteEndpointRequest(header, exchange.EndpointRequest{Attempt: id, Timeout: left})
//	endpointResponse := dialect.ReadEndpointResponse(response.StatusCode, response.Header)
//
// Native is the default dialect. Its zero value works.
package exchange

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// CallerRequest holds the values of a caller's headers. Fields that the caller did
// not send are zero.
type CallerRequest struct {
	// ID is the id that the caller gave to this one try of its request.
	ID string
	// Key is the API key or bearer token that identifies the customer.
	Key string
	// Timeout is how long the caller will wait for the answer.
	Timeout time.Duration
	// PromptTokens is the number of tokens in the prompt, AnswerTokens the largest
	// number of tokens that may be generated.
	PromptTokens int
	AnswerTokens int
	// LikelyTokens is the caller's estimate of the tokens that will be generated.
	LikelyTokens int
	// HasTokenCounts is set if the caller sent its token counts.
	HasTokenCounts bool
	// Parts are the parts of the prompt, in order.
	Parts []Part
	// LastEvent is the id of the last event of the stream that the caller received.
	LastEvent string
}

// Part is a section of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// ParseParts parses a comma-separated list of ID:TOKENS entries.
func ParseParts(text string) []Part {
	if text == "" {
		return nil
	}
	var parts []Part
	for entry := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(entry), ":")
		parts = append(parts, Part{ID: id, Tokens: ParseCount(tokens)})
	}
	return parts
}

// ParseCount parses a count. Counts are estimates by the sender, so a value that is
// not a non-negative integer is no error: it yields 0, as if it had not been sent.
func ParseCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// EndpointRequest holds the values that are added to a request when it is sent to
// an endpoint.
type EndpointRequest struct {
	// Request is the id of the request, the same for all its attempts.
	Request string
	// Attempt is the id of the attempt, which the endpoint returns in its answer.
	Attempt string
	// Key is the caller's idempotency key.
	Key string
	// Tier is the name of the request's tier.
	Tier string
	// Customer is the name of the customer.
	Customer string
	// Endpoint is the name of the one endpoint that may run the request.
	Endpoint string
	// Timeout is how long the caller still waits for the answer; zero is not sent to
	// the endpoint.
	Timeout time.Duration
	// Offset is the number of parts of the answer that the caller has already
	// received.
	Offset int
	// LastEvent is the id of the last event of the stream that the caller received.
	LastEvent string
}

// EndpointResponse holds the values of the headers and the status of an endpoint's
// answer.
type EndpointResponse struct {
	// Attempt is the id of the attempt that is answered; empty if the endpoint did
	// not send it.
	Attempt string
	// NotRun is set if the endpoint did not run the request.
	NotRun bool
	// Offset is the number of parts that the answer leaves out because the caller
	// has them; zero if the endpoint stated none.
	Offset int
	// Interim is set if more heads of the same answer follow.
	Interim bool
	// Load is the load of the endpoint.
	Load Load
	// Limit is the rate of requests that the endpoint takes.
	Limit RateLimit
	// IdleLimit is how long the endpoint keeps an idle connection open; zero if it
	// did not send a limit.
	IdleLimit time.Duration
	// Leaving is set if the endpoint says that it is leaving.
	Leaving bool
	// Pause is how long the endpoint wants no request from this host.
	Pause Pause
}

// maxPause is the longest pause of an endpoint that is kept to.
const maxPause = time.Hour

// Pause is what a rejection says of how long its endpoint wants no request.
type Pause struct {
	// For is the length of the pause; zero if none is named.
	For time.Duration
	// Unreadable is set if the rejection names something that is no length of time.
	Unreadable bool
}

// ParsePause parses the values of a Retry-After header, in seconds. Of several, the
// longest holds. A date, and whatever else is no non-negative number, names none.
func ParsePause(values []string) Pause {
	var p Pause
	for _, text := range values {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(seconds) || seconds < 0 {
			p.Unreadable = true
			continue
		}
		p.For = max(p.For, time.Duration(min(seconds, maxPause.Seconds())*float64(time.Second)))
	}
	return p
}

// RateLimit is what an answer says of the rate of requests that its endpoint takes from
// all hosts together.
type RateLimit struct {
	// Named is set if the answer names a limit, PerSecond is that limit in requests per
	// second.
	Named     bool
	PerSecond float64
	// Unreadable is set if the answer names something that is no limit.
	Unreadable bool
}

// ParseRateLimit parses a decimal number of requests per second; an empty text names no
// limit.
func ParseRateLimit(text string) RateLimit {
	if text == "" {
		return RateLimit{}
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return RateLimit{Unreadable: true}
	}
	return RateLimit{Named: true, PerSecond: perSecond}
}

// Dialect reads and writes the headers of one deployment.
type Dialect interface {
	// ReadCallerRequest returns the values of the caller's headers. It returns an error if
	// a header is malformed.
	ReadCallerRequest(header http.Header) (CallerRequest, error)
	// WriteEndpointRequest sets the headers for an endpoint and removes the caller's headers
	// that must not reach an endpoint.
	WriteEndpointRequest(header http.Header, request EndpointRequest)
	// ReadEndpointResponse returns the values of the headers of an endpoint's answer.
	ReadEndpointResponse(status int, header http.Header) EndpointResponse
}

// connectionHeaders are the hop-by-hop headers of HTTP, which apply to a single
// connection.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection"}

// EndToEnd returns a copy of the headers without the hop-by-hop headers: those in
// connectionHeaders and those that the sender lists in Connection.
func EndToEnd(header http.Header) http.Header {
	endToEnd := header.Clone()
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		endToEnd.Del(name)
	}
	return endToEnd
}
