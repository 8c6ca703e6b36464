package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/claim"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	// claimTry bounds how long a request occupies its permit while the key-value
	// service does not answer the write of its claim.
	claimTry = time.Second
	// withdrawTry bounds the wait for the confirmation that a request cannot run.
	withdrawTry    = time.Second
	firstLookPause = 25 * time.Millisecond
	longLookPause  = 500 * time.Millisecond
	replayHeader   = "Idempotent-Replayed"
)

// once serves a non-idempotent request. The request is sent at most once, by the
// host that holds the claim to its key.
func (j *requestRun) once(ctx context.Context) Ending {
	application := j.request.application(uuid.NewString())
	waiting, cancel := context.WithDeadline(ctx, j.request.Deadline)
	defer cancel()
	for {
		verdict, err := j.look(waiting, application)
		if err != nil {
			return j.claimFailed(application, err)
		}
		if !free(verdict) {
			return j.report(waiting, application, verdict)
		}
		grant, ending := j.acquire(waiting)
		if ending != nil {
			return j.withdraw(ctx, application, ending)
		}
		verdict, err = j.claim(waiting, application)
		if err != nil {
			// The permit is returned for others to use. The next iteration reads
			// whether the claim was written and continues with the same attempt.
			grant.Unused()
			if waiting.Err() != nil {
				return j.claimFailed(application, err)
			}
			continue
		}
		held, ours := verdict.(claim.Held)
		if !ours {
			grant.Unused()
			return j.report(waiting, application, verdict)
		}
		return j.sendHeld(ctx, waiting, held.Holding, grant)
	}
}

// free reports whether this attempt may still send the request.
func free(v claim.Verdict) bool {
	switch v.(type) {
	case claim.Vacant, claim.Held:
		return true
	default:
		return false
	}
}

