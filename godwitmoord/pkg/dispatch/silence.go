package dispatch

import (
	"context"
	"time"

	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
)

const (
	// silentRetryAfter is the wait advised to a caller whose request no owner took up:
	// by then the service has another owner, or the owner has caught up.
	silentRetryAfter = 500 * time.Millisecond
	// silenceShare is the share of its caller's patience for which a request without a
	// goal ahead waits for a word of its owner.
	silenceShare = 0.5
)

// silenceBound returns until when an ask waits for a word of its owner: until its goal,
// or for half of its caller's patience if that is over. False means that only the
// deadline bounds it.
func (t Times) silenceBound(now time.Time) (until time.Time, bounded bool) {
	switch {
	case t.Goal.After(now):
		return t.Goal, true
	case !t.Patience.IsZero():
		return now.Add(time.Duration(silenceShare * float64(t.Patience.Sub(now)))), true
	default:
		return time.Time{}, false
	}
}

// awaitDecision waits for the decision on an ask. Without any word of an owner until the
// bound of silence it refuses the request, which then has not run and will not: a grant
// that comes later is returned.
func (e *Entry) awaitDecision(ctx context.Context, p *pendingAsk) (*Grant, error) {
	var silence <-chan time.Time
	if until, bounded := p.times.silenceBound(time.Now()); bounded {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		silence = timer.C
	}
	for {
		select {
		case a := <-p.result:
			return a.unpack()
		case <-ctx.Done():
			return nil, e.cancelAsk(p, ctx.Err())
		case <-silence:
		}
		if e.isQueued(p) {
			silence = nil
			continue
		}
		if a, decided := e.withdraw(p); decided {
			return a.unpack()
		}
		e.common.Count("entry.asks.silent")
		return nil, &RefusedError{Reason: permit.OwnerSilent, RetryAfter: silentRetryAfter, Owner: e.ownerAsked(p)}
	}
}

// unpack returns the grant or the refusal of a result.
func (a askResult) unpack() (*Grant, error) {
	if a.refused != nil {
		return nil, a.refused
	}
	return a.grant, nil
}

// ownerAsked returns the host that an ask was sent to last.
func (e *Entry) ownerAsked(p *pendingAsk) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return p.owner
}

// isQueued reports whether the owner said that an ask waits for a slot.
func (e *Entry) isQueued(p *pendingAsk) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return p.queued
}

// markReceived records that the owner of an ask has it.
func (e *Entry) markReceived(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.waiting[id]; p != nil {
		p.received = true
	}
}

// markAsks records that an owner said that asks wait for a slot, or that it does not
// know the service of one. The caller holds e.mu.
func (e *Entry) markAsks(from host.Identity, m ownerMessage) {
	if p := e.waiting[m.ID]; p != nil && m.Unknown && p.owner == from.Name {
		p.received = false
	}
	for _, id := range m.Queued {
		if p := e.waiting[id]; p != nil && p.owner == from.Name {
			p.received, p.queued = true, true
		}
	}
}

// HostLost makes the asks that an ended incarnation of a host had be sent again.
func (e *Entry) HostLost(incarnation host.Identity) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.waiting {
		if p.owner == incarnation.Name {
			p.received, p.resendAfter = false, 0
		}
	}
}
