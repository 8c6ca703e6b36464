// Package configuration defines what operators configure (tiers, services,
// endpoints, customers, rules and routes), checks it, and stores the version that
// is in force.
//
// # Usage
//
//	declared, err := configuration.Parse("hsu.jsonc", data)
//	result, err := (&configuration.Store{KeyValue: store}).Apply(ctx, change)
//
// A Configuration is never changed after it was parsed; methods that modify one
// return a copy. The order of the tiers is their rank, the highest first.
package configuration

import (
	"path"
	"slices"
	"strings"
	"time"

	"godwitmoor.example/coordination/pkg/document"
)

// Kind is the kind of work that a service's endpoints do.
type Kind string

// The kinds of service.
const (
	// Model endpoints stream generated tokens.
	Model Kind = "model"
	// Application endpoints are plain HTTP services.
	Application Kind = "application"
)

// Configuration is the complete configuration of a deployment.
type Configuration struct {
	// GoodputWeight sets the balance between goodput by tier (1) and avoiding
	// wasted prefill (0): it bounds how much running work may be interrupted for
	// work of a higher tier.
	GoodputWeight float64 `json:"goodput-weight"`
	// Tiers are the tiers of work, the highest first.
	Tiers []Tier `json:"tiers"`
	// Customers are the customers that may send requests.
	Customers []Customer `json:"customers"`
	// Services are the services that callers can reach, each by its path prefix.
	Services []Service `json:"services"`
	// Rules set the tier and the idempotency of requests; the first rule that
	// matches a request applies.
	Rules []Rule `json:"rules"`
	// Claims configures the idempotency records of non-idempotent requests.
	Claims Claims `json:"claims"`
	// Routes map requests to services by host name and path. Without routes,
	// requests are mapped by the services' prefixes and the rules.
	Routes []Route `json:"routes,omitempty"`
}

// Tier is a priority class of requests.
type Tier struct {
	// Name is the name that callers and rules use for the tier.
	Name string `json:"name"`
	// Deadline is the time limit of a request of the tier, unless the request asks
	// for a shorter one.
	Deadline document.Duration `json:"deadline"`
}

// Customer is a customer that may send requests.
type Customer struct {
	// Name is the customer's name in records and reports.
	Name string `json:"name"`
	// TokenSHA256 is the SHA-256 digest of the customer's bearer token, in
	// hexadecimal.
	TokenSHA256 string `json:"token-sha256"`
	// Tiers are the tiers that the customer may use.
	Tiers []string `json:"tiers"`
	// Keys are the API keys that identify the customer on routes.
	Keys []string `json:"keys,omitempty"`
	// Rank takes precedence over the rank of the route; 0 is the highest.
	Rank int `json:"rank,omitempty"`
	// Quota limits the tokens that the customer may request over time.
	Quota *Quota `json:"quota,omitempty"`
}

// Service is a group of endpoints that can run the same requests.
type Service struct {
	// Name is the service's name in rules and reports.
	Name string `json:"name"`
	// Prefix is the start of the path of the service's requests; it is removed
	// before a request goes to an endpoint.
	Prefix string `json:"prefix"`
	// Kind is "model" or "application".
	Kind Kind `json:"kind"`
	// QueueLimit bounds the requests that wait for a free slot at an endpoint.
	QueueLimit int `json:"queue-limit"`
	// BodyLimit bounds a request's body, in bytes.
	BodyLimit int64 `json:"body-limit"`
	// FirstByteTimeout bounds the wait for an answer's first byte.
	FirstByteTimeout document.Duration `json:"first-byte-timeout"`
	// GapTimeout bounds the wait between two parts of an answer.
	GapTimeout document.Duration `json:"gap-timeout"`
	// EchoesAttempt is set if the endpoints return the Attempt-Id header that they
	// receive, so that an answer to another request is detected.
	EchoesAttempt bool `json:"echoes-attempt,omitempty"`
	// Resumes is set if the endpoints can start a stream at a later event when they
	// receive the header Resume-Offset, which holds the number of events that the
	// caller already has. An answer that begins there returns the header with the
	// same value; an answer without it begins at the first event.
	Resumes bool `json:"resumes,omitempty"`
	// Endpoints are the endpoints of the service.
	Endpoints []Endpoint `json:"endpoints"`
	// EventTokens is the number of tokens in one event of a stream; zero means
	// one.
	EventTokens int `json:"event-tokens,omitempty"`
}

