package permit

import (
	"slices"
	"time"
)

const (
	// slowRatio is how many times longer than expected a response takes that counts as
	// bad, and slowMargin the least excess.
	slowRatio  = 2.5
	slowMargin = 20 * time.Millisecond
	// relativeTimeRate is the weight of the newest response in the mean relative time of a
	// route, minRouteResponses the number of responses from which it is known. A response
	// that took longer than maxRelativeTime times the mean counts as that.
	relativeTimeRate  = 0.1
	minRouteResponses = 3
	maxRelativeTime   = 4
	// maxTimedRoutes bounds the routes of which the relative time is known.
	maxTimedRoutes = 256
	// overdueMargin is how much later a permit without a response counts as bad, as the
	// message of its end may be under way. An owner that saw no tick for maxTickGap may
	// have such messages waiting, and judges no permit so for overduePause.
	overdueMargin = 500 * time.Millisecond
	maxTickGap    = 250 * time.Millisecond
	overduePause  = time.Second
)

// Steering states which versions of the endpoints' software may get requests. The zero
// value lets all of them.
type Steering struct {
	// Target is the version that a rollout moves the service to; empty without one.
	Target string `json:"target,omitempty"`
	// Barred are the versions that get no requests, except those of Trial.
	Barred []string `json:"barred,omitempty"`
	// Only is the version that gets all requests if it has an open endpoint; empty means
	// none.
	Only string `json:"only,omitempty"`
	// Trial is what an endpoint of the target may get although that is barred.
	Trial Trial `json:"trial,omitzero"`
}

// Trial is a number of requests that an endpoint may get although its version is barred.
// It gets them before other endpoints do.
type Trial struct {
	Endpoint string `json:"endpoint,omitempty"`
	// UpTo is the number of permits at endpoints of the target since this owner began,
	// up to which there may be more. See Core.TargetGrants.
	UpTo int `json:"up-to,omitempty"`
	// Routes are the routes whose requests it may get; empty means all.
	Routes []string `json:"routes,omitempty"`
}

// Steered states which versions may get requests from now on.
type Steered struct {
	At       Instant  `json:"at"`
	Steering Steering `json:"steering"`
}

func (e Steered) at() Instant { return e.At }

// Judged tells how an endpoint responded to a request while a rollout is under way.
type Judged struct {
	Endpoint string `json:"endpoint"`
	Version  string `json:"version,omitempty"`
	Route    string `json:"route,omitempty"`
	// Bad is set if the response is a failure or took much longer than expected.
	Bad bool `json:"bad,omitempty"`
	// Repeat is set if the request was sent to an endpoint before.
	Repeat bool `json:"repeat,omitempty"`
}

func (Judged) action() {}

// steering is the state of the core that a rollout needs.
type steering struct {
	Steering
	// targetGrants counts the permits granted at endpoints of targets.
	targetGrants int
	// relativeTimes holds, by route, how long responses of other versions than the target
	// took.
	relativeTimes map[string]relativeTime
	// tickedAt is when the core ticked last. Before overdueFrom no permit is judged for
	// having no response.
	tickedAt, overdueFrom Instant
}

// relativeTime is how long the responses on a route take, relative to the estimate for their
// endpoint: requests of different routes to a plain service take different times.
type relativeTime struct {
	ratio     float64
	responses int
}

// attemptWatch is what is held for a permit to judge its response.
type attemptWatch struct {
	// expected is how long an endpoint of the old version takes for the request; zero if
	// that is not known.
	expected time.Duration
	// watched is set while the response is still to be judged.
	watched bool
}

// setSteering replaces which versions may get requests. The earlier failures of an endpoint
// that begins a trial are forgotten, as it would get no requests while it is paused for them.
func (c *Core) setSteering(s Steering) {
	begins := s.Trial.Endpoint != "" && (s.Trial.Endpoint != c.steering.Trial.Endpoint || s.Trial.UpTo != c.steering.Trial.UpTo)
	if e := c.endpoints[s.Trial.Endpoint]; begins && e != nil {
		e.failures, e.pausedUntil, e.lossShare = 0, 0, 0
	}
	c.steering.Steering = s
	c.steer()
}