// look reads the claim and retries until the key-value service answers. It runs
// before a permit is acquired, so that a repeated key is answered without one and
// no request occupies a permit while the service is down.
func (j *requestRun) look(ctx context.Context, application claim.Application) (claim.Verdict, error) {
	for pause := firstLookPause; ; pause = min(2*pause, longLookPause) {
		verdict, err := j.service.claims.Look(ctx, application, j.retention())
		if err == nil || permanent(err) {
			return verdict, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// permanent reports whether an error remains however often the call is repeated.
func permanent(err error) bool {
	return errors.HasType(err, (*claim.ExpiredKeyError)(nil)) || errors.HasType(err, (*claim.MalformedKeyError)(nil))
}

// retention returns how long claims are stored.
func (j *requestRun) retention() time.Duration { return j.request.Claims.Retention.Std() }

// claim writes the request's claim and waits no longer than claimTry for the reply.
func (j *requestRun) claim(ctx context.Context, application claim.Application) (claim.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTry)
	defer cancel()
	j.claimTried = true
	return j.service.claims.Claim(ctx, application, j.retention())
}

// claimFailed returns the result of a request whose claim could not be read or
// written. This host sent nothing and never will. An earlier attempt with the
// same key may have run at another host, so not-run is not certain.
func (j *requestRun) claimFailed(application claim.Application, err error) Ending {
	switch {
	case errors.HasType(err, (*claim.ExpiredKeyError)(nil)):
		return Refused{Outcome: text.Unknown, Reason: text.KeyExpired}
	case errors.HasType(err, (*claim.MalformedKeyError)(nil)):
		return Refused{Outcome: text.NotRun, Reason: text.KeyMalformed}
	default:
		// A claim can exist only if a write of it was tried; it is withdrawn then.
		// Without a claim the key stays free, and the caller's next request with
		// it can run.
		if j.claimTried {
			j.service.claims.WithdrawLater(application, j.retention())
		}
		return Refused{Outcome: text.Unknown, Reason: text.ClaimsUnreachable, RetryAfter: time.Second}
	}
}

// withdraw makes a refusal certain: it returns a not-run refusal only after the
// claim of the key is marked as withdrawn, so that no host can run the request.
func (j *requestRun) withdraw(ctx context.Context, application claim.Application, ending Ending) Ending {
	refused, isRefusal := ending.(Refused)
	if !isRefusal {
		return ending
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), withdrawTry)
	defer cancel()
	j.claimTried = true
	verdict, err := j.service.claims.Withdraw(ctx, application, j.retention())
	if err != nil {
		return j.claimFailed(application, err)
	}
	if _, withdrawn := verdict.(claim.NotRun); withdrawn {
		return refused
	}
	return j.report(ctx, application, verdict)
}

// sendHeld sends a claimed request to the granted endpoint. It tries other
// endpoints only while the request cannot have run.
func (j *requestRun) sendHeld(ctx, waiting context.Context, holding claim.Holding, grant *dispatch.Grant) Ending {
	// A caller that disconnects must not cancel a request that may have run.
	ctx = context.WithoutCancel(ctx)
	for tries := 1; ; tries++ {
		err := j.sendAttempt(ctx, grant)
		if err == nil {
			j.service.claims.SettleLater(holding, j.keptAnswer())
			return Delivered{}
		}
		j.service.common.Log.Info("attempt failed", zap.String("request", j.request.ID),
			zap.String("endpoint", j.endpoint), zap.Error(err))
		if j.mayHaveRun {
			j.service.claims.LoseLater(holding)
			return j.lost(err)
		}
		j.avoid = append(j.avoid, j.endpoint)
		if tries == maxAttempts {
			j.service.claims.ReleaseLater(holding)
			return Refused{Outcome: text.NotRun, Reason: text.NoEndpoint, RetryAfter: time.Second}
		}
		var ending Ending
		if grant, ending = j.acquire(waiting); ending != nil {
			// This host holds the claim and sent nothing. No other host can send
			// the request, whether or not the release is written in time, so the
			// refusal is certain.
			j.service.claims.ReleaseLater(holding)
			return ending
		}
	}
}

// lost returns the result of a request that may have run and has no whole answer.
func (j *requestRun) lost(err error) Ending {
	if j.relay.begun {
		return Broken{Reason: text.AnswerLost}
	}
	if errors.HasType(err, (*attempt.CrossedError)(nil)) {
		return Refused{Outcome: text.Unknown, Reason: text.AnswerCrossed}
	}
	return Refused{Outcome: text.Unknown, Reason: text.AnswerLost}
}

// keptAnswer returns the answer to store with the claim, without its body if that
// exceeds the limit.
func (j *requestRun) keptAnswer() claim.Answer {
	kept := claim.Answer{Status: j.relay.status, ContentType: j.relay.contentType, Omitted: j.relay.tooLong}
	if !kept.Omitted {
		kept.Body = j.relay.kept.Bytes()
	}
	return kept
}

// report returns the result of another attempt with the same key. It waits for
// an attempt that is still running.
func (j *requestRun) report(ctx context.Context, application claim.Application, verdict claim.Verdict) Ending {
	if running, waits := verdict.(claim.InProgress); waits {
		verdict = j.await(ctx, application, running.Holder)
	}
	switch v := verdict.(type) {
	case claim.Answered:
		return j.replay(v.Answer)
	case claim.NotRun:
		return Refused{Outcome: text.NotRun, Reason: text.KeyWithdrawn}
	case claim.Conflict:
		return Refused{Outcome: text.NotRun, Reason: text.KeyConflict}
	case claim.InProgress:
		if j.service.members.Gone(v.Holder) {
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

// await polls the claim until the other attempt ends, its host is gone, or the
// deadline passes.
func (j *requestRun) await(ctx context.Context, application claim.Application, holder host.Identity) claim.Verdict {
	for pause := firstLookPause; ; pause = min(2*pause, longLookPause) {
		// The holder is checked before the claim is read: if it wrote its answer
		// and then stopped, the read finds that answer.
		gone := j.service.members.Gone(holder)
		verdict, err := j.service.claims.Look(ctx, application, j.retention())
		if err == nil {
			if _, running := verdict.(claim.InProgress); !running || gone {
				return verdict
			}
		}
		select {
		case <-ctx.Done():
			return claim.InProgress{Holder: holder}
		case <-time.After(pause):
		}
	}
}

// replay sends the stored answer of an earlier attempt to the caller.
func (j *requestRun) replay(a claim.Answer) Ending {
	header := http.Header{}
	if a.ContentType != "" {
		header.Set("Content-Type", a.ContentType)
	}
	header.Set(replayHeader, "true")
	j.relay.caller.Begin(a.Status, header)
	if err := j.relay.caller.Part(a.Body); err != nil {
		return Broken{Reason: text.AnswerLost}
	}
	return Delivered{}
}
