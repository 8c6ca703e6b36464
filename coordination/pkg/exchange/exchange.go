// Package exchange is what the system exchanges with callers and endpoints:
// the values themselves, apart from the headers that a deployment spells them
// with. A Dialect translates between the two.
//
// # Usage
//
//	call, err := dialect.ReadCall(request.Header)
//	dialect.WriteOrder(header, exchange.Order{Attempt: id, Wait: left})
//	head := dialect.ReadHead(response.StatusCode, response.Header)
//
// Native is the dialect of the product itself. The zero value works.
package exchange

import (
	"net/http"
	"strings"
	"time"
)

// Call is what a caller's headers say of its request. Fields that the caller
// did not send are zero.
type Call struct {
	// ID is the caller's own id of this one try.
	ID string
	// Key is the secret that names the customer.
	Key string
	// Wait is how long the caller will wait.
	Wait time.Duration
	// PromptTokens and AnswerTokens count the work; AnswerTokens is the most
	// that may be generated.
	PromptTokens int
	AnswerTokens int
	// LikelyTokens is the caller's guess of the tokens generated.
	LikelyTokens int
	// Counted is set when the caller told its tokens.
	Counted bool
	// Parts are the parts of the prompt, in order.
	Parts []Part
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
}

// Part is a run of prompt tokens that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Order is what goes to an endpoint beside the caller's own request.
type Order struct {
	// Request is the request's id, the same over all attempts.
	Request string
	// Attempt is echoed by the endpoint.
	Attempt string
	// Key is the caller's idempotency key.
	Key string
	// Tier is the name of the request's tier.
	Tier string
	// Customer is the name of the customer.
	Customer string
	// Endpoint is the name of the one endpoint that may run the request.
	Endpoint string
	// Wait is how long an answer is still of use; zero is not told.
	Wait time.Duration
	// Offset is the number of answer parts that the caller has.
	Offset int
	// LastEvent is the id of the last event that the caller has.
	LastEvent string
}

// Head is what the head of an endpoint's answer says.
type Head struct {
	// Attempt is the attempt that is answered; empty if the answer does not tell.
	Attempt string
	// NotRun says that the endpoint did not run the request.
	NotRun bool
	// Running, Waiting and Places are the endpoint's load; Places is zero if the
	// answer does not tell.
	Running, Waiting, Places int
	// IdleLimit is how long the endpoint keeps the connection when idle; zero if
	// it does not tell.
	IdleLimit time.Duration
}

// Dialect is how a deployment spells what is exchanged.
type Dialect interface {
	// ReadCall gives what the caller's headers say. An error means that a header
	// is malformed.
	ReadCall(header http.Header) (Call, error)
	// WriteOrder sets the headers for an endpoint and removes those that no
	// endpoint may see as the caller sent them.
	WriteOrder(header http.Header, order Order)
	// ReadHead gives what the head of an endpoint's answer says.
	ReadHead(status int, header http.Header) Head
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection"}

// EndToEnd gives a copy of the headers that are for the other end: all but those
// of one connection, and those that the sender names as such.
func EndToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, names := range header["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		passed.Del(name)
	}
	return passed
}
