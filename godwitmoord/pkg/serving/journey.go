package serving

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
	"godwitmoor.example/godwitmoord/pkg/text"
)

// journey holds the state of one request from its arrival to its result.
type journey struct {
	service  *Service
	request  Request
	relay    relay
	attempts []string
	avoid    []string
	endpoint string
	// sent is set once an attempt may have run: a byte of the request may have
	// reached an endpoint that did not reject the request.
	sent bool
	// runs counts the attempts that may have run.
	runs int
	// failure is an endpoint's error answer. The caller receives it if no further
	// attempt returns a better one.
	failure *failedAnswer
	// claimTried is set before the first write of the request's claim. From then
	// on the claim may exist in the store.
	claimTried bool
	// suspensions counts the attempts that were stopped to free their endpoint
	// for a higher tier.
	suspensions int
	// awaiting is set while an attempt waits for the head of its answer.
	awaiting bool
	// next is a permit for another endpoint. It is acquired before an attempt at
	// an unresponsive endpoint is abandoned, and the next attempt uses it.
	next *dispatch.Grant
	// queued is the total time spent waiting for permits.
	queued time.Duration
	// owner is the host that granted the last permit, estimate the time that it
	// expected the request to take.
	owner    string
	estimate time.Duration
}

// ask returns the request for one more permit. It counts only the answer tokens
// that the caller has not received yet.
func (j *journey) ask(id string) permit.Ask {
	r := j.request
	return permit.Ask{
		ID:           id,
		Request:      r.ID,
		Subject:      r.Subject,
		Tier:         r.Rank,
		PromptTokens: r.PromptTokens,
		AnswerTokens: max(r.AnswerTokens-j.relay.events, 0),
		Customer:     r.Customer,
		QuotaTokens:  r.QuotaTokens,
		GapGoal:      r.GapGoal,
		Repeat:       j.runs > 0 || len(j.avoid) > 0,
		Suspendable:  r.Idempotent && r.Service.Resumes,
		Suspensions:  j.suspensions,
		Begun:        j.relay.begun || j.suspensions > 0,
		Avoid:        j.avoid,
	}
}

// unsent returns the outcome that a refusal may report: NotRun is certain only
// while no attempt may have run.
func (j *journey) unsent() text.Outcome {
	if j.sent {
		return text.Unknown
	}
	return text.NotRun
}

// acquire returns the permit for the next attempt: the one acquired in advance,
// if any, or a new one that it waits for.
func (j *journey) acquire(ctx context.Context) (*dispatch.Grant, Ending) {
	if next := j.next; next != nil {
		j.next = nil
		j.hold(next)
		return next, nil
	}
	deadline := j.request.Deadline
	if j.relay.begun || j.suspensions > 0 {
		// The caller already reads the answer, or the request was suspended in
		// favour of others. A late answer is better than an incomplete one, so the
		// wait may take the request's whole time once more.
		deadline = time.Now().Add(j.request.Deadline.Sub(j.request.Arrived))
	}
	id := uuid.NewString()
	j.attempts = append(j.attempts, id)
	waiting, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	asked := time.Now()
	grant, err := j.service.entry.Acquire(waiting, j.request.Service.Name, j.ask(id), j.times(deadline))
	j.queued += time.Since(asked)
	if err == nil {
		j.hold(grant)
		return grant, nil
	}
	if j.relay.begun {
		return nil, Broken{Reason: text.AnswerLost}
	}
	refused := Refused{Outcome: j.unsent(), Reason: text.Deadline, RetryAfter: time.Second}
	var word *dispatch.RefusedError
	if errors.As(err, &word) {
		refused.Reason = reasonOf(word.Reason)
		refused.RetryAfter = word.RetryAfter
	}
	return nil, refused
}

// hold records the permit that the next attempt uses.
func (j *journey) hold(grant *dispatch.Grant) {
	j.endpoint = grant.Permit.Endpoint
	j.owner, j.estimate = grant.Owner(), grant.Estimate
}

// times returns the points in time that the owner schedules the request by.
func (j *journey) times(deadline time.Time) dispatch.Times {
	t := dispatch.Times{Deadline: deadline}
	if j.relay.begun {
		return t
	}
	if j.request.Goal > 0 {
		t.Goal = j.request.Arrived.Add(j.request.Goal)
	}
	if j.request.Patience > 0 {
		t.Patience = j.request.Arrived.Add(j.request.Patience)
	}
	return t
}

// reasonOf maps the reason of an owner's refusal to the one that the caller reads.
func reasonOf(r permit.Reason) text.Reason {
	switch r {
	case permit.OverQuota:
		return text.OverQuota
	case permit.NoRepeat:
		return text.NoEndpoint
	case permit.QueueFull, permit.Crowded:
		return text.QueueFull
	case permit.Displaced:
		return text.Displaced
	default:
		return text.Deadline
	}
}

