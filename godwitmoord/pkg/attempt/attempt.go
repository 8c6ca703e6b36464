// Package attempt sends one request to one endpoint, once.
//
// Go's HTTP client resends some requests by itself when a kept-alive connection
// breaks, and accepts whatever arrives next on a connection as the answer. This
// package therefore manages its own connections. Each one carries one request at
// a time, is checked before it is reused, and reports exactly whether a byte of
// the request was sent. net/http still encodes the headers and parses the answers.
//
// # Usage
//
//	var sender attempt.Sender
//	answer, err := sender.Send(ctx, "10.0.0.1:80", request)
//	defer answer.Close()
package attempt

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/exchange"
)

// maxSkippedAnswers is how many answers to other attempts are read on a
// connection before it is closed.
const maxSkippedAnswers = 3

// Request is the message that is sent to an endpoint, with its time limits.
type Request struct {
	Method string
	// Target is the path and query, as they are sent to the endpoint.
	Target string
	// HostHeader is the value of the Host header; empty means the endpoint's
	// address.
	HostHeader string
	Header     http.Header
	Body       []byte
	// BodyRest follows Body, if the body is in several pieces.
	BodyRest        [][]byte
	EndpointRequest exchange.EndpointRequest
	// MayReuseConnection says that the request may use a connection that carried
	// another request before. Other requests get a new connection, because a
	// reused one may turn out to be closed after the first byte was sent.
	MayReuseConnection bool
	// RunsOnce says that the request must not run twice. A rejection of it counts only
	// if it cannot be that of an earlier request.
	RunsOnce bool
	// EchoesAttempt says that the endpoint returns the attempt's id.
	EchoesAttempt bool
	// FirstByteTimeout bounds the wait for the answer's whole head, GapTimeout the
	// wait for each further part. Zero means no limit.
	FirstByteTimeout time.Duration
	GapTimeout       time.Duration
	// OnInactive is called each time the endpoint has sent no data for another
	// InactivityInterval, and reports whether to abandon the attempt; nil never
	// abandons it. Only a whole head and parts of the body are data.
	InactivityInterval time.Duration
	OnInactive         func(Inactivity) bool
	// BeforeSend, if set, is called once the connection is open, before the first byte is
	// sent. If it returns an error, nothing is sent.
	BeforeSend func() error
	// OnHead, if set, is called with each head that the endpoint sends: those of the
	// answer, of a rejection, of answers to earlier attempts, and of interim answers
	// that name a limit or a slowness.
	OnHead func(exchange.EndpointResponse)
}

// Inactivity describes a wait during which an endpoint has sent no data for an
// attempt.
type Inactivity struct {
	// Duration is how long the wait has lasted.
	Duration time.Duration
	// EndpointAlive is set if the endpoint sent data on another connection
	// meanwhile.
	EndpointAlive bool
}

