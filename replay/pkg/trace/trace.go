// Package trace reads traces. A trace describes the requests that callers send,
// the faults to inject and when, and the outcome that the run must reach.
//
// A trace is JSON with comments. Its streams are expanded into requests by a
// random generator with the trace's seed, so the same trace and seed always
// produce the same requests.
//
// # Usage
//
//	t, err := trace.Load("lunch.jsonc")
//	for _, request := range t.Requests(t.Seed) { … }
package trace

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"godwitmoor.example/coordination/pkg/document"
)

const (
	bytesPerToken   = 4
	defaultPatience = time.Minute
)

// Trace is one test scenario: requests, faults and the expected outcome.
type Trace struct {
	// Name is the name of the trace in result tables and of its output folder.
	Name string `json:"name"`
	// Made describes where the requests come from, for example "made, not recorded".
	Made string `json:"made"`
	// Deployment is the example deployment to start: "hsu" or "kerbrat".
	Deployment string `json:"deployment"`
	// Seed is the seed of the generated requests. A run can override it.
	Seed uint64 `json:"seed"`
	// Hosts is the number of entry hosts to start.
	Hosts int `json:"hosts"`
	// GoodputWeight, if set, overrides the goodput weight of the deployment.
	GoodputWeight *float64 `json:"goodput-weight,omitempty"`
	// Patience is how long a caller still waits for the response after the
	// deadline of its request. Zero means one minute.
	Patience document.Duration `json:"patience,omitempty"`
	// JudgedTo is the latest arrival time that counts towards goodput. Later
	// requests are sent but not counted, because the lack of load after the last
	// arrival makes them finish faster. Zero counts all requests.
	JudgedTo document.Duration `json:"judged-to,omitempty"`
	// Streams are the streams of requests to send.
	Streams []Stream `json:"streams"`
	// Faults are the failures and operator actions to carry out, ordered by time.
	Faults []Fault `json:"faults,omitempty"`
	// Expect is the outcome that the run must reach.
	Expect Expect `json:"expect"`
}

// Stream is a series of similar requests with random arrival times (a Poisson
// process).
type Stream struct {
	// Customer is the customer that sends the requests.
	Customer string `json:"customer"`
	// Tier is the tier that the requests ask for.
	Tier string `json:"tier"`
	// Method is the HTTP method of the requests.
	Method string `json:"method"`
	// Path is the URL path on the hosts, including the prefix of the service.
	Path string `json:"path"`
	// Rate is the mean arrival rate in requests/s.
	Rate float64 `json:"rate"`
	// From is the time at which arrivals begin.
	From document.Duration `json:"from,omitempty"`
	// To is the time at which arrivals end.
	To document.Duration `json:"to"`
	// Prompt is the minimum and maximum number of prompt tokens.
	Prompt [2]int `json:"prompt,omitempty"`
	// Answer is the minimum and maximum number of answer tokens.
	Answer [2]int `json:"answer,omitempty"`
	// Deadline is the time that each request has to complete.
	Deadline document.Duration `json:"deadline"`
	// Keyed marks the requests as non-idempotent; each carries an idempotency key.
	Keyed bool `json:"keyed,omitempty"`
	// Repeats is the share of keyed requests that are sent a second time at the
	// same moment, to another host, with the same key.
	Repeats float64 `json:"repeats,omitempty"`
}

// Fault is one failure or operator action at a given time.
type Fault struct {
	// At is the time since the start of the trace; arrival times have the same
	// origin.
	At document.Duration `json:"at"`
	// Kind is one of the fault kinds that package trial implements, for example
	// "kill-host".
	Kind string `json:"kind"`
	// Target is the name of the affected host or endpoint.
	Target string `json:"target,omitempty"`
	// For is how long the fault lasts. Zero makes it permanent.
	For document.Duration `json:"for,omitempty"`
}

// Expect is the outcome that a run of the trace must reach.
type Expect struct {
	// Held lists, by number, the promises that the audit must check and find held.
	// A broken promise fails the run even if it is not listed.
	Held []int `json:"held"`
	// InTime is, for each tier listed, the minimum share of requests answered
	// within their deadline.
	InTime []TierShare `json:"in-time,omitempty"`
	// WastedPrefill is the maximum share of prefill work that may be wasted. Zero
	// sets no limit.
	WastedPrefill float64 `json:"wasted-prefill,omitempty"`
}

