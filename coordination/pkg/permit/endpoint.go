package permit

import (
	"slices"
	"time"
)

const (
	// learningRate is the weight of the newest sample in a moving average.
	learningRate = 0.2
	// initialDeviation is the relative error of an estimate that is assumed before
	// one is measured. deviationMargin is how many deviations are added to an
	// estimate.
	initialDeviation = 0.15
	deviationMargin  = 2
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
	// guessedLengthShare is the share of a guessed answer length that must fit into
	// the time left.
	guessedLengthShare = 0.75
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
	closed  bool
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
	crashWatch   crashWatch
	pacer        ratePacer
}

func newEndpoint(rules EndpointRules) *endpoint {
	e := &endpoint{rules: rules, deviation: initialDeviation}
	if rules.PrefillSpeed > 0 {
		e.prefillCost = 1 / rules.PrefillSpeed
	}
	if rules.DecodeSpeed > 0 {
		e.decodeCost = 1 / rules.DecodeSpeed
	}
	return e
}

func (e *endpoint) open() bool { return !e.closed && !e.rules.Leaving }

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

// hasRates reports whether a rate of the endpoint is known, configured or measured.
func (e *endpoint) hasRates() bool { return e.fixedCost > 0 || e.prefillCost > 0 }

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

// smooth moves a moving average towards its newest sample.
func smooth(share *float64, sample float64) { *share += learningRate * (sample - *share) }

// betterThan prefers endpoints without a recent failure, then the lower score.
func (e *endpoint) betterThan(other *endpoint, score, otherScore time.Duration) bool {
	if (e.failures > 0) != (other.failures > 0) {
		return e.failures == 0
	}
	return score < otherScore
}

// addPermit adds a permit. Processing its prompt delays every request that runs here.
func (e *endpoint) addPermit(h *heldPermit, now Instant) {
	prompt := e.promptTime(h.ask)
	for _, other := range e.permits {
		other.expectedEnd = other.expectedEnd.After(prompt)
	}
	h.promptAlone = e.prefillUntil <= now
	e.prefillUntil = max(e.prefillUntil, now).After(prompt)
	e.permits = append(e.permits, h)
	e.peakPermits = max(e.peakPermits, len(e.permits))
}

func (e *endpoint) removePermit(h *heldPermit) {
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
	backlog := e.promptBacklog(now) + e.promptTime(a)
	part := time.Duration(e.decodeCost * float64(time.Second))
	return slices.ContainsFunc(e.permits, func(h *heldPermit) bool {
		return h.ask.GapGoal > 0 && backlog+part > h.ask.GapGoal
	})
}

// report applies a load report. The report is late and still counts requests that
// have ended, so it only adds load that the permits of this owner cannot explain.
func (e *endpoint) report(running int) {
	e.foreignLoad = max(0, running-e.peakPermits)
	e.peakPermits = len(e.permits)
}

// promptBacklog returns how long the endpoint still processes the prompts sent so far.
func (e *endpoint) promptBacklog(now Instant) time.Duration {
	return max(0, e.prefillUntil.Since(now))
}

func (e *endpoint) promptTime(a Ask) time.Duration {
	return time.Duration(float64(a.PromptTokens) * e.prefillCost * float64(time.Second))
}

// expectedTime returns how long the request would take on this endpoint if no other
// prompt was queued before it.
func (e *endpoint) expectedTime(a Ask) time.Duration {
	seconds := e.fixedCost + float64(a.AnswerTokens)*e.decodeCost
	return e.promptTime(a) + time.Duration(seconds*float64(time.Second))
}

// unqueuedFirstPartTime returns the time to the first part of an answer if no other
// prompt was queued before it.
func (e *endpoint) unqueuedFirstPartTime(a Ask) time.Duration {
	if a.PromptTokens == 0 {
		return e.expectedTime(a)
	}
	return e.promptTime(a) + time.Duration(e.fixedCost*float64(time.Second))
}

