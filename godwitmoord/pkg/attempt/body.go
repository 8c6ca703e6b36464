package attempt

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/exchange"
)

// bodyReader reads the body, bounds the wait for each part of it and records when
// it was read to its end.
type bodyReader struct {
	roundTrip *roundTrip
	body      io.Reader
	// reusable is set if the endpoint keeps the connection open after the answer,
	// for as long as idle; an idle of zero means that it did not state a limit.
	reusable  bool
	idleLimit time.Duration
	// complete is set once the body of a reusable connection was read to its end.
	complete bool
	// ended is set once the body was read to its end.
	ended bool
	// endsWithConnection is set if only the end of the connection ends the body.
	endsWithConnection bool
	// totalLimited is set while one wait covers all of the body that is left.
	totalLimited bool
}

func (t *roundTrip) newBody(response *http.Response, head exchange.EndpointResponse) *bodyReader {
	return &bodyReader{
		roundTrip: t, body: response.Body, reusable: !response.Close, idleLimit: head.IdleLimit, endsWithConnection: endsWithConnection(response),
	}
}

// endsWithConnection reports whether only the end of the connection ends the body of an
// answer.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// limitTotal bounds the time to read all of the body that is left.
func (r *bodyReader) limitTotal(timeout time.Duration) {
	r.totalLimited = true
	r.roundTrip.connection.receiver.beginWait(waitLimits{longest: timeout})
}

// drain reads a body that nobody needs, up to a length of limit bytes, so that the
// connection can be reused.
func (r *bodyReader) drain(limit int64) {
	if r.reusable {
		r.discard(limit)
	}
}

// discard reads a body that nobody needs, up to a length of limit bytes.
func (r *bodyReader) discard(limit int64) {
	r.limitTotal(drainTimeout)
	_, _ = io.Copy(io.Discard, io.LimitReader(r, limit))
}

func (r *bodyReader) Read(into []byte) (int, error) {
	c := r.roundTrip.connection
	if !r.totalLimited {
		c.receiver.beginWait(r.roundTrip.limits(r.roundTrip.request.GapTimeout))
	}
	n, err := r.body.Read(into)
	if n > 0 {
		c.sender.recordData(c.address)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n, c.receiver.cause(err)
	}
	if err != nil && r.endsWithConnection && !c.awaitWritten(drainTimeout) {
		return n, &UnwrittenRequestError{Address: c.address}
	}
	r.ended = err != nil
	if r.ended && r.reusable {
		c.setIdleLimit(r.idleLimit)
		r.complete = true
	}
	return n, err
}
