package dispatch

import (
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
)

// Grant is a permit that the entry holds. Every grant must be returned with Done,
// Unused or Failed.
type Grant struct {
	Permit permit.Permit
	// Address is the endpoint's address according to the owner; empty if the owner
	// does not have it.
	Address string
	// Born is when the endpoint started according to the owner, in Unix milliseconds;
	// zero if it is not known.
	Born int64
	// Estimate is how long the owner expects the request to take at the endpoint.
	Estimate time.Duration
	// ReportFirstPart requests a call of Progressed when the first part of the answer
	// arrives.
	ReportFirstPart bool
	// EndpointsAge is for how long endpoints may have changed without the knowledge of
	// the owner when it granted the permit; zero if they are not discovered.
	EndpointsAge time.Duration
	entry        *Entry
	service      string
	suspect      permit.Suspect
	// limit is the limit of the endpoint that the owner knew of at the grant; nil if none.
	limit *permit.RateLimit
	// knownSlowness is the endpoint's slowness that the owner knows, from the grant or from
	// a report of this permit; zero if it knows none. slowness is what the head of the last
	// answer stated.
	knownSlowness, slowness float64
	owner                   string
	// stop cancels the attempt when the owner suspends the permit for a request of
	// a higher tier; suspended is set when the owner has done so.
	stop      func()
	suspended bool
}

// Owner returns the name of the host that granted the permit.
func (g *Grant) Owner() string { return g.owner }

// OnSuspended sets the function that cancels the attempt when the owner suspends the
// permit for a request of a higher tier. It calls stop at once if the owner has
// already done so.
func (g *Grant) OnSuspended(stop func()) {
	g.entry.mu.Lock()
	g.stop = stop
	suspended := g.suspended
	g.entry.mu.Unlock()
	if suspended {
		stop()
	}
}

// Done returns a permit whose request completed, with the tokens and times of the
// request.
func (g *Grant) Done(usage permit.Usage) {
	usage.Slowness = g.slownessOfAnswer()
	g.release(entryMessage{Kind: finishKind, Service: g.service, ID: g.Permit.ID, Usage: &usage})
}

// Unused returns a permit whose request was not sent or whose caller went away.
func (g *Grant) Unused() {
	g.release(entryMessage{Kind: withdrawKind, Service: g.service, ID: g.Permit.ID})
}

// Failed returns a permit whose endpoint failed the request. begun says whether the
// endpoint had begun a successful answer.
func (g *Grant) Failed(fault permit.Fault, begun bool) {
	m := entryMessage{Kind: failKind, Service: g.service, ID: g.Permit.ID, Fault: fault, Begun: begun}
	if fault == permit.Disconnected && !begun {
		m.Suspect = &g.suspect
	}
	g.release(m)
}

// Progressed reports to the owner how long the first part of the answer took. The
// permit is still held.
func (g *Grant) Progressed(usage permit.Usage) {
	usage.Slowness = g.slownessOfAnswer()
	g.entry.send(g.owner, entryMessage{Kind: progressKind, Service: g.service, ID: g.Permit.ID, Usage: &usage, Slowness: g.latestSlowness()})
}

// ReportLimit reports to the owner what an answer says of the endpoint's limit, unless the
// owner knows.
func (g *Grant) ReportLimit(named bool, perSecond float64) {
	limit := permit.RateLimit{Endpoint: g.Permit.Endpoint, Named: named, PerSecond: perSecond}
	e := g.entry
	e.mu.Lock()
	e.storeLimit(g.service, limit)
	known := limit.IsKnown(g.limit)
	e.mu.Unlock()
	if known {
		return
	}
	e.common.Count("entry.limits.reported")
	g.sendToOwners(entryMessage{Kind: limitKind, Service: g.service, Limits: []permit.RateLimit{limit}})
}

// ReportPause reports to the owner, and remembers for this host, that the endpoint
// wants no request from this host for a time.
func (g *Grant) ReportPause(pause time.Duration) {
	e := g.entry
	e.mu.Lock()
	until := later(e.pauses[g.Permit.Endpoint].until, time.Now().Add(pause))
	e.pauses[g.Permit.Endpoint] = wantedPause{service: g.service, until: until}
	e.mu.Unlock()
	e.common.Count("entry.pauses.reported")
	e.common.Log.Info("endpoint wants a pause", zap.String("endpoint", g.Permit.Endpoint), zap.Duration("pause", pause))
	g.sendPause(pause)
}

// PauseLeft returns how long the endpoint still wants no request from this host. If it
// does, it tells the owner again, which did not know.
func (g *Grant) PauseLeft() time.Duration {
	g.entry.mu.Lock()
	left := time.Until(g.entry.pauses[g.Permit.Endpoint].until)
	g.entry.mu.Unlock()
	if left > 0 {
		g.sendPause(left)
	}
	return max(left, 0)
}

func (g *Grant) sendPause(pause time.Duration) {
	pauses := []permit.Pause{{Endpoint: g.Permit.Endpoint, Left: pause}}
	g.sendToOwners(entryMessage{Kind: pauseKind, Service: g.service, Pauses: pauses})
}

// wantedPause says until when an endpoint of a service wants no request from this host.
type wantedPause struct {
	service string
	until   time.Time
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Stalled reports to the owner that the endpoint has sent no data for longer than
// expected. The permit is still held.
func (g *Grant) Stalled() {
	g.entry.send(g.owner, entryMessage{Kind: stallKind, Service: g.service, ID: g.Permit.ID})
}

func (g *Grant) release(m entryMessage) {
	e := g.entry
	e.mu.Lock()
	delete(e.held, g.Permit.ID)
	e.mu.Unlock()
	m.Slowness = g.latestSlowness()
	g.sendToOwners(m)
}

// sendToOwners sends a message to the owner that granted the permit, and to a new one:
// that one may count the permit because a list named it.
func (g *Grant) sendToOwners(m entryMessage) {
	g.entry.send(g.owner, m)
	if current := g.entry.ownerOf(g.service); current != g.owner {
		g.entry.send(current, m)
	}
}
