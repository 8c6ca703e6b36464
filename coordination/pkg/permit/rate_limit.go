package permit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRate, in requests per second, is sent even to an endpoint that takes none:
	// only an answer can tell that it takes requests again.
	minRate = 0.1
	// maxRate, in requests per second, replaces limits that limit nothing.
	maxRate = 1e6
	// burstTime is for how long an endpoint may be left without requests and get them
	// all at once afterwards.
	burstTime = 200 * time.Millisecond
	// minBurst is the smallest such burst. A second request in reserve tells a limit that
	// is not used up from one that is scarce.
	minBurst = 2
)

// RateLimit is what an endpoint says of the requests per second that it takes from all
// hosts together.
type RateLimit struct {
	Endpoint string `json:"endpoint"`
	// Named is set if the endpoint names a limit. PerSecond is that limit, in requests
	// per second.
	Named     bool    `json:"named,omitempty"`
	PerSecond float64 `json:"per-second,omitempty"`
}

// IsKnown reports whether a limit says the same as one that is known; nil means that no
// limit is known.
func (l RateLimit) IsKnown(known *RateLimit) bool {
	if known == nil || !l.Named {
		return (known == nil) == !l.Named
	}
	return l.PerSecond == known.PerSecond
}

// ratePacer spreads the requests to one endpoint over time, so that they keep to the
// limit that the endpoint names. The zero value knows no limit.
type ratePacer struct {
	// limit is nil if the endpoint names none.
	limit *RateLimit
	// share is the part of the limit that this owner may use; zero means all of it.
	share   float64
	limiter *rate.Limiter
}

// set applies what the endpoint says now, and reports whether that is new. A limit
// begins with nothing in reserve, because other requests were sent shortly before.
func (p *ratePacer) set(limit RateLimit, now Instant) bool {
	switch {
	case limit.IsKnown(p.limit):
		return false
	case !limit.Named:
		p.limit, p.limiter = nil, nil
		return true
	}
	isNew := p.limit == nil
	p.limit = &limit
	if isNew {
		p.limiter = rate.NewLimiter(p.rate(), p.burst())
		p.limiter.AllowN(now.time(), p.burst())
		return true
	}
	p.adjust(now)
	return true
}

// setShare sets the part of the limit that this owner may use.
func (p *ratePacer) setShare(share float64, now Instant) {
	p.share = share
	if p.limiter != nil {
		p.adjust(now)
	}
}

func (p *ratePacer) adjust(now Instant) {
	p.limiter.SetLimitAt(now.time(), p.rate())
	p.limiter.SetBurstAt(now.time(), p.burst())
}

// rate returns the requests per second that this owner may send.
func (p *ratePacer) rate() rate.Limit {
	share := p.share
	if share == 0 {
		share = 1
	}
	return rate.Limit(min(max(p.limit.PerSecond*share, minRate), maxRate))
}

func (p *ratePacer) burst() int {
	return max(minBurst, int(math.Ceil(float64(p.rate())*burstTime.Seconds())))
}

// allows reports whether one more request may be sent.
func (p *ratePacer) allows(now Instant) bool {
	return p.limiter == nil || p.limiter.TokensAt(now.time()) >= 1
}

// isScarce reports whether a limit holds requests back: nothing is in reserve.
func (p *ratePacer) isScarce(now Instant) bool {
	return p.limiter != nil && p.limiter.TokensAt(now.time()) < float64(p.burst())
}

// take counts a request that is sent.
func (p *ratePacer) take(now Instant) {
	if p.limiter != nil {
		p.limiter.AllowN(now.time(), 1)
	}
}

// slots returns how many of an endpoint's slots the limit lets it fill, if each request
// takes the given work in slot-seconds.
func (p *ratePacer) slots(limit int, work float64) float64 {
	if p.limiter == nil {
		return float64(limit)
	}
	return min(float64(limit), float64(p.rate())*work)
}

// limitRate applies what an endpoint says of its limit.
func (c *Core) limitRate(limit RateLimit) {
	target := c.endpoints[limit.Endpoint]
	if target != nil && target.pacer.set(limit, c.now) {
		target.changed = true
		c.actions = append(c.actions, LimitChanged{Limit: limit})
	}
}
