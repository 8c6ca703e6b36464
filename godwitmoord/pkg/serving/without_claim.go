package serving

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	// maxSends bounds the attempts of one request, including those that an
	// endpoint rejected.
	maxSends = 4
	// maxErrorAnswerBytes bounds the size of an error answer that is stored while
	// another endpoint is tried.
	maxErrorAnswerBytes = 64 << 10
	// errorBodyTimeout bounds the time to read the body of an error answer, in which
	// another endpoint could already run the request.
	errorBodyTimeout = 300 * time.Millisecond
	// maxWithheld bounds the grants of one request that this host does not use because
	// it knows better than the owner.
	maxWithheld = 8
)

// serveBeforeStopEnds serves a request that needs no claim, and answers it when answers
// are due because this host stops.
func (r *requestRun) serveBeforeStopEnds(ctx context.Context) Result {
	ctx, detach, cancel := r.service.stop.withDue(ctx)
	defer cancel()
	r.relay.onHeadSent = detach
	return r.serveWithoutClaim(ctx)
}

// serveWithoutClaim serves a request that needs no claim. When an attempt fails,
// a request that may run again is sent to another endpoint, and a stream resumes
// where it stopped. A request that may not run twice is sent again only while it
// is certain that it has not run.
func (r *requestRun) serveWithoutClaim(ctx context.Context) Result {
	defer r.returnReserved()
	for sends := 1; ; sends++ {
		grant, result := r.acquire(ctx)
		if result != nil {
			return r.preferErrorAnswer(result)
		}
		err := r.sendAttempt(ctx, grant)
		switch {
		case err == nil:
			return Delivered{}
		case errors.Is(err, errSuspended) && r.relay.headSent && !r.canResume():
			return Broken{Reason: text.Displaced}
		case errors.Is(err, errSuspended):
			r.suspensions++
			sends--
			continue
		case errors.Is(err, errCallerDisconnected) || errors.Is(context.Cause(ctx), context.Canceled):
			return Broken{Reason: text.AnswerLost}
		case ctx.Err() != nil:
			return r.timeOverResult(ctx)
		case errors.HasType(err, (*WithheldError)(nil)) && r.withheld < maxWithheld:
			r.withheld++
			sends--
		case sends >= maxSends || !r.mayTryAnother():
			return r.preferErrorAnswer(r.failureResult(err))
		}
		r.avoid = append(r.avoid, r.endpoint)
	}
}

// mayTryAnother reports whether another endpoint may be tried after a failure.
func (r *requestRun) mayTryAnother() bool {
	if r.relay.headSent {
		return r.mayRunAgain() && r.canResume()
	}
	return !r.mayHaveRun || r.mayRunAgain()
}

// mayRunAgain reports whether the request may run once more.
func (r *requestRun) mayRunAgain() bool {
	return r.request.Idempotent && r.runs < r.maxRuns()
}

// maxRuns returns how many attempts of the request may run.
func (r *requestRun) maxRuns() int {
	if r.request.MaxAttempts > 0 {
		return r.request.MaxAttempts
	}
	return maxAttempts
}

// canResume reports whether another attempt can continue the answer that was
// partly sent to the caller.
func (r *requestRun) canResume() bool {
	resumable := r.request.Service.Resumes
	if r.request.Keyless {
		resumable = r.request.Resumable
	}
	return resumable && r.relay.canContinue()
}

// failureResult returns the result for the caller when no further attempt is made
// after err.
func (r *requestRun) failureResult(err error) Result {
	switch {
	case r.relay.headSent:
		return Broken{Reason: text.AnswerLost}
	case !r.mayHaveRun:
		return Refused{Outcome: text.NotRun, Reason: text.NoEndpoint, RetryAfter: time.Second}
	case errors.HasType(err, (*attempt.CrossedError)(nil)):
		return Refused{Outcome: text.Unknown, Reason: text.AnswerCrossed}
	case r.request.Keyless:
		return Refused{Outcome: text.Unknown, Reason: text.AnswerLost}
	default:
		return Refused{Outcome: text.Unknown, Reason: text.NoEndpoint, RetryAfter: time.Second}
	}
}

// timeOverResult returns the result for the caller when the request's context has ended.
func (r *requestRun) timeOverResult(ctx context.Context) Result {
	if errors.Is(context.Cause(ctx), errStopEnds) {
		return r.stopResult()
	}
	if r.relay.headSent {
		return Broken{Reason: text.Deadline}
	}
	return r.preferErrorAnswer(Refused{Outcome: r.refusalOutcome(), Reason: text.Deadline})
}

// errorAnswer is an answer with which an endpoint reports an error of its own.
type errorAnswer struct {
	status int
	header http.Header
	body   []byte
}

// ErrorAnswerError reports that the endpoint returned an error answer.
type ErrorAnswerError struct {
	Status int
	// Cause is why the answer could not be read whole; nil if it was.
	Cause error
}

func (e *ErrorAnswerError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("the endpoint returned an error answer with status %d, which could not be read: %v", e.Status, e.Cause)
	}
	return fmt.Sprintf("the endpoint returned an error answer with status %d; see its log", e.Status)
}

func (e *ErrorAnswerError) Unwrap() error { return e.Cause }

// storeErrorAnswer stores the error answer to a request that may run more than once,
// unless it cannot be read whole within its limits. The caller receives the last one
// stored if no attempt returns a better answer. It always returns an
// *ErrorAnswerError.
func (r *requestRun) storeErrorAnswer(ctx context.Context, answer *attempt.Answer, grant *dispatch.Grant, start time.Time) error {
	failed := &ErrorAnswerError{Status: answer.Status}
	body, err := answer.ReadWhole(maxErrorAnswerBytes, errorBodyTimeout)
	if err != nil {
		failed.Cause = err
		r.returnFailed(ctx, grant, failed)
		return failed
	}
	r.logFailed(failed)
	r.relay.hold(len(body))
	r.errorAnswer = &errorAnswer{status: answer.Status, header: answer.Header, body: body}
	// The endpoint ran the request in the usual time. The request failed, not the
	// endpoint, so no fault is reported.
	took := time.Since(start)
	grant.Done(r.withStatus(permit.Usage{FirstByte: took, Total: took}, answer.Status))
	return failed
}

// impliesNotRun reports whether a caller would take an answer's status to mean that
// its request did not run, although the endpoint did not declare that.
func (r *requestRun) impliesNotRun(status int) bool {
	if !r.request.Keyless || r.request.Idempotent {
		return false
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// preferErrorAnswer replaces a refusal by the stored error answer, if there is
// one, and sends that answer to the caller. Other results are returned unchanged.
func (r *requestRun) preferErrorAnswer(result Result) Result {
	if _, refused := result.(Refused); !refused || r.errorAnswer == nil {
		return result
	}
	f := r.errorAnswer
	answer := &attempt.Answer{Status: f.status, Header: f.header, Body: bytes.NewReader(f.body)}
	if err := r.relay.forward(answer); err != nil {
		return Broken{Reason: text.AnswerLost}
	}
	return Delivered{}
}

// mayRunInParallel reports whether another attempt may run while the current one is
// not finished.
func (r *requestRun) mayRunInParallel() bool {
	runs := r.runs
	if r.awaitingHead {
		runs++
	}
	return r.request.Idempotent && runs < r.maxRuns()
}

// returnReserved returns a permit that was acquired in advance and not used.
func (r *requestRun) returnReserved() {
	if r.reserved != nil {
		r.reserved.Unused()
		r.reserved = nil
	}
}
