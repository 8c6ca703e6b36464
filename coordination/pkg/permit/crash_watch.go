package permit

import "time"

const (
	// crashWindow is how long after the first broken connection the connections to
	// an endpoint must break to count as broken by the same crash.
	crashWindow = 300 * time.Millisecond
	// messageSkew is how long before a crash an answer may have ended whose message
	// arrives after the first message about the crash.
	messageSkew = 50 * time.Millisecond
)

// crashWatch tells the crash of an endpoint, which ends all its connections, from
// single connections that break. The zero value watches nothing.
type crashWatch struct {
	// since is when the first connection broke; zero means that nothing is watched.
	since Instant
	// broken counts the connections that broke, intact the requests that ended
	// otherwise meanwhile.
	broken, intact int
	suspects       []Suspect
}

// addBroken records that a connection broke. suspect is the request that was not
// begun to be answered on it; nil if that one was.
func (w *crashWatch) addBroken(now Instant, suspect *Suspect) {
	if w.since == 0 {
		w.since = now
	}
	w.broken++
	if suspect != nil {
		w.suspects = append(w.suspects, *suspect)
	}
}

// addIntact records that the endpoint answered a request.
func (w *crashWatch) addIntact(now Instant) {
	if w.since != 0 && now.Since(w.since) > messageSkew {
		w.intact++
	}
}

// conclude ends the watch if nothing more is to come, and returns the suspects if the
// endpoint crashed: if most of the requests that it ran have lost their connections.
// running is the number of those that have not ended.
func (w *crashWatch) conclude(now Instant, running int) (suspects []Suspect, crashed bool) {
	if w.since == 0 || (running > 0 && now.Since(w.since) <= crashWindow) {
		return nil, false
	}
	suspects, crashed = w.suspects, w.broken > w.intact+running
	*w = crashWatch{}
	return suspects, crashed
}

// runningSince returns the number of requests that were sent to the endpoint up to an
// instant and still run.
func (e *endpoint) runningSince(at Instant) int {
	count := 0
	for _, h := range e.permits {
		if h.grantedAt <= at && h.lostAt == 0 {
			count++
		}
	}
	return count
}
