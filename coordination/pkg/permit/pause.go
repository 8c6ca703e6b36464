package permit

import (
	"cmp"
	"slices"
	"time"
)

// maxCommonPause is the longest time for which an endpoint that wants no request from
// one host gets none from the others either: it may be in need, or mean just that host.
const maxCommonPause = time.Second

// Pause says how long an endpoint wants no request from one host.
type Pause struct {
	Endpoint string        `json:"endpoint"`
	Left     time.Duration `json:"left"`
}

// pause applies a pause that an endpoint asked of a host.
func (c *Core) pause(e Paused) {
	target := c.endpoints[e.Pause.Endpoint]
	if target == nil || e.Pause.Left <= 0 {
		return
	}
	target.pauseHost(e.Host, e.Pause.Left, c.now)
	c.refusePausedWaiters(e.Host)
}

// refusePausedWaiters refuses the waiting requests of a host that have no time to wait
// until an endpoint wants requests of it again.
func (c *Core) refusePausedWaiters(host string) {
	var paused []*waiter
	for _, w := range c.waiting {
		if w.ask.Host == host && c.pausedTooLong(w) {
			paused = append(paused, w)
		}
	}
	slices.SortFunc(paused, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range paused {
		c.refusePaused(w)
	}
}

// refusePaused refuses a request of a host that all endpoints asked for a pause. Other
// hosts may have one sooner, so the caller need not wait for the end of the pause.
func (c *Core) refusePaused(w *waiter) {
	c.dequeue(w)
	c.refund(w)
	c.refuseWithRetryAfter(w, AllPaused, maxCommonPause)
}

// pausedTooLong reports whether each open endpoint wants no request of the request's
// host until it is too late to start it there. Without an open endpoint it returns false.
func (c *Core) pausedTooLong(w *waiter) bool {
	until := Instant(-1)
	for _, e := range c.endpointOrder {
		if !e.open() {
			continue
		}
		if !e.isPausedFor(w.ask.Host, c.now) {
			return false
		}
		if until < 0 || e.hostPauses[w.ask.Host] < until {
			until = e.hostPauses[w.ask.Host]
		}
	}
	return until >= 0 && until > c.latestLateStart(w.ask)
}

// pauseHost keeps the endpoint from getting requests of a host.
func (e *endpoint) pauseHost(host string, left time.Duration, now Instant) {
	if e.hostPauses == nil {
		e.hostPauses = map[string]Instant{}
	}
	for other, until := range e.hostPauses {
		if now >= until {
			delete(e.hostPauses, other)
		}
	}
	e.hostPauses[host] = max(e.hostPauses[host], now.After(left))
	e.pausedUntil = max(e.pausedUntil, now.After(min(left, maxCommonPause)))
}

// isPausedFor reports whether the endpoint wants no request from a host now.
func (e *endpoint) isPausedFor(host string, now Instant) bool {
	return len(e.hostPauses) > 0 && now < e.hostPauses[host]
}