// failEndpoint records a failure of an endpoint. One on trial is not paused for it: what
// it may get is bounded already, and the failures are what the trial is for.
func (c *Core) failEndpoint(e *endpoint, fault Fault) {
	if fault != Rejected && c.steering.Trial.Endpoint != "" && c.steering.Trial.Endpoint == e.rules.Name {
		return
	}
	e.fail(c.now, fault)
}

// steer applies which versions may get requests. Endpoints that may get none count neither
// as free nor as capacity.
func (c *Core) steer() {
	s := &c.steering
	only := s.Only != "" && slices.ContainsFunc(c.endpointOrder, func(e *endpoint) bool {
		return e.rules.Version == s.Only && !e.closed && !e.rules.Leaving
	})
	for _, e := range c.endpointOrder {
		barred := slices.Contains(s.Barred, e.rules.Version) && !c.onTrial(e)
		barred = barred || (only && e.rules.Version != s.Only)
		e.changed = e.changed || barred != e.barred
		e.barred = barred
	}
}

// onTrial reports whether an endpoint may get a request although its version is barred.
func (c *Core) onTrial(e *endpoint) bool {
	trial := c.steering.Trial
	return trial.Endpoint != "" && trial.Endpoint == e.rules.Name && c.steering.targetGrants < trial.UpTo
}

// admits reports whether an endpoint on trial may get requests of the ask's route. All
// other endpoints may.
func (c *Core) admits(a Ask, e *endpoint) bool {
	trial := c.steering.Trial
	return trial.Endpoint != e.rules.Name || len(trial.Routes) == 0 || slices.Contains(trial.Routes, a.Route)
}

// steeredScore returns the score of an endpoint: the best one if it is on trial, so that
// it is as busy for a while as an endpoint of the old version.
func (c *Core) steeredScore(e *endpoint, score time.Duration) time.Duration {
	if c.onTrial(e) {
		return 0
	}
	return score
}

// watch begins to watch how the endpoint of a new permit responds.
func (c *Core) watch(h *heldPermit) {
	if c.steering.Target == "" {
		return
	}
	e := h.endpoint
	prompt := e.promptTime(h.ask)
	h.watch = attemptWatch{watched: true, expected: h.expected}
	if e.rules.Version == c.steering.Target {
		backlog := h.expected - e.expectedTime(h.ask)
		h.watch.expected, prompt = c.expectedOfOthers(h.ask)
		h.watch.expected += min(backlog, time.Duration(e.rules.Limit)*prompt)
		c.countTargetGrant()
	}
	for _, other := range e.permits {
		if other != h && other.watch.expected > 0 {
			// A prompt stalls the answers that run at its endpoint.
			other.watch.expected += prompt
		}
	}
}

// countTargetGrant counts a permit at an endpoint of the target, which may be the last of
// the trial.
func (c *Core) countTargetGrant() {
	c.steering.targetGrants++
	if trial := c.steering.Trial; trial.Endpoint != "" && c.steering.targetGrants >= trial.UpTo {
		c.steer()
	}
}

// expectedOfOthers returns how long the request, and its prompt, take at an endpoint of
// another version than the target, on average; zero if that is not known. The rates that
// the target's own endpoints have learned are not used: they include the slowness of a bad
// version.
func (c *Core) expectedOfOthers(a Ask) (whole, prompt time.Duration) {
	count := 0
	for _, e := range c.endpointOrder {
		if e.rules.Version != c.steering.Target && e.hasRates() {
			whole += e.expectedTime(a)
			prompt += e.promptTime(a)
			count++
		}
	}
	return whole / time.Duration(max(count, 1)), prompt / time.Duration(max(count, 1))
}

