package permit

import (
	"slices"
	"time"
)

const (
	// negligiblePromptTime is the longest processing time of a prompt that is taken
	// not to delay the other requests of an endpoint.
	negligiblePromptTime = 20 * time.Millisecond
	// initialBackoff is how long an endpoint gets no requests after a failure. Each
	// further failure doubles it, up to maxBackoff.
	initialBackoff = time.Second
	maxBackoff     = 30 * time.Second
	// maxTrialRequests is how many requests may run at an endpoint whose rates are
	// unknown.
	maxTrialRequests = 2
	// longPrompt, in tokens, and longAnswer, in parts, are the sizes above which a
	// request avoids an endpoint whose rates are unknown, because a slow endpoint
	// would be busy with it for seconds.
	longPrompt = 4000
	longAnswer = 60
	// minPromptSamples is the weight of the measured prompts below which grants ask
	// for a report of the first part.
	minPromptSamples = 4
	// rejectedPause is how long an endpoint gets no requests after it rejected one
	// because it was full. stallPause is the same after it sent no data for too
	// long.
	rejectedPause = 150 * time.Millisecond
	stallPause    = 800 * time.Millisecond
	// maxLossShare is the share of lost answers from which an endpoint is paused.
	maxLossShare = 0.6
	// lossPenalty is how much worse an endpoint that loses all answers is scored
	// than its estimate.
	lossPenalty = 4
)

// endpoint is the state of one endpoint.
type endpoint struct {
	rules EndpointRules
	// closed is set while the endpoint must get no new requests for a reason other
	// than the configuration.
	closed bool
	// barred is set while its version must get no new requests.
	barred  bool
	permits []*heldPermit
	// failures counts the failures since the last answer. Until pausedUntil the
	// endpoint gets no requests, and after that one at a time until it answers.
	failures    int
	pausedUntil Instant
	// lastAnswer is when the endpoint last finished an answer.
	lastAnswer Instant
	// lossShare is the share of recent answers that were lost.
	lossShare float64
	// peakPermits is the largest number of permits held since the last load report.
	// foreignLoad is the number of requests that the report showed beyond it, which
	// this owner did not send.
	peakPermits int
	foreignLoad int
	// The costs are in seconds, initially from the configured speeds and then
	// learned from requests: prefillCost is per token of a prompt, decodeCost per
	// part of an answer, and fixedCost per request.
	prefillCost float64
	decodeCost  float64
	fixedCost   float64
	// promptFit fits the time to the first byte against the length of the prompt.
	promptFit lineFit
	// deviation is the mean relative error of the estimates.
	deviation float64
	// prefillUntil is when the endpoint will have processed the prompts sent so
	// far. Processing a prompt stalls all answers and later prompts of the endpoint.
	prefillUntil Instant
	// changed is set if the endpoint may suit a waiting request now that it did not
	// suit at the last event.
	changed    bool
	crashWatch crashWatch
	pacer      ratePacer
	slowness   slowness
	// shared is what the owner learns about all endpoints of the service together.
	shared *serviceRates
	// hostPauses holds until when the endpoint wants no requests of single hosts.
	hostPauses map[string]Instant
	// evaluations counts how often the times of a request at this endpoint were worked
	// out.
	evaluations uint64
}

func newEndpoint(rules EndpointRules, shared *serviceRates) *endpoint {
	e := &endpoint{rules: rules, deviation: initialDeviation, shared: shared}
	if rules.PrefillSpeed > 0 {
		e.prefillCost = 1 / rules.PrefillSpeed
	}
	if rules.DecodeSpeed > 0 {
		e.decodeCost = 1 / rules.DecodeSpeed
	}
	return e
}

func (e *endpoint) open() bool { return !e.closed && !e.rules.Leaving && !e.barred }

// hasFreeSlot reports whether one more request may be sent. While a new owner settles,
// half of each limit is reserved for permits that have not been listed to it yet.
func (e *endpoint) hasFreeSlot(now Instant, settling bool) bool {
	limit := e.rules.Limit
	if e.failures > 0 {
		limit = 1
	}
	if now < e.pausedUntil {
		return false
	}
	if settling {
		limit = (limit + 1) / 2
	}
	return e.open() && len(e.permits)+e.foreignLoad < limit && e.pacer.allows(now)
}

// withinTrialLimit reports whether the endpoint may get one more request. While its
// rates are unknown, it gets only a few, because a slow endpoint would be filled up
// before its rates are measured.
func (e *endpoint) withinTrialLimit() bool { return e.hasRates() || len(e.permits) < maxTrialRequests }

