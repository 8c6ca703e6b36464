package permit

import (
	"slices"
	"time"
)

const (
	// learningRate is the weight of the newest sample in a moving average.
	learningRate = 0.2
	// firstDeviation is the relative error of an estimate that is assumed before
	// one is measured. caution is how many deviations are added to an estimate.
	firstDeviation = 0.15
	caution        = 2
	// shortPrompt is the longest processing time of a prompt that is taken not to
	// delay the other requests of an endpoint.
	shortPrompt = 20 * time.Millisecond
	// firstBackoff is how long an endpoint gets no requests after a failure. Each
	// further failure doubles it, up to longBackoff.
	firstBackoff = time.Second
	longBackoff  = 30 * time.Second
	// firstRequests is how many requests may run at an endpoint whose rates are
	// unknown.
	firstRequests = 2
	// longPrompt, in tokens, and longAnswer, in parts, are the sizes above which a
	// request avoids an endpoint whose rates are unknown, because a slow endpoint
	// would be busy with it for seconds.
	longPrompt = 4000
	longAnswer = 60
	// fewPrompts is the weight of the measured prompts below which grants ask for a
	// report of the first part.
	fewPrompts = 4
	// fullRest is how long an endpoint gets no requests after it rejected one
	// because it was full. stallRest is the same after it sent no data for too long.
	fullRest  = 150 * time.Millisecond
	stallRest = 800 * time.Millisecond
	// guessedShare is the share of a guessed answer length that must fit into the
	// time left.
	guessedShare = 0.75
	// lossyShare is the share of lost answers from which an endpoint is paused.
	lossyShare = 0.6
	// lossPenalty is how much worse an endpoint that loses all answers is scored
	// than its estimate.
	lossPenalty = 4
)

// endpoint is the state of one endpoint.
type endpoint struct {
	rules EndpointRules
	// closed is set while the endpoint must get no new requests for a reason other
	// than the configuration.
	closed   bool
	holdings []*holding
	// failures counts the failures since the last answer. Until restUntil the
	// endpoint gets no requests, and after that one at a time until it answers.
	failures  int
	restUntil Instant
	// answered is when the endpoint last finished an answer.
	answered Instant
	// losses is the share of recent answers that were lost.
	losses float64
	// peak is the largest number of permits held since the last load report.
	// foreign is the number of requests that the report showed beyond it, which
	// this owner did not send.
	peak    int
	foreign int
	// The costs are in seconds, initially from the configured speeds and then
	// learned from requests: prefillCost is per token of a prompt, decodeCost per
	// part of an answer, and fixedCost per request.
	prefillCost float64
	decodeCost  float64
	fixedCost   float64
	// prompts fits the time to the first byte against the length of the prompt.
	prompts line
	// deviation is the mean relative error of the estimates.
	deviation float64
	// prefillUntil is when the endpoint will have processed the prompts sent so
	// far. Processing a prompt stalls all answers and later prompts of the endpoint.
	prefillUntil Instant
}

func newEndpoint(rules EndpointRules) *endpoint {
	e := &endpoint{rules: rules, deviation: firstDeviation}
	if rules.PrefillSpeed > 0 {
		e.prefillCost = 1 / rules.PrefillSpeed
	}
	if rules.DecodeSpeed > 0 {
		e.decodeCost = 1 / rules.DecodeSpeed
	}
	return e
}

func (e *endpoint) open() bool { return !e.closed && !e.rules.Leaving }

// hasPlace reports whether one more request may be sent. While a new owner settles,
// half of each limit is reserved for permits that have not been listed to it yet.
func (e *endpoint) hasPlace(now Instant, settling bool) bool {
	limit := e.rules.Limit
	if e.failures > 0 {
		limit = 1
	}
	if now < e.restUntil {
		return false
	}
	if settling {
		limit = (limit + 1) / 2
	}
	return e.open() && len(e.holdings)+e.foreign < limit
}

// known reports whether a rate of the endpoint is known, configured or measured.
func (e *endpoint) known() bool { return e.fixedCost > 0 || e.prefillCost > 0 }

// trusts reports whether the endpoint may get one more request although its rates may
// be unknown. Without this limit a slow endpoint would be filled up before its rates
// are measured.
func (e *endpoint) trusts() bool { return e.known() || len(e.holdings) < firstRequests }

func (e *endpoint) fail(now Instant, fault Fault) {
	if now < e.restUntil {
		// Requests that were already running at the first failure add no information.
		return
	}
	switch fault {
	case TurnedDown:
		e.restUntil = now.After(fullRest)
		return
	case Lost:
		blend01(&e.losses, 1)
		if e.losses < lossyShare {
			return
		}
	}
	backoff := firstBackoff << min(e.failures, 10)
	e.failures++
	e.restUntil = now.After(min(backoff, longBackoff))
}

func (e *endpoint) succeed(now Instant) {
	e.answered = now
	e.failures = 0
	e.restUntil = 0
	blend01(&e.losses, 0)
}

// stall pauses the endpoint for a moment. The holder of the permit reports the stall
// again while it lasts.
func (e *endpoint) stall(now Instant) {
	e.restUntil = max(e.restUntil, now.After(stallRest))
}

// blend01 moves a moving average towards its newest sample.
func blend01(share *float64, sample float64) { *share += learningRate * (sample - *share) }

// betterThan prefers endpoints without a recent failure, then the lower score.
func (e *endpoint) betterThan(other *endpoint, score, otherScore time.Duration) bool {
	if (e.failures > 0) != (other.failures > 0) {
		return e.failures == 0
	}
	return score < otherScore
}

// take adds a permit. Processing its prompt delays every request that runs here.
func (e *endpoint) take(h *holding, now Instant) {
	prompt := e.promptTime(h.ask)
	for _, other := range e.holdings {
		other.finish = other.finish.After(prompt)
	}
	h.alone = e.prefillUntil <= now
	e.prefillUntil = max(e.prefillUntil, now).After(prompt)
	e.holdings = append(e.holdings, h)
	e.peak = max(e.peak, len(e.holdings))
}

func (e *endpoint) drop(h *holding) {
	e.holdings = slices.DeleteFunc(e.holdings, func(other *holding) bool { return other == h })
	if len(e.holdings) == 0 {
		e.prefillUntil = 0
	}
}

// harms reports whether sending the request to the endpoint would harm other
// requests. Without a goal, its prompt must not make running requests of the same
// tier or a higher one miss their deadlines. With a goal, it must not be too long for
// an endpoint whose rates are unknown, nor pause running answers for too long.
func (e *endpoint) harms(a Ask, now Instant) bool {
	if a.Goal > 0 && e.tooLongFor(a) {
		return true
	}
	prompt := e.promptTime(a)
	if prompt < shortPrompt {
		return false
	}
	if a.Goal > 0 {
		return e.breaksGaps(a, now)
	}
	return slices.ContainsFunc(e.holdings, func(h *holding) bool {
		inTime := h.finish <= h.ask.Deadline
		return h.ask.Tier <= a.Tier && inTime && h.finish.After(prompt) > h.ask.Deadline
	})
}

// tooLongFor reports whether the request is too long for an endpoint whose rates are
// unknown.
func (e *endpoint) tooLongFor(a Ask) bool {
	return (!e.known() && a.PromptTokens > longPrompt) || (e.decodeCost == 0 && a.AnswerTokens > longAnswer)
}

// breaksGaps reports whether the queued prompts would pause a running answer for
// longer than its GapGoal.
func (e *endpoint) breaksGaps(a Ask, now Instant) bool {
	backlog := max(0, e.prefillUntil.Since(now)) + e.promptTime(a)
	part := time.Duration(e.decodeCost * float64(time.Second))
	return slices.ContainsFunc(e.holdings, func(h *holding) bool {
		return h.ask.GapGoal > 0 && backlog+part > h.ask.GapGoal
	})
}

// report applies a load report. The report is late and still counts requests that
// have ended, so it only adds load that the permits of this owner cannot explain.
func (e *endpoint) report(running int) {
	e.foreign = max(0, running-e.peak)
	e.peak = len(e.holdings)
}

func (e *endpoint) promptTime(a Ask) time.Duration {
	return time.Duration(float64(a.PromptTokens) * e.prefillCost * float64(time.Second))
}

// expected returns how long the request would take on this endpoint if no other
// prompt was queued before it.
func (e *endpoint) expected(a Ask) time.Duration {
	seconds := e.fixedCost + float64(a.AnswerTokens)*e.decodeCost
	return e.promptTime(a) + time.Duration(seconds*float64(time.Second))
}

// firstCost returns the time to the first part of an answer if no other prompt was
// queued before it.
func (e *endpoint) firstCost(a Ask) time.Duration {
	if a.PromptTokens == 0 {
		return e.expected(a)
	}
	return e.promptTime(a) + time.Duration(e.fixedCost*float64(time.Second))
}

// firstPart returns the time to the first part of an answer, including the prompts
// queued before it.
func (e *endpoint) firstPart(a Ask, now Instant) time.Duration {
	return e.firstCost(a) + max(0, e.prefillUntil.Since(now))
}

// estimate returns a time within which the request will most likely be answered,
// including the prompts queued before it.
func (e *endpoint) estimate(a Ask, now Instant) time.Duration {
	return e.whole(a) + max(0, e.prefillUntil.Since(now))
}

// whole returns the time that must be left until the deadline to start the request.
// If the request has a goal, its first part matters most, and it is not held back
// for an answer length that its caller only guessed.
func (e *endpoint) whole(a Ask) time.Duration {
	if a.Goal > 0 {
		return time.Duration(float64(e.expected(a)) * guessedShare)
	}
	return e.cautious(e.expected(a))
}

func (e *endpoint) cautious(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (1 + caution*e.deviation))
}

// score ranks endpoints for a request; the lowest score is best. It raises the
// estimate with the share of slots in use, because a full batch slows every request
// in it, and with the share of lost answers.
func (e *endpoint) score(estimate time.Duration) time.Duration {
	const unknownCost = time.Millisecond
	inUse := float64(len(e.holdings)+e.foreign) / float64(max(e.rules.Limit, 1))
	return time.Duration(float64(max(estimate, unknownCost)) * (1 + inUse) * (1 + lossPenalty*e.losses))
}

func (e *endpoint) learn(h *holding, u Usage) {
	if u.Total <= 0 {
		return
	}
	if h.expected > 0 {
		missed := (u.Total - h.expected).Abs().Seconds() / h.expected.Seconds()
		e.deviation += learningRate * (min(missed, 1) - e.deviation)
	}
	if u.PromptTokens == 0 || u.AnswerTokens == 0 {
		blend(&e.fixedCost, u.Total.Seconds())
		return
	}
	if !h.taught {
		e.learnPrompt(h, u)
	}
	blend(&e.decodeCost, (u.Total-u.FirstByte).Seconds()/float64(u.AnswerTokens))
}

// pace returns the learned rates, or nil if there are none.
func (e *endpoint) pace() *Pace {
	if !e.known() {
		return nil
	}
	return &Pace{Endpoint: e.rules.Name, Request: e.fixedCost, Token: e.prefillCost, Part: e.decodeCost}
}

// adopt takes over the rates that an earlier owner learned where none are known here.
func (e *endpoint) adopt(p Pace) {
	if !e.known() {
		e.fixedCost, e.prefillCost = p.Request, p.Token
	}
	if e.decodeCost == 0 {
		e.decodeCost = p.Part
	}
}

// learnPrompt splits the time to the first byte into a fixed cost of every request
// and a cost per token. If other prompts were processed at the same time, the first
// byte includes their time too and is not used.
func (e *endpoint) learnPrompt(h *holding, u Usage) {
	if !h.alone || u.PromptTokens == 0 {
		return
	}
	e.prompts.add(float64(u.PromptTokens), u.FirstByte.Seconds())
	if fixed, each, fits := e.prompts.solve(); fits {
		e.fixedCost, e.prefillCost = fixed, each
		return
	}
	// Prompts of one length do not determine both costs. The known cost per token
	// stays, and the rest of the time is the fixed cost.
	each := min(e.prefillCost, u.FirstByte.Seconds()/float64(u.PromptTokens))
	e.prefillCost = each
	blend(&e.fixedCost, max(0, u.FirstByte.Seconds()-each*float64(u.PromptTokens)))
}

func blend(value *float64, sample float64) {
	if *value == 0 {
		*value = sample
		return
	}
	blend01(value, sample)
}
