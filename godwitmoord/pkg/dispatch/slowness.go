package dispatch

import (
	"maps"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
)

// slowdownLogInterval is how often the owner of a service logs that endpoints are slow.
const slowdownLogInterval = 5 * time.Second

// slownessReport is what an entry reports of the slowness of an endpoint.
type slownessReport struct {
	Endpoint string  `cbor:"1,keyasint"`
	Value    float64 `cbor:"2,keyasint"`
	// Age is how long before the message was created the answer arrived that said so.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

func (r *slownessReport) event(now permit.Instant) permit.Event {
	return permit.Slowed{At: now, Endpoint: r.Endpoint, Slowness: r.Value, Age: r.Age}
}

// statedSlowness is a slowness that an endpoint stated, and when its answer arrived.
type statedSlowness struct {
	value float64
	at    time.Time
}

// storeSlowness stores what an endpoint says of its slowness if that is unusual, and
// drops what is too old to be of use. The caller holds e.mu.
func (e *Entry) storeSlowness(endpoint string, value float64) {
	delete(e.slownesses, endpoint)
	if !permit.IsUnusual(value) {
		return
	}
	maps.DeleteFunc(e.slownesses, func(_ string, stated statedSlowness) bool { return stated.isOld() })
	e.slownesses[endpoint] = statedSlowness{value: value, at: time.Now()}
}

func (s statedSlowness) isOld() bool { return time.Since(s.at) >= permit.SlownessSpan }

// ReportSlowness records what an answer says of the slowness of its endpoint. It sends a
// message to the owner only if that differs from what the owner knew at the grant, or from
// what this permit reported since. Other values reach the owner with the message that ends
// the permit.
func (g *Grant) ReportSlowness(value float64) {
	e := g.entry
	e.mu.Lock()
	e.storeSlowness(g.Permit.Endpoint, value)
	differs := permit.SlownessDiffers(g.knownSlowness, value)
	if differs {
		g.knownSlowness = value
	}
	g.slowness = value
	e.mu.Unlock()
	if !differs {
		return
	}
	e.common.Count("entry.loads.reported")
	g.sendToOwners(entryMessage{
		Kind: slownessKind, Service: g.service, Slowness: &slownessReport{Endpoint: g.Permit.Endpoint, Value: value},
	})
}

// slownessOfAnswer returns what the answer said of its endpoint's slowness, or zero if it
// said nothing or named the usual one.
func (g *Grant) slownessOfAnswer() float64 {
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	if !permit.IsUnusual(g.slowness) {
		return 0
	}
	return g.slowness
}

// latestSlowness returns the last slowness that the endpoint stated to this host in any
// answer, to be added to a message that is sent anyway. It is nil if that was the usual one,
// or is too old to be of use.
func (g *Grant) latestSlowness() *slownessReport {
	g.entry.mu.Lock()
	defer g.entry.mu.Unlock()
	stated, known := g.entry.slownesses[g.Permit.Endpoint]
	if !known || stated.isOld() {
		return nil
	}
	return &slownessReport{Endpoint: g.Permit.Endpoint, Value: stated.value, Age: time.Since(stated.at)}
}

// slowdowns summarises the reports of slow endpoints of a service for the log. The zero
// value has no reports.
type slowdowns struct {
	loggedAt time.Time
	// endpoints holds the endpoints that were slow since the last log line, slowest is the
	// report of the slowest one, and reports the number of reports.
	endpoints map[string]bool
	slowest   permit.Slowed
	reports   int
}

// observe counts a report, and returns whether a log line about slow endpoints is due.
func (s *slowdowns) observe(report permit.Slowed) bool {
	s.reports++
	if report.Slowness > 1 && permit.IsUnusual(report.Slowness) {
		if s.endpoints == nil {
			s.endpoints = map[string]bool{}
		}
		s.endpoints[report.Endpoint] = true
	}
	if report.Slowness > s.slowest.Slowness {
		s.slowest = report
	}
	return len(s.endpoints) > 0 && time.Since(s.loggedAt) >= slowdownLogInterval
}

// observeSlowness counts and logs what endpoints say of their slowness.
func (s *serviceOwner) observeSlowness(event permit.Event) {
	report, isReport := event.(permit.Slowed)
	if !isReport {
		return
	}
	s.owner.common.Count("owner.loads.heard")
	if !s.slowdowns.observe(report) {
		return
	}
	s.owner.common.Log.Info("endpoints work slowly", zap.String("service", s.service),
		zap.Int("endpoints", len(s.slowdowns.endpoints)), zap.Int("reports", s.slowdowns.reports),
		zap.String("slowest", s.slowdowns.slowest.Endpoint), zap.Float64("slowness", s.slowdowns.slowest.Slowness))
	s.slowdowns = slowdowns{loggedAt: time.Now()}
}