// judgeFinished judges the response of a permit that is returned as answered.
func (c *Core) judgeFinished(e Finished) {
	h := c.held[e.ID]
	if h == nil || !h.watch.watched {
		return
	}
	slow := c.isSlow(h, e.Usage.Total)
	if h.endpoint.rules.Version != c.steering.Target && !e.Usage.Error {
		c.learnRelativeTime(h, e.Usage.Total)
	}
	c.judge(h, e.Usage.Error || slow)
}

// judgeFailed judges an attempt that failed. A rejection says nothing of the version.
func (c *Core) judgeFailed(e Failed) {
	if h := c.held[e.ID]; h != nil && e.Fault != Rejected {
		c.judge(h, true)
	}
}

// judgeOverdue judges permits that take too long already: their callers may leave before
// a response comes.
func (c *Core) judgeOverdue() {
	s := &c.steering
	if s.Target == "" {
		return
	}
	if c.now.Since(s.tickedAt) > maxTickGap {
		s.overdueFrom = c.now.After(overduePause)
	}
	s.tickedAt = c.now
	for _, e := range c.endpointOrder {
		for _, h := range e.permits {
			c.judgeIfOverdue(h)
		}
	}
}

// judgeWithdrawn judges a permit that is returned without a response.
func (c *Core) judgeWithdrawn(id string) {
	if h := c.held[id]; h != nil {
		c.judgeIfOverdue(h)
	}
}

func (c *Core) judgeIfOverdue(h *heldPermit) {
	late := c.now < c.steering.overdueFrom
	if h.watch.watched && !late && c.isSlow(h, c.now.Since(h.grantedAt)-overdueMargin) {
		c.judge(h, true)
	}
}

// judge reports a judgement, once for each permit.
func (c *Core) judge(h *heldPermit, bad bool) {
	if !h.watch.watched {
		return
	}
	h.watch.watched = false
	c.actions = append(c.actions, Judged{
		Endpoint: h.endpoint.rules.Name, Version: h.endpoint.rules.Version, Route: h.ask.Route, Bad: bad, Repeat: h.ask.Repeat,
	})
}

// isSlow reports whether a response takes much longer than others on its route, for the
// work of the request.
func (c *Core) isSlow(h *heldPermit, took time.Duration) bool {
	known := c.steering.relativeTimes[h.ask.Route]
	if h.watch.expected == 0 || known.responses < minRouteResponses {
		return false
	}
	usual := time.Duration(float64(h.watch.expected) * known.ratio)
	return took > time.Duration(slowRatio*float64(usual)) && took > usual+slowMargin
}

// learnRelativeTime updates the relative time of a route by a response of an old endpoint.
func (c *Core) learnRelativeTime(h *heldPermit, took time.Duration) {
	s := &c.steering
	known, found := s.relativeTimes[h.ask.Route]
	if took <= 0 || h.watch.expected <= 0 || (!found && len(s.relativeTimes) >= maxTimedRoutes) {
		return
	}
	ratio := took.Seconds() / h.watch.expected.Seconds()
	if found {
		ratio = min(ratio, maxRelativeTime*known.ratio)
	}
	rate := max(relativeTimeRate, 1/float64(known.responses+1))
	known.ratio += rate * (ratio - known.ratio)
	known.responses++
	if s.relativeTimes == nil {
		s.relativeTimes = map[string]relativeTime{}
	}
	s.relativeTimes[h.ask.Route] = known
}

// TargetGrants returns the number of permits that this core granted at endpoints of the
// targets of rollouts.
func (c *Core) TargetGrants() int { return c.steering.targetGrants }

// ShiftedTo returns the version that gets all requests, if no permit is held at an
// endpoint of another one; otherwise it is empty.
func (c *Core) ShiftedTo() string {
	version := c.steering.Only
	if version == "" || c.now < c.settledAt {
		return ""
	}
	isOther := func(e *endpoint) bool { return e.rules.Version != version }
	if slices.ContainsFunc(c.endpointOrder, func(e *endpoint) bool { return isOther(e) && e.open() }) {
		return ""
	}
	for _, h := range c.held {
		if isOther(h.endpoint) {
			return ""
		}
	}
	return version
}