// send makes one attempt with a permit and returns the permit afterwards.
func (j *journey) send(ctx context.Context, grant *dispatch.Grant) error {
	address, known := j.address(grant)
	if !known {
		grant.Unused()
		return &attempt.NotSentError{Address: grant.Permit.Endpoint, Cause: errors.New("the endpoint is no longer in the configuration")}
	}
	start, from := time.Now(), j.relay.events
	parcel := j.parcel(ctx, grant)
	j.relay.firstByte = time.Time{}
	j.relay.onFirst = j.teacher(grant, start)
	j.awaiting = true
	answer, err := j.service.sender.Send(ctx, address, parcel)
	j.awaiting = false
	if err != nil {
		if !errors.HasType(err, (*attempt.NotSentError)(nil)) {
			j.sent = true
			j.runs++
		}
		j.giveBack(ctx, grant, err)
		return err
	}
	j.sent = true
	j.runs++
	defer answer.Close()
	var yielded atomic.Bool
	grant.OnSuspended(func() {
		yielded.Store(true)
		answer.Close()
	})
	if j.mayRepeat() && answer.Status >= http.StatusInternalServerError && j.request.Keyless {
		return j.keepFailure(answer, grant, start)
	}
	if j.misleads(answer.Status) {
		grant.Done(permit.Usage{Total: time.Since(start)})
		return &attempt.LostError{Address: address, Cause: errFailed}
	}
	err = j.relay.pass(answer)
	if err != nil && yielded.Load() {
		grant.Unused()
		return errSuspended
	}
	if errors.Is(err, errCallerGone) {
		grant.Unused()
		return err
	}
	if err != nil {
		j.giveBack(ctx, grant, err)
		return err
	}
	grant.Done(j.relay.usage(j.request, start, from))
	return nil
}

// teacher returns a function that reports the first part of the answer to the
// owner, or nil if the owner did not ask for the report.
func (j *journey) teacher(grant *dispatch.Grant, start time.Time) func() {
	if !grant.Teach {
		return nil
	}
	return func() {
		grant.Progressed(permit.Usage{PromptTokens: j.request.PromptTokens, FirstByte: time.Since(start)})
	}
}

// parcel returns the message for the granted endpoint.
func (j *journey) parcel(ctx context.Context, grant *dispatch.Grant) attempt.Parcel {
	parcel := j.request.parcel(grant.Permit.ID, grant.Permit.Endpoint)
	parcel.Order.Offset = j.relay.events
	parcel.Order.LastEvent = j.relay.lastEvent
	parcel.FirstByteTimeout = j.silenceBound(parcel.FirstByteTimeout, grant.Estimate)
	parcel.GapTimeout = j.silenceBound(parcel.GapTimeout, grant.Estimate)
	if j.request.Keyless {
		w := &silenceWatch{journey: j, grant: grant, ctx: ctx}
		parcel.Notice = silenceNotice
		parcel.Silent = w.tell
	}
	return parcel
}

// errSuspended ends an attempt that was stopped to free its endpoint for a higher
// tier.
var errSuspended = errors.New("the attempt was suspended in favour of a higher tier")

// giveBack returns the permit of a failed attempt. If the caller disconnected or
// the deadline passed, the failure is not the endpoint's and is not reported as a
// fault of it.
func (j *journey) giveBack(ctx context.Context, grant *dispatch.Grant, err error) {
	if ctx.Err() != nil {
		grant.Unused()
		return
	}
	j.service.common.Log.Info("attempt failed", zap.String("request", j.request.ID), zap.String("caller-id", j.request.CallerID),
		zap.String("endpoint", j.endpoint), zap.Bool("may-have-run", j.sent), zap.Error(err))
	grant.Failed(faultOf(err))
}

// faultOf classifies a failed attempt for the owner, which rates the endpoint by
// it.
func faultOf(err error) permit.Fault {
	var notSent *attempt.NotSentError
	switch {
	case !errors.As(err, &notSent):
		return permit.Lost
	case notSent.Refused:
		return permit.TurnedDown
	default:
		return permit.Unanswered
	}
}

// silenceBound returns how long an attempt waits for data from its endpoint. The
// service's timeout is the upper limit. An idempotent request gives up earlier,
// while enough of its time is left for another endpoint to finish it.
func (j *journey) silenceBound(timeout, estimate time.Duration) time.Duration {
	if j.request.Keyless {
		// The request's deadline bounds the wait. silenceWatch may move the request
		// to another endpoint before that.
		return 0
	}
	if !j.request.Idempotent {
		return timeout
	}
	spare := time.Until(j.request.Deadline) - estimate
	return min(timeout, max(spare/2, leastSilence))
}

// address returns the address of the granted endpoint in the configuration in
// force, which may be newer than the one that the request arrived under. If this
// host has not discovered the endpoint yet, the address that the owner sent is
// used. An endpoint that this host knows to have left has no address, even if the
// owner granted it, because the owner may receive that update later.
func (j *journey) address(grant *dispatch.Grant) (address string, known bool) {
	current := j.service.release.Current()
	service, known := current.Configuration.Service(j.request.Service.Name)
	if !known {
		return "", false
	}
	if e, listed := service.Endpoint(grant.Permit.Endpoint); listed {
		return e.Address, !e.Leaving || !j.request.Keyless
	}
	found := grant.Address != "" && j.request.Keyless
	return grant.Address, found && !j.service.release.HasLeft(grant.Permit.Endpoint)
}
