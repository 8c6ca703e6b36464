package dispatch

import (
	"github.com/fxamacker/cbor/v2"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

// receive decodes and handles one decision from an owner on another host.
func (e *Entry) receive(from host.Identity, message []byte) error {
	var m ownerMessage
	if err := cbor.Unmarshal(message, &m); err != nil || (m.ID == "" && m.Warning == nil && len(m.Queued) == 0) {
		return &peer.RefusedError{Reason: "message of an owner is malformed, or has neither IDs nor a warning"}
	}
	e.handle(from, m)
	return nil
}

func (e *Entry) handle(from host.Identity, m ownerMessage) {
	e.mu.Lock()
	if m.Warning != nil {
		e.storeWarning(*m.Warning)
		e.mu.Unlock()
		return
	}
	if len(m.Queued) > 0 || m.Unknown {
		e.markAsks(from, m)
		e.mu.Unlock()
		return
	}
	if m.Suspend {
		stop := e.markSuspended(m.ID)
		e.mu.Unlock()
		if stop != nil {
			stop()
		}
		return
	}
	p := e.waiting[m.ID]
	if p == nil {
		held := e.held[m.ID]
		e.mu.Unlock()
		e.returnUnwanted(from, m, held)
		return
	}
	if m.Endpoint == "" && p.owner != from.Name {
		// The refusal is from a former owner; the present owner decides.
		e.mu.Unlock()
		return
	}
	delete(e.waiting, m.ID)
	askedOwner := p.owner
	// Sent under the lock, so that withdraw finds the decision of an ask that no longer
	// waits. There is room for it, as an ask gets one decision.
	p.result <- e.resultOf(p, from, m)
	e.mu.Unlock()
	if askedOwner != from.Name {
		// A former owner granted the permit, so the present owner need not decide any
		// more. It may have got the list of this host before that.
		e.send(askedOwner, entryMessage{Kind: withdrawKind, Service: p.service, ID: m.ID})
		e.send(askedOwner, e.heldList(p.service))
	}
}

// resultOf returns the decision on an ask, and records what a grant tells. The caller
// holds e.mu.
func (e *Entry) resultOf(p *pendingAsk, from host.Identity, m ownerMessage) askResult {
	if m.Endpoint == "" {
		return askResult{refused: &RefusedError{Reason: m.Reason, RetryAfter: m.RetryAfter, Held: m.Held, Owner: from.Name}}
	}
	grant := &Grant{
		Permit:          permit.Permit{ID: m.ID, Endpoint: m.Endpoint, Tier: p.ask.Tier},
		Address:         m.Address,
		Born:            m.Born,
		Estimate:        m.Estimate,
		ReportFirstPart: m.ReportFirstPart,
		EndpointsAge:    m.EndpointsAge,
		entry:           e,
		service:         p.service,
		suspect:         p.ask.Suspect(),
		limit:           m.Limit,
		knownSlowness:   m.Slowness,
		owner:           from.Name,
	}
	e.held[m.ID] = grant
	e.storeRates(p.service, m.Rates)
	if m.Limit != nil {
		e.storeLimit(p.service, *m.Limit)
	}
	return askResult{grant: grant}
}

// markSuspended records that the owner suspends a permit, and returns the function
// that stops its attempt, or nil if there is nothing to stop. The caller holds e.mu.
func (e *Entry) markSuspended(id string) (stop func()) {
	g := e.held[id]
	if g == nil || g.suspended {
		return nil
	}
	g.suspended = true
	return g.stop
}

// returnUnwanted returns a grant for which no request waits. It ignores refusals,
// repeats of a grant that is held, and grants for endpoints that no service lists.
func (e *Entry) returnUnwanted(from host.Identity, m ownerMessage, held *Grant) {
	if m.Endpoint == "" || (held != nil && held.owner == from.Name) {
		return
	}
	e.common.Count("entry.grants.unwanted")
	service, known := e.serviceOf(m.Endpoint)
	if known {
		e.send(from.Name, entryMessage{Kind: withdrawKind, Service: service, ID: m.ID})
	}
}

// serviceOf returns the service that lists an endpoint, and false if none does or
// this host has no configuration yet.
func (e *Entry) serviceOf(endpoint string) (string, bool) {
	current := e.localOwner.release.Current()
	if current == nil {
		return "", false
	}
	for _, s := range current.Configuration.Services {
		if _, listed := s.Endpoint(endpoint); listed {
			return s.Name, true
		}
	}
	return "", false
}
