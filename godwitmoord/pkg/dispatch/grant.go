package dispatch

import (
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

// Grant is a permit that the entry holds. Every grant must be returned with Done,
// Unused or Failed.
type Grant struct {
	Permit permit.Permit
	// Address is the endpoint's address according to the owner; empty if the owner
	// does not have it.
	Address string
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
	owner string
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
	g.entry.send(g.owner, entryMessage{Kind: progressKind, Service: g.service, ID: g.Permit.ID, Usage: &usage})
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
