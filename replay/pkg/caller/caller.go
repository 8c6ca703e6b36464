// Package caller sends the requests of a trace as real callers would, through a
// stand-in for the platform's load balancer, and logs the outcome that each caller
// received.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/replay/pkg/trace"
	"godwitmoor.example/standin/pkg/application"
)

const (
	healthCheckInterval = 250 * time.Millisecond
	healthCheckTimeout  = 500 * time.Millisecond
	maxIdleConnsPerHost = 256
	// maxRetries is how often a caller retries a keyed request whose result is
	// uncertain.
	maxRetries   = 3
	retryDelay   = 400 * time.Millisecond
	requestIDKey = "Request-Id"
)

// Outcome is the result of one try of a request, as its caller saw it. Each
// Outcome is one line of the callers' log.
type Outcome struct {
	Number int `json:"number"`
	// Try is 0 for the first try and counts the retries with the same key.
	Try      int       `json:"try,omitempty"`
	Request  string    `json:"request,omitempty"`
	Host     string    `json:"host"`
	Tier     string    `json:"tier"`
	Path     string    `json:"path"`
	Key      string    `json:"key,omitempty"`
	SentAt   time.Time `json:"sent-at"`
	DoneAt   time.Time `json:"done-at"`
	Deadline time.Time `json:"deadline"`
	// FirstAt is the time at which the first part of the answer arrived.
	FirstAt time.Time `json:"first-at,omitzero"`
	Status  int       `json:"status,omitempty"`
	// Result is "answered", "not-run", "unknown", "broken-off", or "failed" if
	// the caller got no usable response: no host was ready, the request returned an
	// error, or the problem document could not be decoded.
	Result string `json:"told"`
	Reason string `json:"reason,omitempty"`
	// Correct is true if the answer is complete and correct for this request.
	Correct  bool `json:"whole,omitempty"`
	Replayed bool `json:"replayed,omitempty"`
	// ExcludedFromGoodput is true for outcomes that do not count towards goodput.
	ExcludedFromGoodput bool `json:"unjudged,omitempty"`
}

// Destination is where a request is sent: an entry host, or an endpoint if a
// Baseline picks it.
type Destination struct {
	Name   string
	Listen string
	Status string
	// Prefix is removed from the path of a request. It is set for endpoints,
	// whose paths have no service prefix, and empty for entry hosts.
	Prefix string
}

// Picker picks the destination of the next request for a path. *Balancer and
// *Baseline implement it. Pick returns false if no destination is available.
type Picker interface {
	Pick(path string) (Destination, bool)
}

// Balancer distributes requests round-robin over the hosts that report ready.
type Balancer struct {
	hosts  []Destination
	client *http.Client

	mu    sync.Mutex
	ready []Destination
	next  int
}

// NewBalancer returns a Balancer over hosts. Start begins its health checks.
func NewBalancer(hosts []Destination) *Balancer {
	return &Balancer{hosts: hosts, client: &http.Client{Timeout: healthCheckTimeout}}
}

// Start runs the health checks in the background until ctx ends.
func (b *Balancer) Start(ctx context.Context) { go b.run(ctx) }

func (b *Balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		ready := make([]Destination, 0, len(b.hosts))
		for _, h := range b.hosts {
			response, err := b.client.Get("http://" + h.Status + "/readyz")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready = append(ready, h)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		time.Sleep(healthCheckInterval)
	}
}

// Ready returns the number of hosts that reported ready in the last health check.
func (b *Balancer) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Pick returns the next ready host, whatever the path, or false if none is ready.
func (b *Balancer) Pick(string) (Destination, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return Destination{}, false
	}
	b.next++
	return b.ready[b.next%len(b.ready)], true
}

// Callers sends the requests of a trace and logs their outcomes.
type Callers struct {
	picker Picker
	token  func(customer string) string
	client *http.Client

	mu  sync.Mutex
	log io.Writer
}

// New returns Callers that write one JSON line per outcome to log. The function
// token returns the access token of a customer.
func New(p Picker, token func(customer string) string, log io.Writer) *Callers {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	return &Callers{picker: p, token: token, client: &http.Client{Transport: transport}, log: log}
}