// NotSentError reports that the endpoint did not run the request and will not: no
// byte of it was sent, or the endpoint declared that it did not run it.
type NotSentError struct {
	Address string
	Cause   error
	// Refused is set if the endpoint received the request and rejected it.
	Refused bool
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("the request was not run at %s: %v; try another endpoint", e.Address, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports that the request was sent and its answer did not arrive, or
// arrived incomplete.
type LostError struct {
	Address string
	Cause   error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("the answer from %s was lost: %v; the request may have run", e.Address, e.Cause)
}

func (e *LostError) Unwrap() error { return e.Cause }

// StatusError reports an answer whose status is no final one, which HTTP defines as 200 to
// 599, nor that of an interim answer without a body. What follows it can't be told from
// its body.
type StatusError struct {
	Address string
	Status  int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s sent an answer with status %03d where a final answer or an interim one without a body is expected; check what answers there", e.Address, e.Status)
}

// UnwrittenRequestError reports that a connection ended before the request was written. An
// answer that only the end of the connection ends is then not shown to be whole: when a
// connection is reset, one of its reader and its writer gets the error, and the other one
// may see a regular end.
type UnwrittenRequestError struct{ Address string }

func (e *UnwrittenRequestError) Error() string {
	return fmt.Sprintf("%s ended the connection before the request was written, and its answer states no length, so that it may be cut; check why it does not read the request", e.Address)
}

// Unwrap returns that the answer ended too early, as for any that broke off.
func (e *UnwrittenRequestError) Unwrap() error { return io.ErrUnexpectedEOF }

// CrossedError reports that the endpoint answered another attempt than the one
// that was sent.
type CrossedError struct{ Sent, Got string }

func (e *CrossedError) Error() string {
	return fmt.Sprintf("attempt %s was sent, but the endpoint answered attempt %q; the answer was discarded", e.Sent, e.Got)
}

// BodyLimitError reports that a body which was to be read whole did not end within
// its limits.
type BodyLimitError struct {
	Address string
	Limit   int
	Timeout time.Duration
}

func (e *BodyLimitError) Error() string {
	return fmt.Sprintf("the body of an answer from %s did not end within %d bytes and %v; check why the endpoint sends so much or so slowly", e.Address, e.Limit, e.Timeout)
}

// Answer is an endpoint's answer whose body is still to be read. The caller must
// close it.
type Answer struct {
	Status int
	Header http.Header
	// Offset is the number of parts that the answer leaves out because the caller
	// has them; zero if the endpoint stated none.
	Offset int
	Body   io.Reader
	// EndsWithConnection is set if only the end of the connection ends the body.
	EndsWithConnection bool
	// body is what Body reads, in an answer of Send.
	body *bodyReader
}

// Close ends the attempt. If the answer was not read to its end, the connection is
// closed, which cancels the request at the endpoint.
func (a *Answer) Close() { a.body.roundTrip.finish(a.body.complete) }

// Cancel closes the connection of an answer of Send that was not closed before, so
// that reading its body fails. Other than Close, it may be called while another
// goroutine reads the body.
func (a *Answer) Cancel() { a.body.roundTrip.finish(false) }

// ReadWhole reads the whole body of an answer of Send. A body of more than limit
// bytes, or one that does not end within timeout, is a *BodyLimitError.
func (a *Answer) ReadWhole(limit int, timeout time.Duration) ([]byte, error) {
	a.body.limitTotal(timeout)
	body, err := io.ReadAll(io.LimitReader(a.body, int64(limit)+1))
	if len(body) > limit || errors.Is(err, errUnresponsive) {
		return nil, &BodyLimitError{Address: a.body.roundTrip.connection.address, Limit: limit, Timeout: timeout}
	}
	if err != nil {
		return nil, err
	}
	return body, nil
}

// Send sends p and waits for the answer's head. Errors are
// *NotSentError, *LostError and *CrossedError. When ctx ends, the connection is
// closed, which cancels the request at the endpoint.
func (s *Sender) Send(ctx context.Context, address string, p Request) (*Answer, error) {
	c, err := s.connect(ctx, address, p)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	if p.BeforeSend != nil {
		if err := p.BeforeSend(); err != nil {
			s.putIdle(c)
			return nil, &NotSentError{Address: address, Cause: err}
		}
	}
	stopWatching := context.AfterFunc(ctx, c.close)
	t := &roundTrip{sender: s, connection: c, request: p, stopWatching: stopWatching}
	answer, err := t.send()
	if err != nil {
		t.finish(false)
		return nil, err
	}
	return answer, nil
}

// roundTrip is one request and its answer on a connection.
type roundTrip struct {
	sender       *Sender
	connection   *connection
	request      Request
	stopWatching func() bool
	// skipped counts the answers to other attempts that were read.
	skipped    int
	finishOnce sync.Once
}

// send writes the request and reads the head of its answer.
func (t *roundTrip) send() (*Answer, error) {
	headerBytes := t.request.encodeHead(t.sender.dialect(), t.connection.address)
	sent, err := t.connection.write(headerBytes, t.request.Body, t.request.BodyRest)
	if err != nil && sent == 0 {
		return nil, &NotSentError{Address: t.connection.address, Cause: err}
	}
	if err != nil {
		return nil, &LostError{Address: t.connection.address, Cause: err}
	}
	response, answerHead, err := t.readAnswer()
	if err != nil {
		return nil, err
	}
	body := t.newBody(response, answerHead)
	answer := &Answer{
		Status: response.StatusCode, Header: response.Header, Offset: answerHead.Offset, Body: body, body: body,
		EndsWithConnection: body.endsWithConnection,
	}
	if answerHead.NotRun {
		return nil, t.rejected(answer, answerHead)
	}
	return answer, nil
}

// readAnswer returns the answer to this attempt. It skips late answers to earlier
// attempts on the same connection.
func (t *roundTrip) readAnswer() (*http.Response, exchange.EndpointResponse, error) {
	var crossed error
	for ; t.skipped < maxSkippedAnswers; t.skipped++ {
		response, err := t.connection.readAnswer(t.request.Method, t.limits(t.request.FirstByteTimeout), t.onInterim)
		if err != nil && crossed != nil {
			return nil, exchange.EndpointResponse{}, crossed
		}
		if err != nil {
			return nil, exchange.EndpointResponse{}, &LostError{Address: t.connection.address, Cause: err}
		}
		head := t.sender.dialect().ReadEndpointResponse(response.StatusCode, response.Header)
		t.onHead(head)
		if !t.request.EchoesAttempt || head.Attempt == t.request.EndpointRequest.Attempt || (head.NotRun && head.Attempt == "") {
			return response, head, nil
		}
		crossed = &CrossedError{Sent: t.request.EndpointRequest.Attempt, Got: head.Attempt}
		body := t.newBody(response, head)
		if body.drain(maxSkippedBytes); !body.complete {
			break
		}
	}
	return nil, exchange.EndpointResponse{}, crossed
}

func (t *roundTrip) onHead(head exchange.EndpointResponse) {
	if t.request.OnHead != nil {
		t.request.OnHead(head)
	}
}

// onInterim reports an interim answer that names a limit or a slowness. One that names
// none says nothing about them.
func (t *roundTrip) onInterim(status int, header http.Header) {
	head := t.sender.dialect().ReadEndpointResponse(status, header)
	head.Interim = true
	if head.Limit.Named || head.Load.Slowness > 0 || head.Load.Unreadable {
		t.onHead(head)
	}
}

// limits returns the limits of one wait for data, which lasts no longer than
// longest.
func (t *roundTrip) limits(longest time.Duration) waitLimits {
	return waitLimits{longest: longest, interval: t.request.InactivityInterval, onInactive: t.request.OnInactive}
}

// finish returns the connection to the sender if it can carry another request, and
// closes it otherwise. Calls after the first have no effect.
func (t *roundTrip) finish(reusable bool) {
	t.finishOnce.Do(func() {
		active := t.stopWatching()
		if reusable && active && t.connection.isReusable() {
			t.connection.receiver.release()
			t.sender.putIdle(t.connection)
			return
		}
		t.connection.close()
	})
}

// encodeHead returns the request line and the headers.
func (p Request) encodeHead(dialect exchange.Dialect, address string) []byte {
	header := p.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	dialect.WriteEndpointRequest(header, p.EndpointRequest)
	host := p.HostHeader
	if host == "" {
		host = address
	}
	return encodeHead(p.Method, p.Target, host, header, p.bodyBytes())
}

// bodyBytes returns the length of the body.
func (p Request) bodyBytes() int {
	n := len(p.Body)
	for _, piece := range p.BodyRest {
		n += len(piece)
	}
	return n
}
