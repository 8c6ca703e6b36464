package serving

import (
	"context"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
)

const (
	// firstSilence is the least time without data after which a request that may
	// run at another endpoint moves there. The time that the request is expected
	// to take is added to it.
	firstSilence = 400 * time.Millisecond
	// silenceNotice is how often an attempt without data is checked.
	silenceNotice = 200 * time.Millisecond
	// stalledAfter is the least time without data after which the endpoint is
	// reported to its owner.
	stalledAfter = 450 * time.Millisecond
	// moveTimeout bounds the wait for a permit for another endpoint while the
	// current attempt has no data.
	moveTimeout = 150 * time.Millisecond
)

// silenceWatch decides whether an attempt whose endpoint sends no data continues.
// The attempt is abandoned only once a permit for another endpoint is acquired:
// until then, the current endpoint may still answer.
type silenceWatch struct {
	journey *journey
	grant   *dispatch.Grant
	ctx     context.Context
	// told is the time without data at the last report to the owner.
	told time.Duration
}

// tell checks an attempt without data once and reports whether to abandon it.
func (w *silenceWatch) tell(s attempt.Silence) bool {
	if s.Lasted < w.told {
		// The endpoint sent data since the last report.
		w.told = 0
	}
	if !s.Alive && s.Lasted-w.told > max(stalledAfter, w.grant.Estimate) {
		w.told = s.Lasted
		w.grant.Stalled()
	}
	return s.Lasted > w.bound(s.Alive) && w.move()
}

// bound returns the time without data after which the request should run at
// another endpoint. It is longer for an answer that has begun, and for an endpoint
// that answers other requests (alive): both are likely to continue.
func (w *silenceWatch) bound(alive bool) time.Duration {
	j := w.journey
	bound := max(firstSilence, j.request.Goal) + w.grant.Estimate
	if alive || j.relay.begun {
		bound += j.request.Patience / 2
	}
	return bound
}

// move acquires a permit for another endpoint, if the request may run once more,
// and reports whether it did.
func (w *silenceWatch) move() bool {
	j := w.journey
	if !j.mayRunBeside() || (j.relay.begun && !j.resumable()) {
		return false
	}
	ctx, cancel := context.WithTimeout(w.ctx, moveTimeout)
	defer cancel()
	avoided := j.avoid
	j.avoid = append(append([]string(nil), j.avoid...), j.endpoint)
	silent := j.endpoint
	next, ending := j.acquire(ctx)
	j.avoid = avoided
	if ending != nil {
		j.endpoint = silent
		return false
	}
	if next.Permit.Endpoint == silent {
		next.Unused()
		j.endpoint = silent
		return false
	}
	j.service.common.Log.Info("request moves off a silent endpoint", zap.String("caller-id", j.request.CallerID),
		zap.String("endpoint", silent), zap.String("to", next.Permit.Endpoint))
	j.endpoint = silent
	j.next = next
	return true
}
