package serving

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
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

// inactivityMonitor decides whether an attempt whose endpoint sends no data
// continues. The attempt is abandoned only once a permit for another endpoint is
// acquired: until then, the current endpoint may still answer.
type inactivityMonitor struct {
	run   *requestRun
	grant *dispatch.Grant
	ctx   context.Context
	// lastReported is the time without data at the last report to the owner.
	lastReported time.Duration
	// nextTry is the time without data at which a permit for another endpoint is asked
	// for again, after the owner had none.
	nextTry time.Duration
}

// check examines an attempt without data once and reports whether to abandon it.
func (w *inactivityMonitor) check(s attempt.Inactivity) bool {
	if s.Duration < w.lastReported {
		// The endpoint sent data since the last report.
		w.lastReported, w.nextTry = 0, 0
	}
	if !s.EndpointAlive && s.Duration-w.lastReported > max(minStallDelay, w.grant.Estimate) {
		w.lastReported = s.Duration
		w.grant.Stalled()
	}
	if s.Duration <= max(w.moveDelay(s.EndpointAlive), w.nextTry) {
		return false
	}
	w.nextTry = 2 * s.Duration
	return w.hasOtherEndpoint() && w.reserveOtherEndpoint()
}

// hasOtherEndpoint reports whether the service has an endpoint beside the current one.
func (w *inactivityMonitor) hasOtherEndpoint() bool {
	return slices.ContainsFunc(w.run.request.Service.Endpoints, func(e configuration.Endpoint) bool {
		return e.Name != w.run.endpoint && !e.Leaving
	})
}

// moveDelay returns the time without data after which the request should run at
// another endpoint. It is longer for an answer that has begun, and for an endpoint
// that answers other requests (alive): both are likely to continue.
func (w *inactivityMonitor) moveDelay(alive bool) time.Duration {
	r := w.run
	bound := max(minMoveDelay, r.request.Goal) + w.grant.Estimate
	if alive || r.relay.headSent {
		bound += r.request.Patience / 2
	}
	return bound
}

// reserveOtherEndpoint acquires a permit for another endpoint, if the request may
// run once more, and reports whether it did.
func (w *inactivityMonitor) reserveOtherEndpoint() bool {
	r := w.run
	if !r.mayRunInParallel() || (r.relay.headSent && !r.canResume()) {
		return false
	}
	ctx, cancel := context.WithTimeout(w.ctx, moveTimeout)
	defer cancel()
	previousAvoid := r.avoid
	r.avoid = append(append([]string(nil), r.avoid...), r.endpoint)
	current := r.endpoint
	next, refusal := r.acquire(ctx)
	r.avoid = previousAvoid
	if refusal != nil {
		// The request goes on at its endpoint.
		r.endpoint, r.undecided = current, nil
		return false
	}
	if next.Permit.Endpoint == current {
		next.Unused()
		r.endpoint = current
		return false
	}
	r.service.common.Log.Info("request moves off a silent endpoint", zap.String("caller-id", r.request.CallerID),
		zap.String("endpoint", current), zap.String("to", next.Permit.Endpoint))
	r.endpoint = current
	r.reserved = next
	return true
}