// Send sends each request at its time after start and returns when all of them
// have ended. It calls progress about once a second and at the end, with the
// number of requests sent.
func (c *Callers) Send(ctx context.Context, requests []trace.Request, start time.Time, progress func(sent int)) {
	var inFlight sync.WaitGroup
	key := ""
	lastProgress := start
	for i, r := range requests {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(r.At))):
		}
		if ctx.Err() != nil {
			break
		}
		if r.Keyed && !r.Repeat {
			key = trace.NewKey()
		}
		call := &call{callers: c, request: r, inFlight: &inFlight}
		if r.Keyed {
			call.key = key
		}
		inFlight.Add(1)
		go call.run(ctx)
		if time.Since(lastProgress) > time.Second {
			lastProgress = time.Now()
			progress(i + 1)
		}
	}
	inFlight.Wait()
	progress(len(requests))
}

// call is one request in flight, including its retries.
type call struct {
	callers  *Callers
	request  trace.Request
	key      string
	inFlight *sync.WaitGroup
}

func (c *call) run(ctx context.Context) {
	defer c.inFlight.Done()
	for try := 0; ; try++ {
		o := c.sendOnce(ctx, try)
		c.callers.logOutcome(o)
		if c.key == "" || try == maxRetries || !isUncertain(o) {
			return
		}
		time.Sleep(retryDelay)
	}
}

// isUncertain reports whether the request may or may not have run, so that a caller
// with a key retries it.
func isUncertain(o Outcome) bool {
	return o.Result == "failed" || o.Result == "broken-off" || o.Result == "unknown"
}

func (c *call) sendOnce(ctx context.Context, try int) Outcome {
	host, ready := c.callers.picker.Pick(c.request.Path)
	now := time.Now()
	o := Outcome{
		Number: c.request.Number, Try: try, Host: host.Name, Tier: c.request.Tier, Path: c.request.Path,
		ExcludedFromGoodput: c.request.ExcludedFromGoodput, Key: c.key, SentAt: now, Deadline: now.Add(c.request.Deadline), Result: "failed",
	}
	if ready {
		if err := c.exchange(ctx, host, &o); err != nil {
			o.Reason = err.Error()
		}
	} else {
		o.Reason = "no host is ready"
	}
	o.DoneAt = time.Now()
	return o
}

func (c *Callers) logOutcome(o Outcome) {
	data, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.log.Write(append(data, '\n')); err != nil {
		// The audit reads this log; a missing outcome would make its results wrong.
		panic(err)
	}
}

type completionRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (c *call) body() ([]byte, error) {
	if c.request.Method == http.MethodGet {
		return nil, nil
	}
	if c.request.Keyed {
		return []byte(c.request.Prompt), nil
	}
	return json.Marshal(completionRequest{Prompt: c.request.Prompt, MaxTokens: c.request.Answer})
}

func (c *call) exchange(ctx context.Context, host Destination, o *Outcome) error {
	ctx, cancel := context.WithTimeout(ctx, c.request.Deadline+c.request.Patience)
	defer cancel()
	body, err := c.body()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, c.request.Method, "http://"+host.Listen+strings.TrimPrefix(c.request.Path, host.Prefix), bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.callers.token(c.request.Customer))
	request.Header.Set("Request-Tier", c.request.Tier)
	request.Header.Set("Request-Timeout", c.request.Deadline.String())
	if host.Prefix != "" {
		// No entry host assigns a request ID on this path, so the caller sets one.
		o.Request = fmt.Sprint("direct-", c.request.Number)
		request.Header.Set(requestIDKey, o.Request)
	}
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	response, err := c.callers.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	o.Status = response.StatusCode
	if id := response.Header.Get(requestIDKey); id != "" {
		o.Request = id
	}
	o.Replayed = response.Header.Get("Idempotent-Replayed") == "true"
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		return readProblem(response.Body, o)
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return c.readEvents(response.Body, o)
	}
	return c.readReceipt(response.Body, body, o)
}

type problem struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

func readProblem(body io.Reader, o *Outcome) error {
	var p problem
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		return errors.Wrap(err, "read the refusal")
	}
	o.Result, o.Reason = p.Outcome, p.Reason
	return nil
}

type receipt struct {
	Digest string `json:"digest"`
}

func (c *call) readReceipt(body io.Reader, requestBody []byte, o *Outcome) error {
	o.Result = "broken-off"
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	o.FirstAt = time.Now()
	o.Result = "answered"
	var got receipt
	if err := json.Unmarshal(data, &got); err != nil {
		return errors.Wrap(err, "read the receipt")
	}
	o.Correct = got.Digest == application.Digest(requestBody)
	return nil
}
