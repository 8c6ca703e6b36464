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

// journey is one request on its way.
type journey struct {
	service  *Service
	request  Request
	relay    relay
	attempts []string
	avoid    []string
	endpoint string
	// sent is set once any byte may have gone out and was not turned down.
	sent bool
	// runs counts the attempts that may have run.
	runs int
	// failure is a failed answer that is told when no better one comes.
	failure *failedAnswer
	// claimTried is set once a write of the request's claim may be under way.
	claimTried bool
	// suspensions counts the attempts that gave way to a higher tier.
	suspensions int
	// awaiting is set while an attempt has no answer yet.
	awaiting bool
	// next is a permit that was got before an attempt was given up for silence.
	next *dispatch.Grant
	// queued is the time spent waiting for permits.
	queued time.Duration
	// owner granted the last permit, and estimate is what it expected.
	owner    string
	estimate time.Duration
}

// ask makes the wish for one more permit, for what is left of the answer.
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

// unsent tells what a refusal may claim.
func (j *journey) unsent() text.Outcome {
	if j.sent {
		return text.Unknown
	}
	return text.NotRun
}

// acquire waits for a permit for one more attempt, if none is held already.
func (j *journey) acquire(ctx context.Context) (*dispatch.Grant, Ending) {
	if next := j.next; next != nil {
		j.next = nil
		j.hold(next)
		return next, nil
	}
	deadline := j.request.Deadline
	if j.relay.begun || j.suspensions > 0 {
		// The caller reads already, or gave way to others: an answer that comes
		// late beats a broken one.
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

// hold notes the permit of the attempt to come.
func (j *journey) hold(grant *dispatch.Grant) {
	j.endpoint = grant.Permit.Endpoint
	j.owner, j.estimate = grant.Owner(), grant.Estimate
}

// times gives what the owner must know of the time left.
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

// send uses a permit for one attempt and gives it back.
func (j *journey) send(ctx context.Context, grant *dispatch.Grant) error {
	address, known := j.address(grant)
	if !known {
		grant.Unused()
		return &attempt.NotSentError{Address: grant.Permit.Endpoint, Cause: errors.New("it left the configuration")}
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

// teacher gives what tells the owner of the first part; nil if it need not know.
func (j *journey) teacher(grant *dispatch.Grant, start time.Time) func() {
	if !grant.Teach {
		return nil
	}
	return func() {
		grant.Progressed(permit.Usage{PromptTokens: j.request.PromptTokens, FirstByte: time.Since(start)})
	}
}

// parcel makes what goes to the granted endpoint.
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

// errSuspended ends an attempt that gave way to a higher tier.
var errSuspended = errors.New("the attempt gave way to a higher tier")

// giveBack returns the permit of a failed attempt. A caller that went away, or
// a request whose time was over, says nothing about the endpoint.
func (j *journey) giveBack(ctx context.Context, grant *dispatch.Grant, err error) {
	if ctx.Err() != nil {
		grant.Unused()
		return
	}
	j.service.common.Log.Info("attempt failed", zap.String("request", j.request.ID), zap.String("caller-id", j.request.CallerID),
		zap.String("endpoint", j.endpoint), zap.Bool("may-have-run", j.sent), zap.Error(err))
	grant.Failed(faultOf(err))
}

// faultOf gives the kind of failure that an endpoint's owner learns from.
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

// silenceBound gives how long an attempt may be silent. The service's timeouts
// hold for all; an idempotent request moves on earlier, while what is left of
// its time still lets another endpoint finish it.
func (j *journey) silenceBound(timeout, estimate time.Duration) time.Duration {
	if j.request.Keyless {
		// The journey's own deadline bounds it; silenceWatch moves it before.
		return 0
	}
	if !j.request.Idempotent {
		return timeout
	}
	spare := time.Until(j.request.Deadline) - estimate
	return min(timeout, max(spare/2, leastSilence))
}

// address looks an endpoint up in the configuration in force, which may be
// newer than the one the request came in under. One that this host has not found
// yet is where the owner says; one that it knows to have left is nowhere, as the
// owner may be late to hear of it.
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