// firstPartTime returns the time to the first part of an answer, including the
// prompts queued before it.
func (e *endpoint) firstPartTime(a Ask, now Instant) time.Duration {
	return e.unqueuedFirstPartTime(a) + e.promptBacklog(now)
}

// estimate returns a time within which the request will most likely be answered,
// including the prompts queued before it.
func (e *endpoint) estimate(a Ask, now Instant) time.Duration {
	return e.requiredTime(a) + e.promptBacklog(now)
}

// requiredTime returns the time that must be left until the deadline to start the
// request. If the request has a goal, its first part matters most, and it is not held back
// for an answer length that its caller only guessed.
func (e *endpoint) requiredTime(a Ask) time.Duration {
	if a.Goal > 0 {
		return time.Duration(float64(e.expectedTime(a)) * guessedLengthShare)
	}
	return e.withMargin(e.expectedTime(a))
}

func (e *endpoint) withMargin(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (1 + deviationMargin*e.deviation))
}

// score ranks endpoints for a request; the lowest score is best. It raises the
// estimate with the share of slots in use, because a full batch slows every request
// in it, and with the share of lost answers.
func (e *endpoint) score(estimate time.Duration) time.Duration {
	const unknownCost = time.Millisecond
	inUse := float64(len(e.permits)+e.foreignLoad) / float64(max(e.rules.Limit, 1))
	return time.Duration(float64(max(estimate, unknownCost)) * (1 + inUse) * (1 + lossPenalty*e.lossShare))
}

func (e *endpoint) learn(h *heldPermit, u Usage) {
	if u.Total <= 0 {
		return
	}
	if h.expected > 0 {
		relativeError := (u.Total - h.expected).Abs().Seconds() / h.expected.Seconds()
		e.deviation += learningRate * (min(relativeError, 1) - e.deviation)
	}
	if u.PromptTokens == 0 || u.AnswerTokens == 0 {
		smoothOrSet(&e.fixedCost, u.Total.Seconds())
		return
	}
	if !h.learnedFirstPart {
		e.learnFirstPart(h, u)
	}
	smoothOrSet(&e.decodeCost, (u.Total-u.FirstByte).Seconds()/float64(u.AnswerTokens))
}

// learnedRates returns the learned rates, or nil if there are none.
func (e *endpoint) learnedRates() *LearnedRates {
	if !e.hasRates() {
		return nil
	}
	return &LearnedRates{Endpoint: e.rules.Name, PerRequest: e.fixedCost, PerToken: e.prefillCost, PerPart: e.decodeCost}
}

// adoptRates takes over the rates that an earlier owner learned where none are known
// here.
func (e *endpoint) adoptRates(p LearnedRates) {
	if !e.hasRates() {
		e.fixedCost, e.prefillCost = p.PerRequest, p.PerToken
	}
	if e.decodeCost == 0 {
		e.decodeCost = p.PerPart
	}
}

// learnFirstPart splits the time to the first byte into a fixed cost per request and
// a cost per token. If other prompts were processed at the same time, the first
// byte includes their time too and is not used.
func (e *endpoint) learnFirstPart(h *heldPermit, u Usage) {
	if !h.promptAlone || u.PromptTokens == 0 {
		return
	}
	e.promptFit.add(float64(u.PromptTokens), u.FirstByte.Seconds())
	if fixed, perToken, fits := e.promptFit.solve(); fits {
		e.fixedCost, e.prefillCost = fixed, perToken
		return
	}
	// Prompts of one length do not determine both costs. The known cost per token
	// stays, and the rest of the time is the fixed cost.
	perToken := min(e.prefillCost, u.FirstByte.Seconds()/float64(u.PromptTokens))
	e.prefillCost = perToken
	smoothOrSet(&e.fixedCost, max(0, u.FirstByte.Seconds()-perToken*float64(u.PromptTokens)))
}

func smoothOrSet(value *float64, sample float64) {
	if *value == 0 {
		*value = sample
		return
	}
	smooth(value, sample)
}
