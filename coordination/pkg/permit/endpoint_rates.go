package permit

import "time"

const (
	// learningRate is the weight of the newest sample in a moving average.
	learningRate = 0.2
	// initialDeviation is the relative error of an estimate that is assumed before
	// one is measured. deviationMargin is how many deviations are added to an
	// estimate.
	initialDeviation = 0.15
	deviationMargin  = 2
	// guessedLengthShare is the share of a guessed answer length that must fit into
	// the time left.
	guessedLengthShare = 0.75
)

// hasRates reports whether a rate of the endpoint is known, configured or measured.
func (e *endpoint) hasRates() bool { return e.fixedCost > 0 || e.prefillCost > 0 }

// smooth moves a moving average towards its newest sample.
func smooth(share *float64, sample float64) { *share += learningRate * (sample - *share) }

func (e *endpoint) promptTime(a Ask) time.Duration {
	e.evaluations++
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
	backlog := e.promptBacklog(now)
	return backlog + e.slowness.extend(e.unqueuedFirstPartTime(a), now.After(backlog))
}

// estimate returns a time within which the request will most likely be answered,
// including the prompts queued before it.
func (e *endpoint) estimate(a Ask, now Instant) time.Duration {
	backlog := e.promptBacklog(now)
	return backlog + e.slowness.extend(e.requiredTime(a), now.After(backlog))
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
	e.learnInterleaving(h, u.LongestPause)
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
	e.changed = true
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
	e.changed = true
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
