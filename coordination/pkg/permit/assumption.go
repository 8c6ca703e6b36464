package permit

import "time"

// assumption is what an owner takes as granted to a customer by earlier owners whose
// grants it does not know. It is a share of the limit, whatever that is at the moment. The
// zero value assumes nothing.
type assumption struct {
	share float64
	at    Instant
	// atOnce is set if all of it is taken as granted at the last moment; otherwise it is
	// spread evenly over the window before.
	atOnce bool
}

// tokens returns how much of a limit the assumption leaves out now.
func (a assumption) tokens(limit float64, now Instant, window time.Duration) float64 {
	left := a.timeLeft(now, window)
	switch {
	case left <= 0:
		return 0
	case a.atOnce:
		return a.share * limit
	default:
		return a.share * limit * left.Seconds() / window.Seconds()
	}
}

// timeUntilTokens returns how long until the assumption leaves out at most the given part
// of a limit.
func (a assumption) timeUntilTokens(tokens, limit float64, now Instant, window time.Duration) time.Duration {
	left := a.timeLeft(now, window)
	if a.tokens(limit, now, window) <= tokens {
		return 0
	}
	if a.atOnce || tokens <= 0 {
		return left
	}
	return left - time.Duration(tokens/(a.share*limit)*float64(window))
}

// timeLeft returns how long until all that is assumed has left the window.
func (a assumption) timeLeft(now Instant, window time.Duration) time.Duration {
	if a.share <= 0 {
		return 0
	}
	return max(0, window-now.Since(a.at))
}
