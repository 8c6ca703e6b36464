// Package configuration is what operators declare: tiers, services, endpoints,
// customers and rules, and the one version of it that is in force.
//
// # Usage
//
//	declared, err := configuration.Parse("hsu.jsonc", data)
//	result, err := (&configuration.Register{Store: store}).Apply(ctx, change)
//
// A Configuration is a value; nothing changes one after it was parsed. Tiers
// are ranked by their order, the highest first.
package configuration

import (
	"path"
	"slices"
	"strings"
	"time"

	"godwitmoor.example/coordination/pkg/document"
)

// Kind says what stands behind a service.
type Kind string

// The kinds of service.
const (
	// Model endpoints stream generated tokens.
	Model Kind = "model"
	// Application endpoints are plain HTTP services.
	Application Kind = "application"
)

// Configuration is everything that operators decide.
type Configuration struct {
	// GoodputWeight weighs goodput by tier (1) against wasted prefill (0): it
	// bounds how much running work may be interrupted for work of a higher tier.
	GoodputWeight float64 `json:"goodput-weight"`
	// Tiers are the tiers of work, the highest first.
	Tiers []Tier `json:"tiers"`
	// Customers are those who may send requests.
	Customers []Customer `json:"customers"`
	// Services are what callers reach, each by its path prefix.
	Services []Service `json:"services"`
	// Rules say how requests are treated; the first that matches counts.
	Rules []Rule `json:"rules"`
	// Claims says how non-idempotent requests are remembered.
	Claims Claims `json:"claims"`
	// Routes lead requests to services by host name and path. Where there are
	// none, the services' prefixes and the rules do that.
	Routes []Route `json:"routes,omitempty"`
}

// Tier is one rank of work.
type Tier struct {
	// Name is what callers and rules call the tier.
	Name string `json:"name"`
	// Deadline is the time a request of the tier has, unless it asks for less.
	Deadline document.Duration `json:"deadline"`
}

// Customer is one who may send requests.
type Customer struct {
	// Name is the customer's name in records and reports.
	Name string `json:"name"`
	// TokenSHA256 is the hexadecimal SHA-256 digest of the bearer token.
	TokenSHA256 string `json:"token-sha256"`
	// Tiers are the tiers granted to the customer.
	Tiers []string `json:"tiers"`
	// Keys are the secrets that name the customer on routes.
	Keys []string `json:"keys,omitempty"`
	// Rank goes before the rank of the route; 0 is the highest.
	Rank int `json:"rank,omitempty"`
	// Quota bounds what the customer may send.
	Quota *Quota `json:"quota,omitempty"`
}

// Service is one thing that callers reach.
type Service struct {
	// Name is the service's name in rules and reports.
	Name string `json:"name"`
	// Prefix is the start of the request path that leads here; it is cut off
	// before the request goes to an endpoint.
	Prefix string `json:"prefix"`
	// Kind is "model" or "application".
	Kind Kind `json:"kind"`
	// QueueLimit bounds the requests that wait for a place.
	QueueLimit int `json:"queue-limit"`
	// BodyLimit bounds a request's body, in bytes.
	BodyLimit int64 `json:"body-limit"`
	// FirstByteTimeout bounds the wait for an answer's first byte.
	FirstByteTimeout document.Duration `json:"first-byte-timeout"`
	// GapTimeout bounds the wait between two parts of an answer.
	GapTimeout document.Duration `json:"gap-timeout"`
	// EchoesAttempt says that the endpoints return the Attempt-Id header they
	// were sent, so that a crossed answer is recognized.
	EchoesAttempt bool `json:"echoes-attempt,omitempty"`
	// Resumes says that the endpoints start a stream at a later event when they
	// get the header Resume-Offset.
	Resumes bool `json:"resumes,omitempty"`
	// Endpoints are the workers of the service.
	Endpoints []Endpoint `json:"endpoints"`
	// EventTokens is the number of tokens that one event of a stream holds; zero
	// is one.
	EventTokens int `json:"event-tokens,omitempty"`
}

// Endpoint is one worker of a service.
type Endpoint struct {
	// Name is the endpoint's name, unique over all services.
	Name string `json:"name"`
	// Address is host:port by IP number.
	Address string `json:"address"`
	// DataCentre is where the endpoint stands.
	DataCentre string `json:"data-centre"`
	// InFlightLimit bounds the requests sent to the endpoint at one time.
	InFlightLimit int `json:"in-flight-limit"`
	// PrefillSpeed is a first guess in tokens/s, until it is measured.
	PrefillSpeed float64 `json:"prefill-speed,omitempty"`
	// DecodeSpeed is a first guess in tokens/s of one request, until measured.
	DecodeSpeed float64 `json:"decode-speed,omitempty"`
	// Leaving stops new work from going to the endpoint.
	Leaving bool `json:"leaving,omitempty"`
	// Born is when this life of the endpoint started, in Unix milliseconds; zero
	// if it is not known.
	Born int64 `json:"born,omitempty"`
}

// Rule says how the requests it matches are treated.
type Rule struct {
	// Service is the service's name.
	Service string `json:"service"`
	// Methods are the HTTP methods; none means all.
	Methods []string `json:"methods,omitempty"`
	// Path is a pattern of path.Match for the path after the prefix; a final
	// "/**" takes in all below; empty means all.
	Path string `json:"path,omitempty"`
	// Idempotent says that running such a request twice does no harm.
	Idempotent bool `json:"idempotent"`
	// Tier is the tier when the caller names none.
	Tier string `json:"tier"`
}

// Claims says how non-idempotent requests are remembered.
type Claims struct {
	// Retention is the age up to which a request key is accepted.
	Retention document.Duration `json:"retention"`
	// StoredAnswerLimit is the largest answer kept for a repeated key, in bytes.
	StoredAnswerLimit int `json:"stored-answer-limit"`
}

// TierRank gives the rank of a tier by name; 0 is the highest.
func (c *Configuration) TierRank(name string) (int, bool) {
	i := slices.IndexFunc(c.Tiers, func(t Tier) bool { return t.Name == name })
	return i, i >= 0
}

// Service gives a service by name.
func (c *Configuration) Service(name string) (*Service, bool) {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i], true
		}
	}
	return nil, false
}

// Endpoint gives the endpoint of that name.
func (s *Service) Endpoint(name string) (Endpoint, bool) {
	for _, e := range s.Endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return Endpoint{}, false
}

// Route gives the service whose prefix is the longest one of the request path,
// and the path that remains.
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

// RuleFor gives the first rule that matches. Without one, GET, HEAD and OPTIONS
// count as idempotent and all else does not, in the lowest tier.
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
	if below, all := strings.CutSuffix(r.Path, "/**"); all {
		return underPrefix(requestPath, below)
	}
	matched, err := path.Match(r.Path, requestPath)
	return err == nil && matched
}

// WithEndpointLeaving gives a copy in which the named endpoint takes no new work.
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

// Deadline gives the time a request of the tier has.
func (c *Configuration) Deadline(rank int) time.Duration { return c.Tiers[rank].Deadline.Std() }
