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
	// maxSends bounds how often one request is offered to an endpoint, those
	// included that turned it down.
	maxSends = 4
	// keptFailureBytes bounds a failed answer that is kept while another endpoint
	// is tried.
	keptFailureBytes = 64 << 10
)

// direct serves a request that needs no claim. What may run again is sent to
// another endpoint when an attempt fails, and a stream goes on where it
// stopped; what may not is sent once more only while it certainly did not run.
func (j *journey) direct(ctx context.Context) Ending {
	defer j.dropNext()
	for sends := 1; ; sends++ {
		grant, ending := j.acquire(ctx)
		if ending != nil {
			return j.instead(ending)
		}
		err := j.send(ctx, grant)
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
			return j.timedOut()
		case sends >= maxSends || !j.mayGoOn():
			return j.instead(j.given(err))
		}
		j.avoid = append(j.avoid, j.endpoint)
	}
}

// mayGoOn tells whether another endpoint may be tried after a failure.
func (j *journey) mayGoOn() bool {
	if j.relay.begun {
		return j.mayRepeat() && j.resumable()
	}
	return !j.sent || j.mayRepeat()
}

// mayRepeat tells whether the request may run once more.
func (j *journey) mayRepeat() bool {
	return j.request.Idempotent && j.runs < j.maxRuns()
}

func (j *journey) maxRuns() int {
	if j.request.MaxAttempts > 0 {
		return j.request.MaxAttempts
	}
	return maxAttempts
}

// resumable tells whether another attempt can go on with the answer.
func (j *journey) resumable() bool {
	if j.request.Keyless {
		return j.request.Resumable
	}
	return j.request.Service.Resumes && j.relay.events > 0
}

// given is what the caller is told when no further attempt is made.
func (j *journey) given(err error) Ending {
	switch {
	case j.relay.begun:
		return Broken{Reason: text.AnswerLost}
	case !j.sent:
		return Refused{Outcome: text.NotRun, Reason: text.NoEndpoint, RetryAfter: time.Second}
	case errors.HasType(err, (*attempt.CrossedError)(nil)):
		return Refused{Outcome: text.Unknown, Reason: text.AnswerCrossed}
	case j.request.Keyless:
		return Refused{Outcome: text.Unknown, Reason: text.AnswerLost}
	default:
		return Refused{Outcome: text.Unknown, Reason: text.NoEndpoint, RetryAfter: time.Second}
	}
}

// timedOut is what the caller is told when its time is over.
func (j *journey) timedOut() Ending {
	if j.relay.begun {
		return Broken{Reason: text.Deadline}
	}
	return j.instead(Refused{Outcome: j.unsent(), Reason: text.Deadline})
}

// failedAnswer is an answer of an endpoint that says that it failed.
type failedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// errFailed says that the endpoint answered with a failure, which is kept.
var errFailed = errors.New("the endpoint answered with a failure")

// keepFailure reads a failed answer of a request that may run again elsewhere.
func (j *journey) keepFailure(answer *attempt.Answer, grant *dispatch.Grant, start time.Time) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, keptFailureBytes+1))
	if err != nil || len(body) > keptFailureBytes {
		grant.Failed(permit.Lost)
		return errors.CombineErrors(err, errFailed)
	}
	j.failure = &failedAnswer{status: answer.Status, header: answer.Header, body: body}
	// It did run the request in its time: what failed is the request.
	took := time.Since(start)
	grant.Done(permit.Usage{FirstByte: took, Total: took})
	return errFailed
}

// misleads tells whether a caller would read an answer's status as word that its
// request did not run, though the endpoint did not say that.
func (j *journey) misleads(status int) bool {
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

// instead gives a failed answer that was kept in place of a refusal.
func (j *journey) instead(ending Ending) Ending {
	if _, refused := ending.(Refused); !refused || j.failure == nil {
		return ending
	}
	f := j.failure
	answer := &attempt.Answer{Status: f.status, Header: f.header, Body: bytes.NewReader(f.body)}
	if err := j.relay.pass(answer); err != nil {
		return Broken{Reason: text.AnswerLost}
	}
	return Delivered{}
}

// mayRunBeside tells whether another run is allowed beside the present attempt.
func (j *journey) mayRunBeside() bool {
	runs := j.runs
	if j.awaiting {
		runs++
	}
	return j.request.Idempotent && runs < j.maxRuns()
}

// dropNext gives back a permit that was got and is not needed.
func (j *journey) dropNext() {
	if j.next != nil {
		j.next.Unused()
		j.next = nil
	}
}