// Endpoint is a server that runs the requests of a service.
type Endpoint struct {
	// Name is the endpoint's name, unique over all services.
	Name string `json:"name"`
	// Address is the endpoint's IP address and port, such as 127.0.0.1:8000.
	Address string `json:"address"`
	// DataCentre is the data centre in which the endpoint runs.
	DataCentre string `json:"data-centre"`
	// InFlightLimit bounds the requests that run at the endpoint at the same time.
	InFlightLimit int `json:"in-flight-limit"`
	// PrefillSpeed is an initial estimate of the prefill rate, in tokens/s, used
	// until the rate has been measured.
	PrefillSpeed float64 `json:"prefill-speed,omitempty"`
	// DecodeSpeed is an initial estimate of the decode rate of one request, in
	// tokens/s, used until the rate has been measured.
	DecodeSpeed float64 `json:"decode-speed,omitempty"`
	// Leaving stops new requests from being sent to the endpoint.
	Leaving bool `json:"leaving,omitempty"`
	// Born is the time at which this incarnation of the endpoint started, in Unix
	// milliseconds; zero if unknown.
	Born int64 `json:"born,omitempty"`
	// Version is the version of the endpoint's software; empty if it states none.
	Version string `json:"version,omitempty"`
	// ColdLeft is how much longer the endpoint expected to be slow after its start when it
	// reported this; it is not set for endpoints without a version.
	ColdLeft document.Duration `json:"cold-left,omitempty"`
}

// Rule sets the idempotency and the default tier of the requests that match it.
type Rule struct {
	// Service is the name of the service whose requests the rule matches.
	Service string `json:"service"`
	// Methods are the HTTP methods that the rule matches; an empty list matches
	// all.
	Methods []string `json:"methods,omitempty"`
	// Path is a pattern, in the syntax of Go's path.Match, for the path after the
	// service's prefix; a pattern that ends in "/**" matches every path below; an
	// empty pattern matches all.
	Path string `json:"path,omitempty"`
	// Idempotent is set if a matching request may safely run more than once.
	Idempotent bool `json:"idempotent"`
	// Tier is the tier of requests for which the caller names none.
	Tier string `json:"tier"`
}

// Claims configures the idempotency records of non-idempotent requests.
type Claims struct {
	// Retention is the age up to which a request key is accepted.
	Retention document.Duration `json:"retention"`
	// StoredAnswerLimit is the largest answer that is stored to be returned again
	// for a repeated key, in bytes.
	StoredAnswerLimit int `json:"stored-answer-limit"`
}

// TierRank returns the rank of the named tier; 0 is the highest.
func (c *Configuration) TierRank(name string) (int, bool) {
	i := slices.IndexFunc(c.Tiers, func(t Tier) bool { return t.Name == name })
	return i, i >= 0
}

// Service returns the named service.
func (c *Configuration) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Endpoint returns the named endpoint.
func (s *Service) Endpoint(name string) (Endpoint, bool) {
	for _, e := range s.Endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return Endpoint{}, false
}

// Route returns the service with the longest prefix that matches the request
// path, and the path without that prefix.
func (c *Configuration) Route(requestPath string) (*Service, string, bool) {
	var found *Service
	for i := range c.Services {
		s := &c.Services[i]
		if !underPrefix(requestPath, s.Prefix) {
			continue
		}
		if found == nil || len(s.Prefix) > len(found.Prefix) {
			found = s
		}
	}
	if found == nil {
		return nil, "", false
	}
	rest := strings.TrimPrefix(requestPath, strings.TrimSuffix(found.Prefix, "/"))
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return found, rest, true
}

func underPrefix(requestPath, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return requestPath == prefix || strings.HasPrefix(requestPath, prefix+"/")
}

// RuleFor returns the first rule that matches. If none matches, it returns a rule
// with the lowest tier under which only GET, HEAD and OPTIONS are idempotent.
func (c *Configuration) RuleFor(service, method, requestPath string) Rule {
	for _, r := range c.Rules {
		if r.matches(service, method, requestPath) {
			return r
		}
	}
	safe := method == "GET" || method == "HEAD" || method == "OPTIONS"
	return Rule{Service: service, Idempotent: safe, Tier: c.Tiers[len(c.Tiers)-1].Name}
}

func (r Rule) matches(service, method, requestPath string) bool {
	if r.Service != service {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if r.Path == "" {
		return true
	}
	if parent, isSubtree := strings.CutSuffix(r.Path, "/**"); isSubtree {
		return underPrefix(requestPath, parent)
	}
	matched, err := path.Match(r.Path, requestPath)
	return err == nil && matched
}

// WithEndpointLeaving returns a copy in which the named endpoint is leaving, so
// that it receives no new requests.
func (c Configuration) WithEndpointLeaving(name string) Configuration {
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		c.Services[i].Endpoints = slices.Clone(c.Services[i].Endpoints)
		for k := range c.Services[i].Endpoints {
			e := &c.Services[i].Endpoints[k]
			e.Leaving = e.Leaving || e.Name == name
		}
	}
	return c
}

// Deadline returns the time limit of requests of the tier with the given rank.
func (c *Configuration) Deadline(rank int) time.Duration { return c.Tiers[rank].Deadline.Std() }
