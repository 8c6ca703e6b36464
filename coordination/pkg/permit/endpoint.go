package permit

import "time"

const (
	// learningRate is the weight of the newest measurement of a speed.
	learningRate = 0.2
	// firstBackoff is how long an endpoint gets no work after a failure; each
	// further one doubles it, up to longBackoff.
	firstBackoff = time.Second
	longBackoff  = 30 * time.Second
)

// endpoint is what the core knows of one endpoint.
type endpoint struct {
	rules EndpointRules
	// closed is set while the endpoint must get no new work, apart from what
	// the configuration says.
	closed bool
	held   int
	// failures counts the failures since the last answer; until restUntil the
	// endpoint gets no work, and then one request at a time until it answers.
	failures  int
	restUntil Instant
	// peak is the most permits held since the last load report; foreign is the
	// load beyond it that the report showed.
	peak    int
	foreign int
	// Costs in seconds, learned from finished requests.
	prefillCost float64
	decodeCost  float64
	fixedCost   float64
}

func newEndpoint(rules EndpointRules) *endpoint {
	e := &endpoint{rules: rules}
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
	return e.open() && e.held+e.foreign < limit
}

func (e *endpoint) fail(now Instant) {
	if now < e.restUntil {
		// The requests that were open at the first failure tell nothing new.
		return
	}
	backoff := firstBackoff << min(e.failures, 10)
	e.failures++
	e.restUntil = now.After(min(backoff, longBackoff))
}

func (e *endpoint) succeed() {
	e.failures = 0
	e.restUntil = 0
}

// betterThan prefers endpoints without a recent failure, then the lower score.
func (e *endpoint) betterThan(other *endpoint, score, otherScore time.Duration) bool {
	if (e.failures > 0) != (other.failures > 0) {
		return e.failures == 0
	}
	return score < otherScore
}

func (e *endpoint) take() {
	e.held++
	e.peak = max(e.peak, e.held)
}

// report takes in a load report, which is late: it still counts requests that
// ended since. So it only ever adds what our own permits cannot explain.
func (e *endpoint) report(running int) {
	e.foreign = max(0, running-e.peak)
	e.peak = e.held
}

// estimate gives the time the request would take from now on this endpoint.
func (e *endpoint) estimate(a Ask) time.Duration {
	seconds := e.fixedCost + float64(a.PromptTokens)*e.prefillCost + float64(a.AnswerTokens)*e.decodeCost
	return time.Duration(seconds * float64(time.Second))
}

// score orders endpoints for a request: the estimate, made worse by the share
// of places in use, as a full batch slows every member of it.
func (e *endpoint) score(estimate time.Duration) time.Duration {
	const unknownCost = time.Millisecond
	inUse := float64(e.held+e.foreign) / float64(max(e.rules.Limit, 1))
	return time.Duration(float64(max(estimate, unknownCost)) * (1 + inUse))
}

func (e *endpoint) learn(u Usage) {
	if u.Total <= 0 {
		return
	}
	if u.PromptTokens == 0 || u.AnswerTokens == 0 {
		blend(&e.fixedCost, u.Total.Seconds())
		return
	}
	blend(&e.prefillCost, u.FirstByte.Seconds()/float64(u.PromptTokens))
	blend(&e.decodeCost, (u.Total-u.FirstByte).Seconds()/float64(u.AnswerTokens))
}

func blend(value *float64, sample float64) {
	if *value == 0 {
		*value = sample
		return
	}
	*value += learningRate * (sample - *value)
}
