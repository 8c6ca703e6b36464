// Package caller holds a client of the platform.
package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"godwitmoor.example/review/harness/record"
)

// Request is one client attempt. It is sent on a connection of its own.
type Request struct {
	// Address is the front of a host, Host the value of the Host header.
	Address, Host, Method, Path, Key, ID string
	Deadline                             time.Duration
	Header                               http.Header
	Body                                 string
}

// Outcome is what the client saw of an attempt.
type Outcome struct {
	// SentAt is when the last byte was sent, EndedAt when the answer or the
	// connection ended.
	SentAt, EndedAt time.Time
	// Status is zero if no answer began. Whole is set if the answer was complete.
	Status int
	Whole  bool
	Stamp  string
	Body   string
	Err    error
}

// Answered reports whether the client got a whole answer of any status.
func (o Outcome) Answered() bool { return o.Status != 0 && o.Whole }

// String describes the outcome in a line of the record.
func (o Outcome) String() string {
	took := o.EndedAt.Sub(o.SentAt).Seconds()
	switch {
	case o.Status == 0:
		return fmt.Sprintf("no answer, the connection ended %.3f s after the last byte: %v", took, o.Err)
	case !o.Whole:
		return fmt.Sprintf("%d cut after %.3f s: %v", o.Status, took, o.Err)
	default:
		return fmt.Sprintf("%d whole after %.3f s, stamp %q", o.Status, took, o.Stamp)
	}
}

// Send sends the request, waits until its answer or its connection ends, and at most
// until a second after the deadline, and writes both down.
func (r Request) Send(to *record.Record) Outcome {
	to.Line("client: %s sent to %s (%s %s)", r.ID, r.Address, r.Method, r.Path)
	outcome := r.exchange()
	to.Line("client: %s %v", r.ID, outcome)
	return outcome
}

func (r Request) exchange() Outcome {
	conn, err := net.DialTimeout("tcp", r.Address, time.Second)
	if err != nil {
		return Outcome{SentAt: time.Now(), EndedAt: time.Now(), Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.Deadline + time.Second))
	if _, err := io.WriteString(conn, r.encode()); err != nil {
		return Outcome{SentAt: time.Now(), EndedAt: time.Now(), Err: err}
	}
	outcome := Outcome{SentAt: time.Now()}
	defer func() { outcome.EndedAt = time.Now() }()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		outcome.Err, outcome.EndedAt = err, time.Now()
		return outcome
	}
	body, err := io.ReadAll(response.Body)
	outcome.Status, outcome.Whole, outcome.Err = response.StatusCode, err == nil, err
	outcome.Stamp, outcome.Body = response.Header.Get("Godwitmoor-Server-Stamp"), string(body)
	outcome.EndedAt = time.Now()
	return outcome
}

// encode returns the bytes of the request.
func (r Request) encode() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nGodwitmoor-Attempt-Id: %s\r\nGodwitmoor-Deadline-Ms: %d\r\n",
		r.Method, r.Path, r.Host, r.ID, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&text, "X-Api-Key: %s\r\n", r.Key)
	}
	for name, values := range r.Header {
		for _, value := range values {
			fmt.Fprintf(&text, "%s: %s\r\n", name, value)
		}
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	return text.String()
}
