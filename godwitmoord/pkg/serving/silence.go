package serving

import (
	"context"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
)

const (
	// firstSilence is how long an endpoint may be silent before a request that
	// may run elsewhere moves on; beside it counts what the work should take.
	firstSilence = 400 * time.Millisecond
	// silenceNotice is how often a silence is looked at.
	silenceNotice = 200 * time.Millisecond
	// stalledAfter is the least silence after which the owner of an endpoint is
	// told of it.
	stalledAfter = 450 * time.Millisecond
	// moveTimeout bounds the wait for another place while an attempt is silent.
	moveTimeout = 150 * time.Millisecond
)

// silenceWatch decides what becomes of an attempt whose endpoint is silent. An
// attempt is given up only for a place at another endpoint: as long as there is
// none, the first one may yet answer.
type silenceWatch struct {
	journey *journey
	grant   *dispatch.Grant
	ctx     context.Context
	told    time.Duration
}

// tell takes one look at a silence, and tells whether to give the attempt up.
func (w *silenceWatch) tell(s attempt.Silence) bool {
	if s.Lasted < w.told {
		// Something came since.
		w.told = 0
	}
	if !s.Alive && s.Lasted-w.told > max(stalledAfter, w.grant.Estimate) {
		w.told = s.Lasted
		w.grant.Stalled()
	}
	return s.Lasted > w.bound(s.Alive) && w.move()
}

// bound gives the silence from which the request should run elsewhere. One that
// was begun is worth waiting for, and so is an endpoint that answers others.
func (w *silenceWatch) bound(alive bool) time.Duration {
	j := w.journey
	bound := max(firstSilence, j.request.Goal) + w.grant.Estimate
	if alive || j.relay.begun {
		bound += j.request.Patience / 2
	}
	return bound
}

// move gets a place at another endpoint, if the request may run once more.
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