func (e *endpoint) fail(now Instant, fault Fault) {
	if now < e.pausedUntil {
		// Requests that were already running at the first failure add no information.
		return
	}
	switch fault {
	case Rejected:
		e.pausedUntil = now.After(rejectedPause)
		return
	case Lost, Disconnected:
		smooth(&e.lossShare, 1)
		if e.lossShare < maxLossShare {
			return
		}
	}
	backoff := initialBackoff << min(e.failures, 10)
	e.failures++
	e.pausedUntil = now.After(min(backoff, maxBackoff))
}

func (e *endpoint) succeed(now Instant) {
	e.lastAnswer = now
	e.failures = 0
	e.pausedUntil = 0
	smooth(&e.lossShare, 0)
}

// stall pauses the endpoint for a moment. The holder of the permit reports the stall
// again while it lasts.
func (e *endpoint) stall(now Instant) {
	e.pausedUntil = max(e.pausedUntil, now.After(stallPause))
}

// betterThan prefers endpoints without a recent failure, then the lower score.
func (e *endpoint) betterThan(other *endpoint, score, otherScore time.Duration) bool {
	if (e.failures > 0) != (other.failures > 0) {
		return e.failures == 0
	}
	return score < otherScore
}

// addPermit adds a permit. Processing its prompt delays every request that runs here.
func (e *endpoint) addPermit(h *heldPermit, now Instant) {
	prompt := e.slowness.extend(e.promptTime(h.ask), now)
	for _, other := range e.permits {
		other.expectedEnd = other.expectedEnd.After(prompt)
	}
	h.promptAlone = e.prefillUntil <= now
	e.prefillUntil = max(e.prefillUntil, now).After(prompt)
	e.observePrompt(now)
	e.permits = append(e.permits, h)
	e.peakPermits = max(e.peakPermits, len(e.permits))
}

func (e *endpoint) removePermit(h *heldPermit) {
	e.changed = true
	e.permits = slices.DeleteFunc(e.permits, func(other *heldPermit) bool { return other == h })
	if len(e.permits) == 0 {
		e.prefillUntil = 0
	}
}

// harmsOthers reports whether sending the request to the endpoint would harm other
// requests. Without a goal, its prompt must not make running requests of the same
// tier or a higher one miss their deadlines. With a goal, it must not be too long for
// an endpoint whose rates are unknown, nor pause running answers for too long.
func (e *endpoint) harmsOthers(a Ask, now Instant) bool {
	if a.Goal > 0 && e.tooLongFor(a) {
		return true
	}
	prompt := e.promptTime(a)
	if prompt < negligiblePromptTime {
		return false
	}
	if a.Goal > 0 {
		return e.exceedsGapGoals(a, now)
	}
	return slices.ContainsFunc(e.permits, func(h *heldPermit) bool {
		inTime := h.expectedEnd <= h.ask.Deadline
		return h.ask.Tier <= a.Tier && inTime && h.expectedEnd.After(prompt) > h.ask.Deadline
	})
}

// tooLongFor reports whether the request is too long for an endpoint whose rates are
// unknown.
func (e *endpoint) tooLongFor(a Ask) bool {
	return (!e.hasRates() && a.PromptTokens > longPrompt) || (e.decodeCost == 0 && a.AnswerTokens > longAnswer)
}

// exceedsGapGoals reports whether the queued prompts would pause a running answer for
// longer than its GapGoal.
func (e *endpoint) exceedsGapGoals(a Ask, now Instant) bool {
	backlog := e.promptBacklog(now)
	backlog += e.slowness.extend(e.promptTime(a), now.After(backlog))
	pause := e.pauseOf(backlog) + time.Duration(e.decodeCost*float64(time.Second))
	return slices.ContainsFunc(e.permits, func(h *heldPermit) bool {
		return h.ask.GapGoal > 0 && pause > h.ask.GapGoal
	})
}

// report applies a load report. The report is late and still counts requests that
// have ended, so it only adds load that the permits of this owner cannot explain.
func (e *endpoint) report(running int) {
	e.changed = true
	e.foreignLoad = max(0, running-e.peakPermits)
	e.peakPermits = len(e.permits)
}

// promptBacklog returns how long the endpoint still processes the prompts sent so far.
func (e *endpoint) promptBacklog(now Instant) time.Duration {
	return max(0, e.prefillUntil.Since(now))
}

// score ranks endpoints for a request; the lowest score is best. It raises the
// estimate with the share of slots in use, because a full batch slows every request
// in it, and with the share of lost answers.
func (e *endpoint) score(estimate time.Duration) time.Duration {
	const unknownCost = time.Millisecond
	inUse := float64(len(e.permits)+e.foreignLoad) / float64(max(e.rules.Limit, 1))
	return time.Duration(float64(max(estimate, unknownCost)) * (1 + inUse) * (1 + lossPenalty*e.lossShare))
}
