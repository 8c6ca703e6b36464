package discovery

import "time"

// budget divides the bound on how long after its leaving an endpoint may still get
// requests between the waits on the way from the store to the endpoint. Every wait on
// that way is a part of it, so that their sum stays below the bound of any deployment.
type budget struct{ bound time.Duration }

// budget returns the budget of this deployment.
func (s *Service) budget() budget {
	return budget{bound: s.common.Settings.Platform.LeavingBound.Std()}
}

// shortPause is the pause of an owner or a prover after a watch that returned changes.
func (b budget) shortPause() time.Duration { return b.bound / 8 }

// longPause is the same for other hosts. It suffices if only such hosts hear the
// store.
func (b budget) longPause() time.Duration { return b.bound * 3 / 8 }

// spread is the time in which what one host learned reaches the others.
func (b budget) spread() time.Duration { return b.bound / 8 }

// forward is the time from the sending host's last look at an endpoint until the
// request reaches it.
func (b budget) forward() time.Duration { return b.bound / 16 }

// grace is how long an endpoint stays in use after its entry was removed without a
// word, because the entry may have lapsed in an outage of the store.
func (b budget) grace() time.Duration { return min(b.bound*3/4, outageGrace) }
