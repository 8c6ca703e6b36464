package serving

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
	"godwitmoor.example/godwitmoord/pkg/text"
)

// requestRun holds the state of one request from its arrival to its result.
type requestRun struct {
	service  *Service
	request  Request
	relay    relay
	attempts []string
	avoid    []string
	endpoint string
	// endpointBorn is when the endpoint of the current attempt started, in Unix
	// milliseconds; zero if it is not known.
	endpointBorn int64
	// withheld counts the grants that were not used because this host knew better.
	withheld int
	// mayHaveRun is set once an attempt may have run: a byte of the request may
	// have reached an endpoint that did not reject the request.
	mayHaveRun bool
	// runs counts the attempts that may have run.
	runs int
	// errorAnswer is an endpoint's error answer. The caller receives it if no
	// further attempt returns a better one.
	errorAnswer *errorAnswer
	// claimTried is set before the first write of the request's claim. From then
	// on the claim may exist in the store.
	claimTried bool
	// suspensions counts the attempts that were stopped to free their endpoint
	// for a higher tier.
	suspensions int
	// awaitingHead is set while an attempt waits for the head of its answer.
	awaitingHead bool
	// reserved is a permit for another endpoint. It is acquired before an attempt
	// at an unresponsive endpoint is abandoned, and the next attempt uses it.
	reserved *dispatch.Grant
	// queueTime is the total time spent waiting for permits.
	queueTime time.Duration
	// owner is the host that decided on the last ask, estimate the time that it
	// expected the request to take. undecided is set instead if none decided.
	owner     string
	estimate  time.Duration
	undecided *dispatch.UndecidedError
	// slowness is what the last head of an answer said of its endpoint's slowness; zero
	// if it said nothing.
	slowness float64
	// lastSend describes the last attempt that was sent.
	lastSend lastSend
	// heldParts is the key of the parts of the prompt for which the request was refused;
	// empty if it was not.
	heldParts string
}

// lastSend is when an attempt was sent, and for how long endpoints may then have changed
// without the knowledge of this host, and of the owner when it granted the permit.
type lastSend struct {
	at                              time.Time
	endpointsAge, ownerEndpointsAge time.Duration
}

// newAsk returns the request for one more permit. It counts only the answer tokens
// that the caller has not received yet.
func (r *requestRun) newAsk(id string) permit.Ask {
	request := r.request
	repeat := r.runs > 0 || len(r.avoid) > r.withheld
	return permit.Ask{
		ID:           id,
		Request:      request.ID,
		Subject:      request.Subject,
		Parts:        request.Parts,
		Route:        r.comparedRoute(),
		Tier:         request.Rank,
		PromptTokens: request.PromptTokens,
		AnswerTokens: max(request.AnswerTokens-r.relay.position.events, 0),
		Customer:     request.Customer,
		QuotaTokens:  request.QuotaTokens,
		GapGoal:      request.GapGoal,
		Repeat:       repeat,
		Returned:     r.withheld > 0 && !repeat,
		Suspendable:  request.Idempotent && request.Service.Resumes,
		Suspensions:  r.suspensions,
		Begun:        r.relay.headSent || r.suspensions > 0,
		Avoid:        r.avoid,
	}
}

// refusalOutcome returns the outcome that a refusal may report: NotRun is certain
// only while no attempt may have run.
func (r *requestRun) refusalOutcome() text.Outcome {
	if r.mayHaveRun {
		return text.Unknown
	}
	return text.NotRun
}

// acquire returns the permit for the next attempt: the one acquired in advance,
// if any, or a new one that it waits for.
func (r *requestRun) acquire(ctx context.Context) (*dispatch.Grant, Result) {
	if next := r.reserved; next != nil {
		r.reserved = nil
		r.recordGrant(next)
		return next, nil
	}
	deadline := r.request.Deadline
	if r.relay.headSent || r.suspensions > 0 {
		// The caller already reads the answer, or the request was suspended in
		// favour of others. A late answer is better than an incomplete one, so the
		// wait may take the request's whole time once more.
		deadline = time.Now().Add(r.request.Deadline.Sub(r.request.Arrived))
	}
	askedAt := time.Now()
	grant, err := r.ask(ctx, deadline)
	if errors.Is(err, context.Canceled) && ctx.Err() == nil {
		// The host began to stop. The owner must know that there is less time.
		grant, err = r.ask(ctx, deadline)
	}
	r.queueTime += time.Since(askedAt)
	if err == nil {
		r.recordGrant(grant)
		return grant, nil
	}
	errors.As(err, &r.undecided)
	return nil, r.unpermittedResult(err, deadline)
}

// ask asks the owner for a permit, under a new id, and waits for it until the deadline or
// until this host's stop leaves less time than that. The error is context.Canceled if a
// stop that begins meanwhile does.
func (r *requestRun) ask(ctx context.Context, deadline time.Time) (*dispatch.Grant, error) {
	id := uuid.NewString()
	r.attempts = append(r.attempts, id)
	stop := r.service.stop
	limited := stop.limit(deadline)
	ctx, cancel := context.WithDeadline(ctx, limited)
	defer cancel()
	if limited.Equal(deadline) {
		unregister := context.AfterFunc(stop.begun, func() {
			if stop.shortens(deadline) {
				cancel()
			}
		})
		defer unregister()
	}
	return r.service.entry.Acquire(ctx, r.request.Service.Name, r.newAsk(id), r.times(limited))
}

// unpermittedResult returns the result of a request that got no permit until its
// deadline.
func (r *requestRun) unpermittedResult(err error, deadline time.Time) Result {
	if r.relay.headSent {
		return Broken{Reason: text.AnswerLost}
	}
	reason, retryAfter := permit.TooLate, time.Second
	var rejection *dispatch.RefusedError
	if errors.As(err, &rejection) {
		reason, retryAfter = rejection.Reason, rejection.RetryAfter
		r.heldParts, r.owner = rejection.Held, rejection.Owner
	}
	if lacksTime(reason) && r.service.stop.shortens(deadline) {
		return r.stopResult()
	}
	return Refused{Outcome: r.refusalOutcome(), Reason: refusalReason(reason), RetryAfter: retryAfter}
}

// recordGrant records the permit that the next attempt uses.
func (r *requestRun) recordGrant(grant *dispatch.Grant) {
	r.endpoint = grant.Permit.Endpoint
	r.owner, r.estimate, r.undecided = grant.Owner(), grant.Estimate, nil
}

// times returns the points in time that the owner schedules the request by.
func (r *requestRun) times(deadline time.Time) dispatch.Times {
	t := dispatch.Times{Deadline: deadline}
	if r.relay.headSent {
		return t
	}
	if r.request.Goal > 0 {
		t.Goal = r.request.Arrived.Add(r.request.Goal)
	}
	if r.request.Patience > 0 {
		t.Patience = r.request.Arrived.Add(r.request.Patience)
	}
	return t
}

// refusalReason maps the reason of an owner's refusal to the one that the caller
// reads.
func refusalReason(reason permit.Reason) text.Reason {
	switch reason {
	case permit.OverQuota:
		return text.OverQuota
	case permit.NoRepeat:
		return text.NoEndpoint
	case permit.QueueFull, permit.Crowded:
		return text.QueueFull
	case permit.AllPaused:
		return text.AllPaused
	case permit.OwnerLate:
		return text.OwnerLate
	case permit.OwnerSilent:
		return text.OwnerSilent
	case permit.Displaced:
		return text.Displaced
	case permit.Held:
		return text.CrashesEndpoints
	default:
		return text.Deadline
	}
}
