package serving

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
)

// sendAttempt makes one attempt with a permit and returns the permit afterwards.
func (r *requestRun) sendAttempt(ctx context.Context, grant *dispatch.Grant) error {
	address, err := r.endpointAddress(grant)
	if err != nil {
		err := &attempt.NotSentError{Address: grant.Permit.Endpoint, Cause: err}
		r.logFailed(err)
		grant.Unused()
		return err
	}
	start := time.Now()
	r.lastSend = lastSend{at: start, endpointsAge: r.service.release.EndpointsAge(), ownerEndpointsAge: grant.EndpointsAge}
	message := r.attemptRequest(ctx, grant)
	r.relay.beginAttempt(r.firstPartReporter(grant, start))
	r.awaitingHead = true
	answer, err := r.service.sender.Send(ctx, address, message)
	r.awaitingHead = false
	if err != nil {
		if !errors.HasType(err, (*attempt.NotSentError)(nil)) {
			r.mayHaveRun = true
			r.runs++
		}
		r.returnFailed(ctx, grant, err)
		return err
	}
	r.mayHaveRun = true
	r.runs++
	defer answer.Close()
	if !r.relay.headSent {
		return r.receive(ctx, answer, grant, start)
	}
	afterEvent, afterEvents := r.relay.position.lastEvent, r.relay.position.events
	err = r.receive(ctx, answer, grant, start)
	r.logResumed(answer, afterEvent, afterEvents, err)
	return err
}

// receive forwards the answer of an attempt to the caller, or stores it if it is an
// error that another attempt may better, and returns the permit.
func (r *requestRun) receive(ctx context.Context, answer *attempt.Answer, grant *dispatch.Grant, start time.Time) error {
	eventsBefore := r.relay.position.events
	var suspended atomic.Bool
	grant.OnSuspended(func() {
		suspended.Store(true)
		answer.Cancel()
	})
	if !r.relay.headSent && r.request.Idempotent && answer.Status >= http.StatusInternalServerError && r.request.Keyless {
		return r.storeErrorAnswer(ctx, answer, grant, start)
	}
	if r.impliesNotRun(answer.Status) {
		err := &attempt.LostError{Address: grant.Permit.Endpoint, Cause: &ErrorAnswerError{Status: answer.Status}}
		r.logFailed(err)
		grant.Done(r.withStatus(permit.Usage{Total: time.Since(start)}, answer.Status))
		return err
	}
	err := r.relay.forward(answer)
	if err != nil && suspended.Load() {
		grant.Unused()
		return errSuspended
	}
	if errors.Is(err, errCallerDisconnected) {
		grant.Unused()
		return err
	}
	if errors.HasType(err, (*NotContinuedError)(nil)) {
		// The endpoint answered, so no fault of it is reported.
		r.logFailed(err)
		grant.Done(permit.Usage{Total: time.Since(start)})
		return err
	}
	if err != nil {
		r.returnFailed(ctx, grant, err)
		return err
	}
	grant.Done(r.withStatus(r.relay.usage(r.request, start, eventsBefore), answer.Status))
	return nil
}

// firstPartReporter returns a function that reports the first part of the answer
// to the owner, or nil if the owner did not ask for the report.
func (r *requestRun) firstPartReporter(grant *dispatch.Grant, start time.Time) func() {
	if !grant.ReportFirstPart {
		return nil
	}
	return func() {
		grant.Progressed(permit.Usage{PromptTokens: r.request.PromptTokens, FirstByte: time.Since(start), Begun: r.relay.begunAnswer()})
	}
}

// attemptRequest returns the message for the granted endpoint.
func (r *requestRun) attemptRequest(ctx context.Context, grant *dispatch.Grant) attempt.Request {
	message := r.request.WithDeadline(r.deadline()).attemptRequest(grant.Permit.ID, grant.Permit.Endpoint)
	message.EndpointRequest.Offset = r.relay.position.events
	message.EndpointRequest.LastEvent = r.relay.position.lastEvent
	if slices.Contains(r.avoid, grant.Permit.Endpoint) {
		// The endpoint may still repeat its answer to the attempt before, which can
		// have the same id.
		message.MayReuseConnection = false
	}
	message.FirstByteTimeout = r.dataTimeout(message.FirstByteTimeout, grant.Estimate)
	message.GapTimeout = r.dataTimeout(message.GapTimeout, grant.Estimate)
	message.BeforeSend = func() error {
		// Opening the connection may have taken long.
		_, err := r.endpointAddress(grant)
		return err
	}
	message.OnHead = func(head exchange.EndpointResponse) { r.heed(grant, head) }
	if r.request.Keyless {
		monitor := &inactivityMonitor{run: r, grant: grant, ctx: ctx}
		message.InactivityInterval = inactivityInterval
		message.OnInactive = monitor.check
	}
	return message
}

