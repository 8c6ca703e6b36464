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
//	answer, err := sender.Send(ctx, "10.0.0.1:80", parcel)
//	defer answer.Close()
package attempt

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/exchange"
)

// maxStrays is how many answers to other attempts are read on a connection before
// it is closed.
const maxStrays = 3

// Parcel is the message that is sent to an endpoint, with its time limits.
type Parcel struct {
	Method string
	// Target is the path and query, as they are sent to the endpoint.
	Target string
	// Host is the Host header; empty means the endpoint's address.
	Host   string
	Header http.Header
	Body   []byte
	Order  exchange.Order
	// Shared says that the request may use a connection that carried another
	// request before. Other requests get a new connection, because a reused one
	// may turn out to be closed after the first byte was sent.
	Shared bool
	// Echoes says that the endpoint returns the attempt's id.
	Echoes bool
	// FirstByteTimeout bounds the wait for the answer's first byte, GapTimeout
	// the wait for each further part. Zero means no limit.
	FirstByteTimeout time.Duration
	GapTimeout       time.Duration
	// Silent is called each time the endpoint has sent no data for another Notice,
	// and reports whether to abandon the attempt; nil never abandons it.
	Notice time.Duration
	Silent func(Silence) bool
}

// Silence describes a wait during which an endpoint has sent no data for an
// attempt.
type Silence struct {
	// Lasted is how long the wait has lasted.
	Lasted time.Duration
	// Alive is set if the endpoint sent data on another connection meanwhile.
	Alive bool
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

// CrossedError reports that the endpoint answered another attempt than the one
// that was sent.
type CrossedError struct{ Sent, Got string }

func (e *CrossedError) Error() string {
	return fmt.Sprintf("attempt %s was sent, but the endpoint answered attempt %q; the answer was discarded", e.Sent, e.Got)
}

// Answer is an endpoint's answer whose body is still to be read. The caller must
// close it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	close  func()
}

// Close ends the attempt. If the answer was not read to its end, the connection is
// closed, which cancels the request at the endpoint.
func (a *Answer) Close() { a.close() }

// Send sends p and waits for the answer's head. Errors are
// *NotSentError, *LostError and *CrossedError. When ctx ends, the connection is
// closed, which cancels the request at the endpoint.
func (s *Sender) Send(ctx context.Context, address string, p Parcel) (*Answer, error) {
	l, err := s.take(ctx, address, p.Shared)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	release := context.AfterFunc(ctx, l.abort)
	x := &passage{sender: s, link: l, parcel: p, release: release}
	answer, err := x.send()
	if err != nil {
		x.end(false)
		return nil, err
	}
	return answer, nil
}

// passage is one request and its answer on a connection.
type passage struct {
	sender  *Sender
	link    *link
	parcel  Parcel
	release func() bool
	ended   bool
}

// send writes the request and reads the head of its answer.
func (x *passage) send() (*Answer, error) {
	head := x.parcel.head(x.sender.dialect(), x.link.address)
	sent, err := x.link.write(head, x.parcel.Body)
	if err != nil && sent == 0 {
		return nil, &NotSentError{Address: x.link.address, Cause: err}
	}
	if err != nil {
		return nil, &LostError{Address: x.link.address, Cause: err}
	}
	response, told, err := x.read()
	if err != nil {
		return nil, err
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header}
	body := &partReader{passage: x, body: response.Body, left: response.ContentLength, reusable: !response.Close, idle: told.IdleLimit}
	answer.Body = body
	answer.close = func() { x.end(body.whole) }
	if told.NotRun {
		// The body is not needed, but it must be read before the connection can be
		// reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(body, maxRefusalBytes))
		answer.Close()
		return nil, &NotSentError{Address: x.link.address, Cause: errors.New("the endpoint refused the request"), Refused: true}
	}
	return answer, nil
}

// read returns the answer to this attempt. It skips late answers to earlier
// attempts on the same connection.
func (x *passage) read() (*http.Response, exchange.Head, error) {
	var crossed error
	for range maxStrays {
		response, err := x.link.read(x.parcel.Method, x.wait(x.parcel.FirstByteTimeout))
		if err != nil && crossed != nil {
			return nil, exchange.Head{}, crossed
		}
		if err != nil {
			return nil, exchange.Head{}, &LostError{Address: x.link.address, Cause: err}
		}
		head := x.sender.dialect().ReadHead(response.StatusCode, response.Header)
		if !x.parcel.Echoes || head.Attempt == x.parcel.Order.Attempt || (head.NotRun && head.Attempt == "") {
			return response, head, nil
		}
		crossed = &CrossedError{Sent: x.parcel.Order.Attempt, Got: head.Attempt}
		if !x.link.skip(response, x.parcel.FirstByteTimeout) {
			break
		}
	}
	return nil, exchange.Head{}, crossed
}

// await waits for the next part of the body, if any is left. A regular end of the
// connection is no error here: the body's reader decides whether it is complete.
func (r *partReader) await() error {
	if r.left == 0 {
		return nil
	}
	err := r.passage.link.await(r.passage.wait(r.passage.parcel.GapTimeout))
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// wait returns the limits of one wait for data, which lasts at most bound.
func (x *passage) wait(bound time.Duration) waiting {
	return waiting{bound: bound, notice: x.parcel.Notice, tell: x.parcel.Silent}
}

// end returns the connection to the sender if it can carry another request, and
// closes it otherwise. Calls after the first have no effect.
func (x *passage) end(fit bool) {
	if x.ended {
		return
	}
	x.ended = true
	running := x.release()
	if fit && running && x.link.fit() {
		x.sender.give(x.link)
		return
	}
	x.link.abort()
}

// head returns the request line and the headers.
func (p Parcel) head(dialect exchange.Dialect, address string) []byte {
	header := p.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	dialect.WriteOrder(header, p.Order)
	host := p.Host
	if host == "" {
		host = address
	}
	return headBytes(p.Method, p.Target, host, header, len(p.Body))
}

// partReader reads the body, bounds the wait for each part of it and records when
// it was read to its end.
type partReader struct {
	passage *passage
	body    io.Reader
	// left is the number of bytes still to read; negative if it is not known.
	left int64
	// reusable is set if the endpoint keeps the connection open after the answer,
	// for as long as idle; an idle of zero means that it did not state a limit.
	reusable bool
	idle     time.Duration
	// whole is set once the body of a reusable connection was read to its end.
	whole bool
}

func (r *partReader) Read(into []byte) (int, error) {
	if err := r.await(); err != nil {
		return 0, err
	}
	n, err := r.body.Read(into)
	if r.left > 0 {
		r.left -= int64(n)
	}
	if errors.Is(err, io.EOF) && r.reusable {
		r.passage.link.keepFor(r.idle)
		r.whole = true
	}
	return n, err
}
