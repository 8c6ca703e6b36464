// Package trace reads traces: what callers send, what fails and when, and the
// outcome that is stated for it.
//
// A trace is JSON with comments. Its streams of requests are expanded with its
// seed, so that the same trace and seed give the same requests.
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

// Trace is one scenario.
type Trace struct {
	// Name is the trace's name in tables.
	Name string `json:"name"`
	// Made says where the requests come from.
	Made string `json:"made"`
	// Deployment is "hsu" or "kerbrat".
	Deployment string `json:"deployment"`
	// Seed makes the requests; another one can be given when it is run.
	Seed uint64 `json:"seed"`
	// Hosts is the number of entry hosts.
	Hosts int `json:"hosts"`
	// GoodputWeight replaces the deployment's own.
	GoodputWeight *float64 `json:"goodput-weight,omitempty"`
	// Patience is how long after its deadline a caller still listens; zero
	// means a minute.
	Patience document.Duration `json:"patience,omitempty"`
	// JudgedTo is the end of the arrivals that goodput counts, so that work
	// which is helped by the quiet after the last arrival does not; zero counts
	// all.
	JudgedTo document.Duration `json:"judged-to,omitempty"`
	// Streams are the kinds of requests.
	Streams []Stream `json:"streams"`
	// Faults are what fails, and what operators do, by time.
	Faults []Fault `json:"faults,omitempty"`
	// Expect is the stated outcome.
	Expect Expect `json:"expect"`
}

// Stream is one kind of request, with arrivals at random moments.
type Stream struct {
	// Customer is who sends.
	Customer string `json:"customer"`
	// Tier is the tier asked for.
	Tier string `json:"tier"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path on the hosts, with the service's prefix.
	Path string `json:"path"`
	// Rate is in requests/s.
	Rate float64 `json:"rate"`
	// From is when the arrivals begin.
	From document.Duration `json:"from,omitempty"`
	// To is when they end.
	To document.Duration `json:"to"`
	// Prompt is the least and the most tokens of a prompt.
	Prompt [2]int `json:"prompt,omitempty"`
	// Answer is the least and the most tokens of an answer.
	Answer [2]int `json:"answer,omitempty"`
	// Deadline is the time a request has.
	Deadline document.Duration `json:"deadline"`
	// Keyed requests are non-idempotent and carry a key.
	Keyed bool `json:"keyed,omitempty"`
	// Repeats is the share of keyed requests that are sent again at once, to
	// another host, under the same key.
	Repeats float64 `json:"repeats,omitempty"`
}

// Fault is one thing that happens at a time.
type Fault struct {
	// At is the time after the first request may come.
	At document.Duration `json:"at"`
	// Kind is one of the kinds that the trial package carries out.
	Kind string `json:"kind"`
	// Target is the name of a host or an endpoint.
	Target string `json:"target,omitempty"`
	// For is how long it lasts; zero is for good.
	For document.Duration `json:"for,omitempty"`
}

// Expect is the stated outcome of a trace.
type Expect struct {
	// Held are the promises, by number, that must be judged and held.
	Held []int `json:"held"`
	// InTime is the least share of each tier's requests answered in time.
	InTime []TierShare `json:"in-time,omitempty"`
	// WastedPrefill is the largest share of prefill that may be thrown away.
	WastedPrefill float64 `json:"wasted-prefill,omitempty"`
}

// TierShare is a share of a tier's requests.
type TierShare struct {
	// Tier is the tier's name.
	Tier string `json:"tier"`
	// Share is from 0 to 1.
	Share float64 `json:"share"`
}

// Request is one request to send.
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
	// Unjudged requests are not part of goodput.
	Unjudged bool
	// Twin is set for requests that share their key with the one before.
	Twin bool
}

// Load reads and checks a trace.
func Load(file string) (Trace, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Trace{}, errors.Wrap(err, "read the trace")
	}
	return Parse(file, data)
}

// Parse checks a trace that was read already.
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
		add("/deployment", fmt.Sprintf("there is no deployment %q", t.Deployment), `write "hsu" or "kerbrat"`)
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
			add(field, "has a least that is above its most", "write [least, most]")
		}
	}
	if len(problems) > 0 {
		return Trace{}, &document.ProblemsError{Problems: document.Locate(file, data, problems)}
	}
	return t, nil
}

// Requests expands the streams, in order of time.
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
		requests[i].Unjudged = t.JudgedTo > 0 && requests[i].At > t.JudgedTo.Std()
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
			Prompt:   promptOf(random, between(random, s.Prompt)),
			Answer:   between(random, s.Answer),
		}
		requests = append(requests, r)
		if s.Keyed && random.Float64() < s.Repeats {
			r.Twin = true
			requests = append(requests, r)
		}
	}
}

// between picks a length; short ones are as likely, by order of magnitude, as
// long ones.
func between(random *rand.Rand, bounds [2]int) int {
	least, most := float64(bounds[0]), float64(bounds[1])
	if most <= least || least <= 0 {
		return bounds[0]
	}
	shape := random.Float64()
	return int(least + (most-least)*shape*shape)
}

// promptOf gives a text of n tokens that differs from every other.
func promptOf(random *rand.Rand, tokens int) string {
	head := fmt.Sprintf("%016x", random.Uint64())
	return head + strings.Repeat(".", max(0, tokens*bytesPerToken-len(head)))
}

// NewKey makes a request key of the present time.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }
