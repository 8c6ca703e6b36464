package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"godwitmoor.example/coordination/pkg/claim"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	// claimTimeout bounds how long a request occupies its permit while the
	// key-value service does not answer the write of its claim.
	claimTimeout = time.Second
	// withdrawTimeout bounds the wait for the confirmation that a request cannot
	// run.
	withdrawTimeout = time.Second
	firstPollPause  = 25 * time.Millisecond
	maxPollPause    = 500 * time.Millisecond
	replayHeader    = "Idempotent-Replayed"
)

// serveWithClaim serves a non-idempotent request. The request is sent at most
// once, by the host that holds the claim to its key.
func (r *requestRun) serveWithClaim(ctx context.Context) Result {
	claimRequest := r.request.newClaimRequest(uuid.NewString())
	waitCtx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	defer cancel()
	waitCtx, _, cancelDue := r.service.stop.withDue(waitCtx)
	defer cancelDue()
	for {
		claimResult, err := r.readClaim(waitCtx, claimRequest)
		if err != nil {
			return r.claimFailureResult(claimRequest, err)
		}
		if !maySend(claimResult) {
			return r.otherAttemptResult(waitCtx, claimRequest, claimResult)
		}
		grant, result := r.acquire(waitCtx)
		if result != nil {
			return r.confirmRefusal(ctx, claimRequest, result)
		}
		claimResult, err = r.writeClaim(waitCtx, claimRequest)
		if err != nil {
			// The permit is returned for others to use. The next iteration reads
			// whether the claim was written and continues with the same attempt.
			grant.Unused()
			if waitCtx.Err() != nil {
				return r.claimFailureResult(claimRequest, err)
			}
			continue
		}
		held, claimed := claimResult.(claim.Held)
		if !claimed {
			grant.Unused()
			return r.otherAttemptResult(waitCtx, claimRequest, claimResult)
		}
		return r.sendClaimed(ctx, waitCtx, held.Holding, grant)
	}
}

// maySend reports whether this attempt may still send the request.
func maySend(v claim.Result) bool {
	switch v.(type) {
	case claim.Vacant, claim.Held:
		return true
	default:
		return false
	}
}

// readClaim reads the claim and retries until the key-value service answers. It
// runs before a permit is acquired, so that a repeated key is answered without
// one and no request occupies a permit while the service is down.
func (r *requestRun) readClaim(ctx context.Context, claimRequest claim.Request) (claim.Result, error) {
	for pause := firstPollPause; ; pause = min(2*pause, maxPollPause) {
		claimResult, err := r.service.claims.Read(ctx, claimRequest, r.retention())
		if err == nil || isPermanent(err) {
			return claimResult, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// isPermanent reports whether an error remains however often the call is repeated.
func isPermanent(err error) bool {
	return errors.HasType(err, (*claim.ExpiredKeyError)(nil)) || errors.HasType(err, (*claim.MalformedKeyError)(nil))
}

// retention returns how long claims are stored.
func (r *requestRun) retention() time.Duration { return r.request.Claims.Retention.Std() }

// writeClaim writes the claim of the request and waits no longer than
// claimTimeout for the reply.
func (r *requestRun) writeClaim(ctx context.Context, claimRequest claim.Request) (claim.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r.claimTried = true
	return r.service.claims.Claim(ctx, claimRequest, r.retention())
}

// claimFailureResult returns the result of a request whose claim could not be
// read or written. This host sent nothing and never will. An earlier attempt with
// the same key may have run at another host, so not-run is not certain.
func (r *requestRun) claimFailureResult(claimRequest claim.Request, err error) Result {
	switch {
	case errors.HasType(err, (*claim.ExpiredKeyError)(nil)):
		return Refused{Outcome: text.Unknown, Reason: text.KeyExpired}
	case errors.HasType(err, (*claim.MalformedKeyError)(nil)):
		return Refused{Outcome: text.NotRun, Reason: text.KeyMalformed}
	default:
		// A claim can exist only if a write of it was tried; it is withdrawn then.
		// Without a claim the key stays free, and the caller's next request with
		// it can run.
		if r.claimTried {
			r.service.claims.WithdrawLater(claimRequest, r.retention())
		}
		return Refused{Outcome: text.Unknown, Reason: text.ClaimsUnreachable, RetryAfter: time.Second}
	}
}

// confirmRefusal makes a refusal certain: it returns a not-run refusal only after
// the claim of the key is marked as withdrawn, so that no host can run the
// request.
func (r *requestRun) confirmRefusal(ctx context.Context, claimRequest claim.Request, result Result) Result {
	refused, isRefusal := result.(Refused)
	if !isRefusal {
		return result
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTimeout)
	defer cancel()
	r.claimTried = true
	claimResult, err := r.service.claims.Withdraw(ctx, claimRequest, r.retention())
	if err != nil {
		return r.claimFailureResult(claimRequest, err)
	}
	if _, withdrawn := claimResult.(claim.NotRun); withdrawn {
		return refused
	}
	return r.otherAttemptResult(ctx, claimRequest, claimResult)
}

// sendClaimed sends a claimed request to the granted endpoint. It tries other
// endpoints only while the request cannot have run.
func (r *requestRun) sendClaimed(ctx, waitCtx context.Context, holding claim.Holding, grant *dispatch.Grant) Result {
	// A caller that disconnects must not cancel a request that may have run.
	ctx, detach, cancel := r.service.stop.withDue(context.WithoutCancel(ctx))
	defer cancel()
	r.relay.onHeadSent = detach
	for tries := 1; ; tries++ {
		err := r.sendAttempt(ctx, grant)
		if err == nil {
			r.service.claims.CompleteLater(holding, r.storedAnswer())
			return Delivered{}
		}
		if r.mayHaveRun {
			r.service.claims.MarkLostLater(holding)
			return r.lostResult(err)
		}
		r.avoid = append(r.avoid, r.endpoint)
		if tries == maxAttempts {
			r.service.claims.ReleaseLater(holding)
			return Refused{Outcome: text.NotRun, Reason: text.NoEndpoint, RetryAfter: time.Second}
		}
		var result Result
		if grant, result = r.acquire(waitCtx); result != nil {
			// This host holds the claim and sent nothing. No other host can send
			// the request, whether or not the release is written in time, so the
			// refusal is certain.
			r.service.claims.ReleaseLater(holding)
			return result
		}
	}
}

// lostResult returns the result of a request that may have run and has no whole
// answer.
func (r *requestRun) lostResult(err error) Result {
	if r.relay.headSent {
		return Broken{Reason: text.AnswerLost}
	}
	if errors.HasType(err, (*attempt.CrossedError)(nil)) {
		return Refused{Outcome: text.Unknown, Reason: text.AnswerCrossed}
	}
	return Refused{Outcome: text.Unknown, Reason: text.AnswerLost}
}

// storedAnswer returns the answer to store with the claim, without its body if that
// exceeds the limit.
func (r *requestRun) storedAnswer() claim.Answer {
	stored := claim.Answer{
		Status: r.relay.status, ContentType: r.relay.contentType, ContentEncoding: r.relay.contentEncoding, Omitted: r.relay.exceedsLimit,
	}
	if !stored.Omitted {
		stored.Body = r.relay.storedBody.Bytes()
	}
	return stored
}

// otherAttemptResult returns the result of another attempt with the same key. It
// waits for an attempt that is still running.
func (r *requestRun) otherAttemptResult(ctx context.Context, claimRequest claim.Request, claimResult claim.Result) Result {
	if running, isRunning := claimResult.(claim.InProgress); isRunning {
		claimResult = r.awaitOtherAttempt(ctx, claimRequest, running.Holder)
	}
	switch v := claimResult.(type) {
	case claim.Answered:
		return r.replayAnswer(v.Answer)
	case claim.NotRun:
		return Refused{Outcome: text.NotRun, Reason: text.KeyWithdrawn}
	case claim.Conflict:
		return Refused{Outcome: text.NotRun, Reason: text.KeyConflict}
	case claim.InProgress:
		if r.service.members.IncarnationEnded(v.Holder) {
			return Refused{Outcome: text.Unknown, Reason: text.HolderLost}
		}
		return Refused{Outcome: text.Unknown, Reason: text.StillRunning, RetryAfter: time.Second}
	case claim.Unknown:
		return Refused{Outcome: text.Unknown, Reason: unknownReason(v)}
	default:
		return Refused{Outcome: text.Unknown, Reason: text.AnswerLost}
	}
}

func unknownReason(v claim.Unknown) text.Reason {
	if v.AnswerOmitted {
		return text.AnswerNotKept
	}
	return text.AnswerLost
}

// awaitOtherAttempt polls the claim until the other attempt ends, its host is
// gone, or the deadline passes.
func (r *requestRun) awaitOtherAttempt(ctx context.Context, claimRequest claim.Request, holder host.Identity) claim.Result {
	for pause := firstPollPause; ; pause = min(2*pause, maxPollPause) {
		// The holder is checked before the claim is read: if it wrote its answer
		// and then stopped, the read finds that answer.
		gone := r.service.members.IncarnationEnded(holder)
		claimResult, err := r.service.claims.Read(ctx, claimRequest, r.retention())
		if err == nil {
			if _, running := claimResult.(claim.InProgress); !running || gone {
				return claimResult
			}
		}
		select {
		case <-ctx.Done():
			return claim.InProgress{Holder: holder}
		case <-time.After(pause):
		}
	}
}

// replayAnswer sends the stored answer of an earlier attempt to the caller.
func (r *requestRun) replayAnswer(a claim.Answer) Result {
	header := http.Header{}
	if a.ContentType != "" {
		header.Set("Content-Type", a.ContentType)
	}
	if a.ContentEncoding != "" {
		header.Set("Content-Encoding", a.ContentEncoding)
	}
	header.Set(replayHeader, "true")
	r.relay.caller.WriteHead(a.Status, header)
	if err := r.relay.caller.WritePart(a.Body); err != nil {
		return Broken{Reason: text.AnswerLost}
	}
	return Delivered{}
}
