package configuration

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"godwitmoor.example/coordination/pkg/document"
)

// Repeat controls whether a request may run more than once.
type Repeat string

// The values of Repeat.
const (
	// Freely allows a request to run more than once.
	Freely Repeat = "freely"
	// Never allows a request to run at most once.
	Never Repeat = "never"
	// Resumed allows a stream that broke off to continue at another endpoint, from
	// the event at which it stopped.
	Resumed Repeat = "resumed"
)

// Route maps the requests of one host name and path prefix to services. The path
// goes to the endpoint unchanged.
type Route struct {
	// Name is the route's name in records.
	Name string `json:"name"`
	// Host is the host name that callers send in the Host header, without a port.
	Host string `json:"host"`
	// Prefix is the start of the path; it begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Targets are the services that share the route's requests, by weight.
	Targets []Target `json:"targets"`
	// Repeat is "freely" (a request may run more than once), "never" (at most
	// once) or "resumed" (a stream may continue at another endpoint).
	Repeat Repeat `json:"repeat"`
	// Streams is set if answers are streams of server-sent events.
	Streams bool `json:"streams,omitempty"`
	// Timeout is the time limit of a request.
	Timeout document.Duration `json:"timeout"`
	// Goal is the time within which an answer, or its first event, should arrive.
	Goal document.Duration `json:"goal"`
	// GapGoal is the longest pause that should occur between two events.
	GapGoal document.Duration `json:"gap-goal,omitempty"`
	// MaxAttempts bounds the number of endpoints at which one request may run.
	MaxAttempts int `json:"max-attempts"`
	// Rank is the rank of the route's requests; 0 is the highest.
	Rank int `json:"rank"`
	// Anonymous is set if the route accepts requests without a customer's key.
	Anonymous bool `json:"anonymous,omitempty"`
}

// Target is a service and its share of a route's requests. A service's share is
// its weight divided by the sum of the weights of the route's targets.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Quota limits the tokens that a customer may request over all services. The
// zero Quota sets no limit.
type Quota struct {
	// PerSecond is the sustained rate, in tokens/s.
	PerSecond float64 `json:"per-second"`
	// Burst is the number of tokens allowed at once beyond the rate.
	Burst float64 `json:"burst"`
	// PlainTokens is the number of tokens charged for a request that does not
	// state its token counts.
	PlainTokens int `json:"plain-tokens"`
}

// Bounded reports whether the quota sets a limit.
func (q Quota) Bounded() bool { return q.PerSecond > 0 }

// ServiceFor returns the target service for a request id, chosen by weight. It
// returns the same service for the same id every time.
func (r *Route) ServiceFor(id string) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	const scale = 1 << 32
	point := float64(xxhash.Sum64String(id)%scale) / scale * total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Index looks up routes by host name and path, and customers by key. Create it
// with NewIndex.
type Index struct {
	// routes maps host name and prefix to a route.
	routes    map[string]map[string]*Route
	customers map[string]*Customer
}

// NewIndex returns the index of a configuration, which must not change afterwards.
func NewIndex(c *Configuration) *Index {
	x := &Index{routes: map[string]map[string]*Route{}, customers: map[string]*Customer{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		if x.routes[r.Host] == nil {
			x.routes[r.Host] = map[string]*Route{}
		}
		x.routes[r.Host][r.Prefix] = r
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			x.customers[key] = &c.Customers[i]
		}
	}
	return x
}

// Route returns the route of the host with the longest prefix that matches the
// path.
func (x *Index) Route(host, path string) (*Route, bool) {
	prefixes := x.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r, true
		}
	}
	return nil, false
}

// Customer returns the customer that the key belongs to.
func (x *Index) Customer(key string) (*Customer, bool) {
	c, known := x.customers[key]
	return c, known
}

// WithEndpoints returns a copy in which each service has the endpoints found for
// it, by service name. With nil, the configuration is returned unchanged.
func (c Configuration) WithEndpoints(found map[string][]Endpoint) Configuration {
	if found == nil {
		return c
	}
	services := make([]Service, len(c.Services))
	for i, s := range c.Services {
		s.Endpoints = found[s.Name]
		services[i] = s
	}
	c.Services = services
	return c
}