// TierShare is a share of the requests of one tier.
type TierShare struct {
	// Tier is the name of the tier.
	Tier string `json:"tier"`
	// Share is a fraction from 0 to 1.
	Share float64 `json:"share"`
}

// Request is one request to send, expanded from a Stream.
type Request struct {
	Number   int
	At       time.Duration
	Customer string
	Tier     string
	Method   string
	Path     string
	Prompt   string
	Answer   int
	Deadline time.Duration
	Keyed    bool
	Patience time.Duration
	// ExcludedFromGoodput is true for requests that do not count towards goodput.
	ExcludedFromGoodput bool
	// Repeat is true for a request that repeats the one before it with the same key.
	Repeat bool
}

// Load reads a trace from a file and validates it.
func Load(file string) (Trace, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Trace{}, errors.Wrap(err, "read the trace")
	}
	return Parse(file, data)
}

// Parse decodes and validates the content of a trace file. Problems are reported
// with the name file.
func Parse(file string, data []byte) (Trace, error) {
	var t Trace
	if err := document.Decode(file, data, &t); err != nil {
		return Trace{}, err
	}
	var problems []document.Problem
	add := func(field, message, remedy string) {
		problems = append(problems, document.Problem{Field: field, Message: message, Remedy: remedy})
	}
	if t.Deployment != "hsu" && t.Deployment != "kerbrat" {
		add("/deployment", fmt.Sprintf("unknown deployment %q", t.Deployment), `write "hsu" or "kerbrat"`)
	}
	if t.Hosts < 1 {
		add("/hosts", "is below 1", "set the number of entry hosts")
	}
	for i, s := range t.Streams {
		field := fmt.Sprintf("/streams/%d", i)
		if s.Rate <= 0 {
			add(field+"/rate", "is not above zero", "set requests per second")
		}
		if s.To <= s.From {
			add(field+"/to", "is not after /from", "set the end of the arrivals")
		}
		if s.Prompt[0] > s.Prompt[1] || s.Answer[0] > s.Answer[1] {
			add(field, "has a minimum above its maximum", "write [minimum, maximum]")
		}
	}
	if len(problems) > 0 {
		return Trace{}, &document.ProblemsError{Problems: document.Locate(file, data, problems)}
	}
	return t, nil
}

// Requests expands the streams into requests, ordered by arrival time.
func (t Trace) Requests(seed uint64) []Request {
	var requests []Request
	for i, s := range t.Streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		requests = append(requests, s.expand(random)...)
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return int(a.At - b.At) })
	patience := t.Patience.Std()
	if patience == 0 {
		patience = defaultPatience
	}
	for i := range requests {
		requests[i].Number = i
		requests[i].Patience = patience
		requests[i].ExcludedFromGoodput = t.JudgedTo > 0 && requests[i].At > t.JudgedTo.Std()
	}
	return requests
}

func (s Stream) expand(random *rand.Rand) []Request {
	var requests []Request
	at := s.From.Std()
	for {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= s.To.Std() {
			return requests
		}
		r := Request{
			At:       at,
			Customer: s.Customer,
			Tier:     s.Tier,
			Method:   s.Method,
			Path:     s.Path,
			Deadline: s.Deadline.Std(),
			Keyed:    s.Keyed,
			Prompt:   randomPrompt(random, randomLength(random, s.Prompt)),
			Answer:   randomLength(random, s.Answer),
		}
		requests = append(requests, r)
		if s.Keyed && random.Float64() < s.Repeats {
			r.Repeat = true
			requests = append(requests, r)
		}
	}
}

// randomLength returns a random length within bounds. Squaring the uniform random
// number makes short lengths more likely than long ones.
func randomLength(random *rand.Rand, bounds [2]int) int {
	minimum, maximum := float64(bounds[0]), float64(bounds[1])
	if maximum <= minimum || minimum <= 0 {
		return bounds[0]
	}
	uniform := random.Float64()
	return int(minimum + (maximum-minimum)*uniform*uniform)
}

// randomPrompt returns a prompt of the given number of tokens. Its random head makes
// it differ from all other prompts.
func randomPrompt(random *rand.Rand, tokens int) string {
	head := fmt.Sprintf("%016x", random.Uint64())
	return head + strings.Repeat(".", max(0, tokens*bytesPerToken-len(head)))
}

// NewKey returns a new idempotency key: a UUIDv7, which contains the current time.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }
