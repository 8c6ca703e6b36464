package permit

import (
	"slices"
	"time"
)

const (
	// learningRate is the weight of the newest measurement of a speed.
	learningRate = 0.2
	// firstDeviation is the relative error assumed before any is measured;
	// caution is how many of it are added to an estimate.
	firstDeviation = 0.15
	caution        = 2
	// shortPrompt is the time to take a prompt in that harms no neighbour.
	shortPrompt = 20 * time.Millisecond
	// firstBackoff is how long an endpoint gets no work after a failure; each
	// further one doubles it, up to longBackoff.
	firstBackoff = time.Second
	longBackoff  = 30 * time.Second
	// firstRequests is how many requests an endpoint gets of which nothing is
	// known.
	firstRequests = 2
	// longPrompt, in tokens, and longAnswer, in parts, are too much for an endpoint
	// of which nothing is known: a slow one would be busy with them for seconds.
	longPrompt = 4000
	longAnswer = 60
	// fewPrompts is the weight of measured prompts up to which more are asked for.
	fewPrompts = 4
	// fullRest is how long an endpoint gets no work that had no place, stallRest
	// one that is silent.
	fullRest  = 150 * time.Millisecond
	stallRest = 800 * time.Millisecond
	// guessedShare is the share of a guessed length that must fit the time left.
	guessedShare = 0.75
	// lossyShare is the share of lost answers from which an endpoint rests.
	lossyShare = 0.6
	// lossPenalty is how much longer an endpoint that loses all answers is taken
	// to work than it does.
	lossPenalty = 4
)

// endpoint is what the core knows of one endpoint.
type endpoint struct {
	rules EndpointRules
	// closed is set while the endpoint must get no new work, apart from what
	// the configuration says.
	closed   bool
	holdings []*holding
	// failures counts the failures since the last answer; until restUntil the
	// endpoint gets no work, and then one request at a time until it answers.
	failures  int
	restUntil Instant
	// answered is when the endpoint last answered a request whole.
	answered Instant
	// losses is the share of answers that were lost lately.
	losses float64
	// peak is the most permits held since the last load report; foreign is the
	// load beyond it that the report showed.
	peak    int
	foreign int
	// Costs in seconds, learned from finished requests.
	prefillCost float64
	decodeCost  float64
	fixedCost   float64
	// prompts is what was measured of first bytes, by the length of the prompt.
	prompts line
	// deviation is the mean relative error of the estimates made with them.
	deviation float64
	// prefillUntil is when the prompts sent so far will have been taken in. A
	// prompt stalls every answer on its endpoint, and those that come after it.
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

// hasPlace tells whether one more request may be sent. While a new owner
// settles, half of each limit is left for permits it has not heard of yet.
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

// known tells whether enough was measured of the endpoint to place by.
func (e *endpoint) known() bool { return e.fixedCost > 0 || e.prefillCost > 0 }

// trusts tells whether an endpoint may get one more request while little is
// known of it: a slow one would else be filled before it shows.
func (e *endpoint) trusts() bool { return e.known() || len(e.holdings) < firstRequests }

func (e *endpoint) fail(now Instant, fault Fault) {
	if now < e.restUntil {
		// The requests that were open at the first failure tell nothing new.
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

// stall keeps new work off for a moment. The holder says so again while the
// silence lasts.
func (e *endpoint) stall(now Instant) {
	e.restUntil = max(e.restUntil, now.After(stallRest))
}

// blend01 moves a share towards its newest sample.
func blend01(share *float64, sample float64) { *share += learningRate * (sample - *share) }

// betterThan prefers endpoints without a recent failure, then the lower score.
func (e *endpoint) betterThan(other *endpoint, score, otherScore time.Duration) bool {
	if (e.failures > 0) != (other.failures > 0) {
		return e.failures == 0
	}
	return score < otherScore
}

// take counts a permit. Its prompt delays everything that runs here.
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

// harms tells whether taking in the request's prompt would make work of the
// same tier or a higher one late.
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

// tooLongFor tells whether a request is long and the endpoint has not shown yet
// how fast it is.
func (e *endpoint) tooLongFor(a Ask) bool {
	return (!e.known() && a.PromptTokens > longPrompt) || (e.decodeCost == 0 && a.AnswerTokens > longAnswer)
}

// breaksGaps tells whether the prompts to be taken in would hold up a running
// answer for longer than the pause wanted between its parts.
func (e *endpoint) breaksGaps(a Ask, now Instant) bool {
	backlog := max(0, e.prefillUntil.Since(now)) + e.promptTime(a)
	part := time.Duration(e.decodeCost * float64(time.Second))
	return slices.ContainsFunc(e.holdings, func(h *holding) bool {
		return h.ask.GapGoal > 0 && backlog+part > h.ask.GapGoal
	})
}

// report takes in a load report, which is late: it still counts requests that
// ended since. So it only ever adds what our own permits cannot explain.
func (e *endpoint) report(running int) {
	e.foreign = max(0, running-e.peak)
	e.peak = len(e.holdings)
}

func (e *endpoint) promptTime(a Ask) time.Duration {
	return time.Duration(float64(a.PromptTokens) * e.prefillCost * float64(time.Second))
}

// expected gives the time the request would take on this endpoint if no other
// prompt was before it.
func (e *endpoint) expected(a Ask) time.Duration {
	seconds := e.fixedCost + float64(a.AnswerTokens)*e.decodeCost
	return e.promptTime(a) + time.Duration(seconds*float64(time.Second))
}

// firstCost gives the time to the first part of an answer if no other prompt
// was before it.
func (e *endpoint) firstCost(a Ask) time.Duration {
	if a.PromptTokens == 0 {
		return e.expected(a)
	}
	return e.promptTime(a) + time.Duration(e.fixedCost*float64(time.Second))
}

// firstPart gives the time to the first part of an answer.
func (e *endpoint) firstPart(a Ask, now Instant) time.Duration {
	return e.firstCost(a) + max(0, e.prefillUntil.Since(now))
}

// estimate gives a time in which the request will most likely be answered, the
// prompts before it included.
func (e *endpoint) estimate(a Ask, now Instant) time.Duration {
	return e.whole(a) + max(0, e.prefillUntil.Since(now))
}

// whole gives the time in which the answer must be expected to end. Where the
// first part counts most, a request is not held back for a length that its
// caller only guessed.
func (e *endpoint) whole(a Ask) time.Duration {
	if a.Goal > 0 {
		return time.Duration(float64(e.expected(a)) * guessedShare)
	}
	return e.cautious(e.expected(a))
}

func (e *endpoint) cautious(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (1 + caution*e.deviation))
}

// score orders endpoints for a request: the estimate, made worse by the share
// of places in use, as a full batch slows every member of it.
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

// pace gives what was learned, nil if nothing was.
func (e *endpoint) pace() *Pace {
	if !e.known() {
		return nil
	}
	return &Pace{Endpoint: e.rules.Name, Request: e.fixedCost, Token: e.prefillCost, Part: e.decodeCost}
}

// adopt takes over what an earlier owner learned, where nothing is known here.
func (e *endpoint) adopt(p Pace) {
	if !e.known() {
		e.fixedCost, e.prefillCost = p.Request, p.Token
	}
	if e.decodeCost == 0 {
		e.decodeCost = p.Part
	}
}

// learnPrompt splits the time to the first byte into a part that every request
// has and one by token. Beside other prompts the first byte tells of theirs too,
// and teaches nothing.
func (e *endpoint) learnPrompt(h *holding, u Usage) {
	if !h.alone || u.PromptTokens == 0 {
		return
	}
	e.prompts.add(float64(u.PromptTokens), u.FirstByte.Seconds())
	if fixed, each, fits := e.prompts.solve(); fits {
		e.fixedCost, e.prefillCost = fixed, each
		return
	}
	// Prompts of one length can't be told apart: what is known of the cost of a
	// token stays, and the rest is the part that all have.
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
