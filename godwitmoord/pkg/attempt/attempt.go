// Package attempt sends one request to one endpoint, once.
//
// Go's HTTP client sends some requests again by itself when a kept-alive
// connection breaks: those with a safe method, and those with an
// Idempotency-Key header. A non-idempotent request therefore goes out on a
// connection of its own, which the client never retries on, and without such a
// header.
package attempt

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout  = time.Second
	idlePerHost  = 64
	idleLifetime = 30 * time.Second
	// Buffers of a connection to an endpoint, in bytes: a token is far smaller,
	// and a host holds one connection for each stream.
	readBuffer  = 2 << 10
	writeBuffer = 1 << 10
	// notRunHeader is how an endpoint says that it refused without running.
	notRunHeader = "Not-Run"
)

// Headers that name a request to an endpoint.
const (
	RequestHeader = "Request-Id"
	AttemptHeader = "Attempt-Id"
	KeyHeader     = "Request-Key"
	TierHeader    = "Request-Tier"
	OffsetHeader  = "Resume-Offset"
)

// Parcel is what goes to an endpoint.
type Parcel struct {
	Method string
	// Path is the path and query below the endpoint's root.
	Path    string
	Header  http.Header
	Body    []byte
	Request string
	Attempt string
	Key     string
	Tier    string
	// Offset is the number of answer parts the caller has already.
	Offset int
	// Idempotent requests may share connections.
	Idempotent bool
	// Echoes says that the endpoint returns the attempt's id.
	Echoes           bool
	FirstByteTimeout time.Duration
	GapTimeout       time.Duration
}

// WithAttempt gives a copy of the parcel for another attempt.
func (p Parcel) WithAttempt(id string, offset int) Parcel {
	p.Attempt = id
	p.Offset = offset
	return p
}

// NotSentError says that no byte of the request went out, or that the endpoint
// itself said that it did not run it.
type NotSentError struct {
	Address string
	Cause   error
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

// errSilent ends an attempt whose endpoint has been silent for too long.
var errSilent = errors.New("the endpoint was silent for too long")

// Sender sends attempts. The zero value works.
type Sender struct {
	shared  atomic.Pointer[http.Transport]
	private atomic.Pointer[http.Transport]
}

func (s *Sender) transport(idempotent bool) *http.Transport {
	slot := &s.private
	if idempotent {
		slot = &s.shared
	}
	if t := slot.Load(); t != nil {
		return t
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	slot.CompareAndSwap(nil, &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		DisableKeepAlives:   !idempotent,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleLifetime,
		ReadBufferSize:      readBuffer,
		WriteBufferSize:     writeBuffer,
	})
	return slot.Load()
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
// *NotSentError, *LostError and *CrossedError.
func (s *Sender) Send(ctx context.Context, address string, p Parcel) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var touched atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { touched.Store(true) },
	})
	request, err := p.build(ctx, address)
	if err != nil {
		cancel(nil)
		return nil, &NotSentError{Address: address, Cause: err}
	}
	silence := time.AfterFunc(p.FirstByteTimeout, func() { cancel(errSilent) })
	response, err := s.transport(p.Idempotent).RoundTrip(request)
	if err != nil {
		silence.Stop()
		cancel(nil)
		s.suspect(ctx, p)
		if touched.Load() {
			return nil, &LostError{Address: address, Cause: err}
		}
		return nil, &NotSentError{Address: address, Cause: err}
	}
	answer := &Answer{Status: response.StatusCode, Header: response.Header}
	answer.Body = &gapReader{body: response.Body, silence: silence, gap: p.GapTimeout}
	answer.close = func() {
		silence.Stop()
		cancel(nil)
		_ = response.Body.Close()
	}
	if err := p.judge(address, response); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// suspect drops the idle connections when one turned out to be silent: those of
// the same age may be dead as well.
func (s *Sender) suspect(ctx context.Context, p Parcel) {
	if p.Idempotent && errors.Is(context.Cause(ctx), errSilent) {
		s.transport(true).CloseIdleConnections()
	}
}

func (p Parcel) build(ctx context.Context, address string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, p.Method, "http://"+address+p.Path, bytes.NewReader(p.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	// Without GetBody the client has nothing to send a second time.
	request.GetBody = nil
	request.Header = p.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	for name, value := range map[string]string{
		RequestHeader: p.Request, AttemptHeader: p.Attempt, KeyHeader: p.Key, TierHeader: p.Tier,
	} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	if p.Offset > 0 {
		request.Header.Set(OffsetHeader, strconv.Itoa(p.Offset))
	}
	return request, nil
}

func (p Parcel) judge(address string, response *http.Response) error {
	refused := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(notRunHeader) == "true"
	if refused {
		return &NotSentError{Address: address, Cause: errors.New("the endpoint refused it")}
	}
	if got := response.Header.Get(AttemptHeader); p.Echoes && got != p.Attempt {
		return &CrossedError{Sent: p.Attempt, Got: got}
	}
	return nil
}

// gapReader bounds the wait for each part of the body.
type gapReader struct {
	body    io.Reader
	silence *time.Timer
	gap     time.Duration
}

func (g *gapReader) Read(into []byte) (int, error) {
	g.silence.Reset(g.gap)
	return g.body.Read(into)
}
