package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

const (
	// ownerCheckInterval is how often the entry checks for a change of owners.
	ownerCheckInterval = 100 * time.Millisecond
	// minResendDelay is how long an ask may stay unanswered before it is sent again,
	// in case a message was lost. The wait doubles at each resend, up to
	// maxResendDelay.
	minResendDelay = time.Second
	maxResendDelay = 16 * time.Second
	// listInterval is how often the entry sends each owner the list of permits that
	// it holds.
	listInterval = 2 * time.Second
)

// Times holds when the parts of an answer are due and when the caller gives up.
type Times struct {
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// Goal is when the first part of the answer is wanted. Patience is when the
	// caller gives up if it has received nothing. Zero means not set.
	Goal, Patience time.Time
}

// timeUntil returns the time left until at, or zero if at is not set.
func timeUntil(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return time.Until(at)
}

// RefusedError reports that the owner refused an ask.
type RefusedError struct {
	Reason     permit.Reason
	RetryAfter time.Duration
	// Held is the key of the parts for which the request is held; empty for other
	// reasons.
	Held string
	// Owner is the host that refused.
	Owner string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("the owner refused a permit (%s); retry in %v", e.Reason, e.RetryAfter)
}

// UndecidedError reports that the caller's context ended before an owner decided.
type UndecidedError struct {
	// Owner is the host that was asked last, and Sends how many times the ask was
	// sent, to any owner.
	Owner string
	Sends int
	Cause error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("no decision of owner %s after %d messages: %v", e.Owner, e.Sends, e.Cause)
}

func (e *UndecidedError) Unwrap() error { return e.Cause }

// Entry asks owners for permits for the requests that this host has accepted from
// callers.
type Entry struct {
	common     *common.Common
	members    *membership.Service
	localOwner *Owner
	outbox     peer.Outbox
	ctx        context.Context

	mu      sync.Mutex
	waiting map[string]*pendingAsk
	held    map[string]*Grant
	// lastOwner is the last known owner of each service for which this host has had
	// asks or permits.
	lastOwner map[string]string
	lastList  time.Time
	// rates holds the learned rates that owners sent, by service and endpoint. The
	// entry forwards them to a new owner.
	rates map[string]map[string]permit.LearnedRates
	// limits holds the limits that endpoints name, by service and endpoint.
	limits map[string]map[string]permit.RateLimit
	// pauses holds the pauses that endpoints want from this host, by endpoint.
	pauses map[string]wantedPause
	// slownesses holds the unusual slowness that endpoints stated last, by endpoint.
	slownesses map[string]statedSlowness
	// expensive holds the names of the data centres to which the path was expensive when it
	// was logged last, separated by spaces, by service.
	expensive map[string]string
	// warnings holds what owners learned about parts of prompts, by service.
	warnings map[string]*warnings
}

// pendingAsk is an ask that the owner has not decided yet.
type pendingAsk struct {
	service     string
	ask         permit.Ask
	times       Times
	sentAt      time.Time
	resendAfter time.Duration
	owner       string
	sends       int
	// received is set once the owner is known to have the ask, queued once it said that
	// the ask waits for a slot.
	received, queued bool
	result           chan askResult
}

// askResult is the decision on an ask: either a grant or a refusal.
type askResult struct {
	grant   *Grant
	refused *RefusedError
}

// NewEntry creates an Entry without any asks or permits; Start looks up its
// dependencies.
func NewEntry(c *common.Common) *Entry {
	return &Entry{
		common:    c,
		waiting:   map[string]*pendingAsk{},
		held:      map[string]*Grant{},
		lastOwner: map[string]string{},
		rates:     map[string]map[string]permit.LearnedRates{},
		limits:    map[string]map[string]permit.RateLimit{},
		pauses:    map[string]wantedPause{},
		warnings:  map[string]*warnings{},

		slownesses: map[string]statedSlowness{},
		expensive:  map[string]string{},
	}
}

// Start begins to handle decisions and to check for changes of owners.
func (e *Entry) Start(ctx context.Context) error {
	var err error
	if e.members, err = kernel.Lookup[*membership.Service](e.common.Kernel, kernel.Membership); err != nil {
		return err
	}
	if e.localOwner, err = kernel.Lookup[*Owner](e.common.Kernel, kernel.Owner); err != nil {
		return err
	}
	peers, err := kernel.Lookup[*peer.Service](e.common.Kernel, kernel.Peer)
	if err != nil {
		return err
	}
	e.ctx = ctx
	e.outbox = peer.Outbox{TargetService: kernel.Owner, Service: peers, Address: e.members.Address, OnUnreachable: e.members.Avoid}
	e.localOwner.deliverLocal = e.handle
	peers.Handle(kernel.Dispatch, peer.Inbox(e.receive))
	go e.run(ctx)
	return nil
}

