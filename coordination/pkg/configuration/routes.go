package configuration

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"godwitmoor.example/coordination/pkg/document"
)

// Repeat says how often a request may run.
type Repeat string

// The ways to repeat a request.
const (
	// Freely lets a request run more than once.
	Freely Repeat = "freely"
	// Never lets a request run once at most.
	Never Repeat = "never"
	// Resumed lets a stream go on at another endpoint where it stopped.
	Resumed Repeat = "resumed"
)

// Route leads the requests of one host name and path prefix to a service. The
// path goes to the endpoint unchanged.
type Route struct {
	// Name is the route's name in records.
	Name string `json:"name"`
	// Host is the name that callers send as Host, without a port.
	Host string `json:"host"`
	// Prefix is the start of the path, from slash to slash.
	Prefix string `json:"prefix"`
	// Targets are the services, by share.
	Targets []Target `json:"targets"`
	// Repeat is "freely", "never" or "resumed".
	Repeat Repeat `json:"repeat"`
	// Streams says that answers are streams of server-sent events.
	Streams bool `json:"streams,omitempty"`
	// Timeout bounds the time of a request.
	Timeout document.Duration `json:"timeout"`
	// Goal is the time in which an answer, or its first event, is wanted.
	Goal document.Duration `json:"goal"`
	// GapGoal is the longest pause wanted between two events.
	GapGoal document.Duration `json:"gap-goal,omitempty"`
	// MaxAttempts bounds the endpoints that one request may run at.
	MaxAttempts int `json:"max-attempts"`
	// Rank is the rank of its requests; 0 is the highest.
	Rank int `json:"rank"`
	// Anonymous routes take requests of no customer.
	Anonymous bool `json:"anonymous,omitempty"`
}

// Target is a service and its share of a route's requests.
type Target struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Quota bounds what a customer may send in all, in tokens. The zero Quota does
// not bound anything.
type Quota struct {
	// PerSecond is the rate, in tokens/s.
	PerSecond float64 `json:"per-second"`
	// Burst is what may come at once beyond the rate, in tokens.
	Burst float64 `json:"burst"`
	// PlainTokens is what a request counts that does not tell its tokens.
	PlainTokens int `json:"plain-tokens"`
}

// Bounded tells whether there is a bound.
func (q Quota) Bounded() bool { return q.PerSecond > 0 }

// ServiceFor gives the service of one request of the route. The same id always
// gives the same service.
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

// Index finds routes and customers. Make it with NewIndex.
type Index struct {
	// routes are by host name and by prefix.
	routes    map[string]map[string]*Route
	customers map[string]*Customer
}

// NewIndex makes the index of a configuration, which must not change after.
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

// Route gives the route with the longest prefix of the path.
func (x *Index) Route(host, path string) (*Route, bool) {
	prefixes := x.routes[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r, true
		}
	}
	return nil, false
}

// Customer gives the customer who holds a key.
func (x *Index) Customer(key string) (*Customer, bool) {
	c, known := x.customers[key]
	return c, known
}

// WithEndpoints gives a copy whose services have the endpoints found, by
// service, and whose tiers fit the ranks in use. Nil leaves the endpoints.
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

// TierCount gives the number of ranks of requests: that of the tiers, or of the
// ranks that routes name.
func (c *Configuration) TierCount() int {
	count := len(c.Tiers)
	for _, r := range c.Routes {
		count = max(count, r.Rank+1)
	}
	return count
}
