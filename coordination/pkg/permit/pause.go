package permit

import "time"

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
