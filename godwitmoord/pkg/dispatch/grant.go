package dispatch

import (
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

// Grant is a permit as its entry holds it. Give it back with Done or Unused.
type Grant struct {
	Permit permit.Permit
	// Address is where the owner knows the endpoint to be; empty if it does not.
	Address  string
	Estimate time.Duration
	// Teach asks for Progressed with the first part of the answer.
	Teach   bool
	entry   *Entry
	service string
	owner   string
	// stop ends the attempt when the owner wants the place for a higher tier;
	// told is set when it does.
	stop func()
	told bool
}

// Owner gives the host that granted the permit.
func (g *Grant) Owner() string { return g.owner }

// OnSuspended sets what stops the attempt when a higher tier needs its place.
func (g *Grant) OnSuspended(stop func()) {
	g.entry.mu.Lock()
	g.stop = stop
	told := g.told
	g.entry.mu.Unlock()
	if told {
		stop()
	}
}

// Done gives a used permit back, with what the request took.
func (g *Grant) Done(usage permit.Usage) {
	g.giveBack(entryMessage{Kind: finishKind, Service: g.service, ID: g.Permit.ID, Usage: &usage})
}

// Unused gives a permit back that no request was sent with.
func (g *Grant) Unused() {
	g.giveBack(entryMessage{Kind: withdrawKind, Service: g.service, ID: g.Permit.ID})
}

// Failed gives a permit back whose endpoint did not answer as it should.
func (g *Grant) Failed(fault permit.Fault) {
	g.giveBack(entryMessage{Kind: failKind, Service: g.service, ID: g.Permit.ID, Fault: fault})
}

// Progressed tells what a request took until the first part of its answer.
func (g *Grant) Progressed(usage permit.Usage) {
	g.entry.send(g.owner, entryMessage{Kind: progressKind, Service: g.service, ID: g.Permit.ID, Usage: &usage})
}

// Stalled tells that the endpoint has been silent for longer than it should. The
// permit is still held.
func (g *Grant) Stalled() {
	g.entry.send(g.owner, entryMessage{Kind: stallKind, Service: g.service, ID: g.Permit.ID})
}

func (g *Grant) giveBack(m entryMessage) {
	e := g.entry
	e.mu.Lock()
	delete(e.held, g.Permit.ID)
	e.mu.Unlock()
	e.send(g.owner, m)
	// A new owner that heard of the permit from the list waits for its end too.
	if current := e.ownerOf(g.service); current != g.owner {
		e.send(current, m)
	}
}