// heed applies what a head of an answer says of its endpoint beside the answer.
func (r *requestRun) heed(grant *dispatch.Grant, head exchange.EndpointResponse) {
	if !head.Interim || head.Limit.Named {
		r.reportLimit(grant, head.Limit)
	}
	r.reportSlowness(grant, head.Load)
	if head.Leaving && r.service.endpoints != nil {
		r.service.endpoints.ReportLeaving(grant.Permit.Endpoint, r.endpointBorn)
	}
	if head.Pause.Unreadable {
		r.service.common.Count("endpoints.pauses.unreadable")
	}
	if head.Pause.For > 0 {
		grant.ReportPause(head.Pause.For)
	}
}

// reportLimit reports what an answer says of the rate of requests that its endpoint takes.
func (r *requestRun) reportLimit(grant *dispatch.Grant, limit exchange.RateLimit) {
	if limit.Unreadable {
		r.service.common.Count("endpoints.limits.unreadable")
		return
	}
	grant.ReportLimit(limit.Named, limit.PerSecond)
}

// reportSlowness reports what an answer says of the slowness of its endpoint.
func (r *requestRun) reportSlowness(grant *dispatch.Grant, load exchange.Load) {
	if load.Unreadable {
		r.service.common.Count("endpoints.loads.unreadable")
	}
	r.slowness = load.Slowness
	if load.Slowness > 0 {
		grant.ReportSlowness(load.Slowness)
	}
}

// errSuspended ends an attempt that was stopped to free its endpoint for a higher
// tier.
var errSuspended = errors.New("the attempt was suspended in favour of a higher tier")

// returnFailed returns the permit of a failed attempt. If the caller disconnected
// or the deadline passed, the failure is not the endpoint's and is not reported
// as a fault of it.
func (r *requestRun) returnFailed(ctx context.Context, grant *dispatch.Grant, err error) {
	if ctx.Err() != nil {
		grant.Unused()
		return
	}
	r.logFailed(err)
	grant.Failed(classifyFault(err), r.relay.begunAnswer())
}

// logFailed logs a failed attempt. Of the error it logs only the text, without the
// stack trace that some errors have.
func (r *requestRun) logFailed(err error) {
	switch {
	case errors.HasType(err, (*attempt.StatusError)(nil)):
		r.service.common.Count("endpoints.answers.odd-status")
	case errors.HasType(err, (*attempt.UnwrittenRequestError)(nil)):
		r.service.common.Count("endpoints.answers.cut-in-upload")
	}
	r.service.common.Log.Info("attempt failed", zap.String("request", r.request.ID), zap.String("caller-id", r.request.CallerID),
		zap.String("endpoint", r.endpoint), zap.Bool("may-have-run", r.mayHaveRun), zap.Int("events", r.relay.position.events),
		zap.String("last-event", r.relay.position.lastEvent), zap.Bool("begun", r.relay.begunAnswer()),
		zap.Strings("prompt-parts", r.request.Parts), zap.String("error", err.Error()))
}

// classifyFault classifies a failed attempt for the owner, which rates the
// endpoint by it.
func classifyFault(err error) permit.Fault {
	var notSent *attempt.NotSentError
	switch {
	case !errors.As(err, &notSent) && attempt.IsDisconnect(err):
		return permit.Disconnected
	case notSent == nil:
		return permit.Lost
	case notSent.Refused:
		return permit.Rejected
	default:
		return permit.Unanswered
	}
}

// dataTimeout returns how long an attempt waits for data from its endpoint. The
// service's timeout is the upper limit. An idempotent request gives up earlier,
// while enough of its time is left for another endpoint to finish it.
func (r *requestRun) dataTimeout(timeout, estimate time.Duration) time.Duration {
	if r.request.Keyless {
		// The request's deadline bounds the wait. inactivityMonitor may move the
		// request to another endpoint before that.
		return 0
	}
	if !r.request.Idempotent {
		return timeout
	}
	spare := time.Until(r.deadline()) - estimate
	return min(timeout, max(spare/2, minDataTimeout))
}