// Stop does nothing: the goroutines end with the context of Start.
func (e *Entry) Stop(context.Context) error { return nil }

// Acquire asks the owner of a service for a permit and waits for the decision until
// ctx ends. The error is a *RefusedError or an *UndecidedError; in both cases the
// request holds no permit.
func (e *Entry) Acquire(ctx context.Context, service string, ask permit.Ask, times Times) (*Grant, error) {
	if refused := e.checkHeld(service, ask); refused != nil {
		return nil, refused
	}
	grant, err := e.awaitGrant(ctx, service, ask, times)
	if err != nil {
		return nil, err
	}
	if refused := e.checkHeld(service, ask); refused != nil {
		// An owner that does not know yet granted the permit.
		grant.Unused()
		return nil, refused
	}
	return grant, nil
}

// checkHeld returns the refusal of a request with a held part, or nil.
func (e *Entry) checkHeld(service string, ask permit.Ask) *RefusedError {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.warnings[service].check(ask)
}

// awaitGrant sends the ask and waits for its decision.
func (e *Entry) awaitGrant(ctx context.Context, service string, ask permit.Ask, times Times) (*Grant, error) {
	p := &pendingAsk{service: service, ask: ask, times: times, result: make(chan askResult, 1)}
	e.mu.Lock()
	e.waiting[ask.ID] = p
	e.mu.Unlock()
	e.sendAsk(p, e.ownerOf(service))
	return e.awaitDecision(ctx, p)
}

// cancelAsk withdraws an ask whose context ended with cause, and returns the error
// that Acquire returns for it.
func (e *Entry) cancelAsk(p *pendingAsk, cause error) error {
	if a, decided := e.withdraw(p); decided && a.grant != nil {
		// The grant arrived at the moment when ctx ended.
		a.grant.Unused()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return &UndecidedError{Owner: p.owner, Sends: p.sends, Cause: cause}
}

// withdraw ends an ask, and returns its decision if that arrived meanwhile.
func (e *Entry) withdraw(p *pendingAsk) (result askResult, decided bool) {
	e.mu.Lock()
	delete(e.waiting, p.ask.ID)
	owner := p.owner
	e.mu.Unlock()
	select {
	case result = <-p.result:
		return result, true
	default:
		e.send(owner, entryMessage{Kind: withdrawKind, Service: p.service, ID: p.ask.ID})
		return result, false
	}
}

func (e *Entry) ownerOf(service string) string { return e.members.OwnerOf(service) }

func (e *Entry) sendAsk(p *pendingAsk, owner string) {
	e.mu.Lock()
	if p.owner == owner {
		e.common.Count("entry.asks.resent")
	} else {
		p.resendAfter = 0
	}
	p.owner = owner
	p.sentAt = time.Now()
	p.sends++
	p.received, p.queued = false, false
	p.resendAfter = min(max(2*p.resendAfter, minResendDelay), maxResendDelay)
	e.mu.Unlock()
	ask := p.ask
	e.send(owner, entryMessage{
		Kind:     askKind,
		Service:  p.service,
		Ask:      &ask,
		Budget:   time.Until(p.times.Deadline),
		Goal:     timeUntil(p.times.Goal),
		Patience: timeUntil(p.times.Patience),
	})
}

func (e *Entry) send(owner string, m entryMessage) {
	if owner != e.common.Self.Name {
		if !e.outbox.Send(e.ctx, owner, m) {
			e.common.Count("entry.messages.dropped")
		}
		return
	}
	if err := e.localOwner.handle(e.common.Self, m); err != nil {
		e.common.Count("entry.messages.refused")
		return
	}
	if m.Kind == askKind {
		e.markReceived(m.Ask.ID)
	}
}

// run sends the list of held permits and the learned rates to each new owner, sends
// asks again whose owner changed or did not decide in time, and every listInterval
// sends all owners their lists.
func (e *Entry) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(ownerCheckInterval):
		}
		for _, service := range e.servicesWithNewOwner() {
			e.sendFullList(service)
		}
		for _, p := range e.asksToResend() {
			e.sendAsk(p, e.ownerOf(p.service))
		}
		if time.Since(e.lastList) > listInterval {
			e.lastList = time.Now()
			e.sendLists()
		}
	}
}
