package serving

import (
	"bytes"
	"context"
	"io"
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
)

// serveWithoutClaim serves a request that needs no claim. When an attempt fails, a request
// that may run again is sent to another endpoint, and a stream resumes where it
// stopped. A request that may not run twice is sent again only while it is
// certain that it has not run.
func (j *requestRun) serveWithoutClaim(ctx context.Context) Ending {
	defer j.returnReserved()
	for sends := 1; ; sends++ {
		grant, result := j.acquire(ctx)
		if result != nil {
			return j.preferErrorAnswer(result)
		}
		err := j.sendAttempt(ctx, grant)
		switch {
		case err == nil:
			return Delivered{}
		case errors.Is(err, errSuspended):
			j.suspensions++
			sends--
			continue
		case errors.Is(err, errCallerGone) || errors.Is(context.Cause(ctx), context.Canceled):
			return Broken{Reason: text.AnswerLost}
		case ctx.Err() != nil:
			return j.deadlineResult()
		case sends >= maxSends || !j.mayTryAnother():
			return j.preferErrorAnswer(j.failureResult(err))
		}
		j.avoid = append(j.avoid, j.endpoint)
	}
}

// mayTryAnother reports whether another endpoint may be tried after a failure.
func (j *requestRun) mayTryAnother() bool {
	if j.relay.begun {
		return j.mayRunAgain() && j.canResume()
	}
	return !j.mayHaveRun || j.mayRunAgain()
}

// mayRunAgain reports whether the request may run once more.
func (j *requestRun) mayRunAgain() bool {
	return j.request.Idempotent && j.runs < j.maxRuns()
}

// maxRuns returns how many attempts of the request may run.
func (j *requestRun) maxRuns() int {
	if j.request.MaxAttempts > 0 {
		return j.request.MaxAttempts
	}
	return maxAttempts
}

// canResume reports whether another attempt can continue the answer that was
// partly sent to the caller.
func (j *requestRun) canResume() bool {
	if j.request.Keyless {
		return j.request.Resumable
	}
	return j.request.Service.Resumes && j.relay.events > 0
}

// failureResult returns the result for the caller when no further attempt is made after
// err.
func (j *requestRun) failureResult(err error) Ending {
	switch {
	case j.relay.begun:
		return Broken{Reason: text.AnswerLost}
	case !j.mayHaveRun:
		return Refused{Outcome: text.NotRun, Reason: text.NoEndpoint, RetryAfter: time.Second}
	case errors.HasType(err, (*attempt.CrossedError)(nil)):
		return Refused{Outcome: text.Unknown, Reason: text.AnswerCrossed}
	case j.request.Keyless:
		return Refused{Outcome: text.Unknown, Reason: text.AnswerLost}
	default:
		return Refused{Outcome: text.Unknown, Reason: text.NoEndpoint, RetryAfter: time.Second}
	}
}

// deadlineResult returns the result for the caller when the request's time is over.
func (j *requestRun) deadlineResult() Ending {
	if j.relay.begun {
		return Broken{Reason: text.Deadline}
	}
	return j.preferErrorAnswer(Refused{Outcome: j.refusalOutcome(), Reason: text.Deadline})
}

// errorAnswer is an answer with which an endpoint reports an error of its own.
type errorAnswer struct {
	status int
	header http.Header
	body   []byte
}

// errEndpointFailed reports that the endpoint returned an error answer.
var errEndpointFailed = errors.New("the endpoint returned an error answer")

// storeErrorAnswer stores the error answer to a request that may still run at another
// endpoint, unless it cannot be read or is too large. It always returns an error.
func (j *requestRun) storeErrorAnswer(answer *attempt.Answer, grant *dispatch.Grant, start time.Time) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxErrorAnswerBytes+1))
	if err != nil || len(body) > maxErrorAnswerBytes {
		grant.Failed(permit.Lost)
		return errors.CombineErrors(err, errEndpointFailed)
	}
	j.errorAnswer = &errorAnswer{status: answer.Status, header: answer.Header, body: body}
	// The endpoint ran the request in the usual time. The request failed, not the
	// endpoint, so no fault is reported.
	took := time.Since(start)
	grant.Done(permit.Usage{FirstByte: took, Total: took})
	return errEndpointFailed
}

// impliesNotRun reports whether a caller would take an answer's status to mean that
// its request did not run, although the endpoint did not declare that.
func (j *requestRun) impliesNotRun(status int) bool {
	if !j.request.Keyless || j.request.Idempotent {
		return false
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// preferErrorAnswer replaces a refusal by the stored error answer, if there is one, and
// sends that answer to the caller. Other results are returned unchanged.
func (j *requestRun) preferErrorAnswer(result Ending) Ending {
	if _, refused := result.(Refused); !refused || j.errorAnswer == nil {
		return result
	}
	f := j.errorAnswer
	answer := &attempt.Answer{Status: f.status, Header: f.header, Body: bytes.NewReader(f.body)}
	if err := j.relay.pass(answer); err != nil {
		return Broken{Reason: text.AnswerLost}
	}
	return Delivered{}
}

// mayRunInParallel reports whether another attempt may run while the current one is
// not finished.
func (j *requestRun) mayRunInParallel() bool {
	runs := j.runs
	if j.awaitingHead {
		runs++
	}
	return j.request.Idempotent && runs < j.maxRuns()
}

// returnReserved returns a permit that was acquired in advance and not used.
func (j *requestRun) returnReserved() {
	if j.reserved != nil {
		j.reserved.Unused()
		j.reserved = nil
	}
}
