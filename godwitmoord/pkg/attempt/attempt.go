// Package attempt sends one request to one endpoint, once.
//
// Go's HTTP client sends some requests again by itself when a kept-alive
// connection breaks, and takes whatever comes next on a connection for the
// answer. So connections are kept here: each carries one request at a time, is
// looked at before it is used again, and tells exactly whether a byte of the
// request went out. The messages themselves are written and read by net/http.
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

// maxStrays is how many answers of earlier attempts are passed over before the
// connection is given up.
const maxStrays = 3

// Parcel is what goes to an endpoint.
type Parcel struct {
	Method string
	// Target is the path and query, as the endpoint shall see them.
	Target string
	// Host is the Host header; empty means the endpoint's address.
	Host   string
	Header http.Header
	Body   []byte
	Order  exchange.Order
	// Shared requests may go out on a connection that was used before. Others
	// get a new one: a kept one may turn out dead after the first byte.
	Shared bool
	// Echoes says that the endpoint returns the attempt's id.
	Echoes bool
	// FirstByteTimeout bounds the wait for the answer's first byte, GapTimeout
	// that for each further part.
	FirstByteTimeout time.Duration
	GapTimeout       time.Duration
	// Silent is called whenever the endpoint has been silent for another Notice,
	// and tells whether to give the attempt up; nil never does.
	Notice time.Duration
	Silent func(Silence) bool
}

// Silence is how long nothing has come from an endpoint.
type Silence struct {
	// Lasted is how long nothing came of this attempt.
	Lasted time.Duration
	// Alive is set when the endpoint sent something on other connections since.
	Alive bool
}

// NotSentError says that the endpoint did not run the request and will not: no
// byte of it went out, or the endpoint said so.
type NotSentError struct {
	Address string
	Cause   error
	// Refused is set when the endpoint itself turned the request down.
	Refused bool
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("the request was not run at %s: %v; try another endpoint", e.Address, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError says that the request was sent and its answer did not come, or did
// not come whole.
type LostError struct {
	Address string
	Cause   error
}

func (e *LostError) Error() string {
	return fmt.Sprintf("the answer from %s was lost: %v; the request may have run", e.Address, e.Cause)
}

func (e *LostError) Unwrap() error { return e.Cause }

// CrossedError says that the endpoint answered another attempt than was sent.
type CrossedError struct{ Sent, Got string }

func (e *CrossedError) Error() string {
	return fmt.Sprintf("attempt %s was answered as %q; the answer was dropped", e.Sent, e.Got)
}

// Answer is an answer whose body is still to be read. Close it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	close  func()
}

// Close ends the attempt; an answer that was not read to its end is cancelled.
func (a *Answer) Close() { a.close() }

// Send sends the parcel and waits for the answer's head. Errors are
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

// passage is one request on its connection.
type passage struct {
	sender  *Sender
	link    *link
	parcel  Parcel
	release func() bool
	ended   bool
}

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
		// The body is of no use; the connection is, once it is read.
		_, _ = io.Copy(io.Discard, io.LimitReader(body, maxRefusalBytes))
		answer.Close()
		return nil, &NotSentError{Address: x.link.address, Cause: errors.New("the endpoint refused it"), Refused: true}
	}
	return answer, nil
}

// read gives the answer to this attempt. Late answers to earlier attempts on
// the same connection are passed over.
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

// await waits for the next part, if there is one. The regular end of a connection
// is for the body to judge.
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

// wait makes the bound on one silence.
func (x *passage) wait(bound time.Duration) waiting {
	return waiting{bound: bound, notice: x.parcel.Notice, tell: x.parcel.Silent}
}

// end gives the connection back when it is fit for another request, and closes
// it otherwise. It is called once or more.
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

// head gives the first bytes of the request.
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

// partReader bounds the wait for each part of the body, and knows when the
// whole of it was read.
type partReader struct {
	passage *passage
	body    io.Reader
	// left is what is still to come; below zero if that is not known.
	left     int64
	reusable bool
	idle     time.Duration
	whole    bool
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
