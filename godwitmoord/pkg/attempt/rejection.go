package attempt

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/exchange"
)

// errRejected is the cause of the NotSentError of a rejected request.
var errRejected = errors.New("the endpoint refused the request")

// UncertainRejectionError reports a rejection that may be that of an earlier request on
// the same connection, or that the endpoint contradicted.
type UncertainRejectionError struct {
	// Attempt is the id in the rejection; empty if it has none.
	Attempt string
}

func (e *UncertainRejectionError) Error() string {
	return fmt.Sprintf("a rejection of attempt %q does not show which request it is for; check that the endpoint sends one answer to each request, with its attempt's id", e.Attempt)
}

// rejected ends an attempt that its endpoint rejected, and returns the attempt's error.
func (t *roundTrip) rejected(answer *Answer, head exchange.EndpointResponse) error {
	if t.request.RunsOnce && !answer.EndsWithConnection {
		answer.body.discard(maxRefusalBytes)
	}
	answer.body.drain(maxRefusalBytes)
	certain := !t.request.RunsOnce || (t.isOwn(head) && !t.contradicted(answer))
	t.connection.rejected = true
	answer.Close()
	if !certain {
		return &LostError{Address: t.connection.address, Cause: &UncertainRejectionError{Attempt: head.Attempt}}
	}
	return &NotSentError{Address: t.connection.address, Cause: errRejected, Refused: true}
}

// isOwn reports whether a rejection can only be that of this attempt: it names it, or
// the connection carried no other request and no other answer.
func (t *roundTrip) isOwn(head exchange.EndpointResponse) bool {
	if head.Attempt != "" {
		return !t.request.EchoesAttempt || head.Attempt == t.request.EndpointRequest.Attempt
	}
	return !t.connection.reused && t.skipped == 0
}

// contradicted reports whether the endpoint sent more than the rejection.
func (t *roundTrip) contradicted(answer *Answer) bool {
	return answer.body.ended && t.connection.reader.Buffered() > 0
}
