package serving

import (
	"context"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
)

const (
	// minMoveDelay is the least time without data after which a request that may
	// run at another endpoint moves there. The time that the request is expected
	// to take is added to it.
	minMoveDelay = 400 * time.Millisecond
	// inactivityInterval is how often an attempt without data is checked.
	inactivityInterval = 200 * time.Millisecond
	// minStallDelay is the least time without data after which the endpoint is
	// reported to its owner.
	minStallDelay = 450 * time.Millisecond
	// moveTimeout bounds the wait for a permit for another endpoint while the
	// current attempt has no data.
	moveTimeout = 150 * time.Millisecond
)

// inactivityMonitor decides whether an attempt whose endpoint sends no data continues.
// The attempt is abandoned only once a permit for another endpoint is acquired:
// until then, the current endpoint may still answer.
type inactivityMonitor struct {
	run   *requestRun
	grant *dispatch.Grant
	ctx   context.Context
	// lastReported is the time without data at the last report to the owner.
	lastReported time.Duration
}

// check checks an attempt without data once and reports whether to abandon it.
func (w *inactivityMonitor) check(s attempt.Silence) bool {
	if s.Lasted < w.lastReported {
		// The endpoint sent data since the last report.
		w.lastReported = 0
	}
	if !s.Alive && s.Lasted-w.lastReported > max(minStallDelay, w.grant.Estimate) {
		w.lastReported = s.Lasted
		w.grant.Stalled()
	}
	return s.Lasted > w.moveDelay(s.Alive) && w.reserveOtherEndpoint()
}

// moveDelay returns the time without data after which the request should run at
// another endpoint. It is longer for an answer that has begun, and for an endpoint
// that answers other requests (alive): both are likely to continue.
func (w *inactivityMonitor) moveDelay(alive bool) time.Duration {
	j := w.run
	bound := max(minMoveDelay, j.request.Goal) + w.grant.Estimate
	if alive || j.relay.begun {
		bound += j.request.Patience / 2
	}
	return bound
}

// reserveOtherEndpoint acquires a permit for another endpoint, if the request may run once more,
// and reports whether it did.
func (w *inactivityMonitor) reserveOtherEndpoint() bool {
	j := w.run
	if !j.mayRunInParallel() || (j.relay.begun && !j.canResume()) {
		return false
	}
	ctx, cancel := context.WithTimeout(w.ctx, moveTimeout)
	defer cancel()
	previousAvoid := j.avoid
	j.avoid = append(append([]string(nil), j.avoid...), j.endpoint)
	current := j.endpoint
	next, refusal := j.acquire(ctx)
	j.avoid = previousAvoid
	if refusal != nil {
		j.endpoint = current
		return false
	}
	if next.Permit.Endpoint == current {
		next.Unused()
		j.endpoint = current
		return false
	}
	j.service.common.Log.Info("request moves off a silent endpoint", zap.String("caller-id", j.request.CallerID),
		zap.String("endpoint", current), zap.String("to", next.Permit.Endpoint))
	j.endpoint = current
	j.reserved = next
	return true
}
