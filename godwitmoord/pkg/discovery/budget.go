package discovery

import "time"

// minContactCheck keeps a host with a very short bound from looking all the time.
const minContactCheck = 10 * time.Millisecond

// budget divides the bound on how long after its leaving an endpoint may still get
// requests between the waits on the way from the store to the endpoint. Every wait on
// that way is a part of it, so that their sum stays below the bound of any deployment.
type budget struct{ bound time.Duration }

// budget returns the budget of this deployment.
func (s *Service) budget() budget {
	return budget{bound: s.common.Settings.Platform.LeavingBound.Std()}
}

// shortPause is the pause of a prover after a watch that returned changes.
func (b budget) shortPause() time.Duration { return b.bound / 8 }

// longPause is the same for a listener. It suffices if only listeners hear the store.
func (b budget) longPause() time.Duration { return b.bound / 4 }

// spread is the time in which what one host learned reaches nearly all others.
func (b budget) spread() time.Duration { return b.bound / 8 }

// repair is the time in which a host that a notice missed finds that out and gets it.
func (b budget) repair() time.Duration { return b.bound / 4 }

// forward is the time from the sending host's last look at an endpoint until the
// request reaches it.
func (b budget) forward() time.Duration { return b.bound / 16 }

// grace is how long an endpoint stays in use after its entry was removed without a
// word, because the entry may have lapsed in an outage of the store.
func (b budget) grace() time.Duration { return min(b.bound*3/4, outageGrace) }

// silence is how long no reader of the store may have answered a host that doesn't read it
// before the host asks one of them, and answer how long it then waits for that one, and as
// long again for all of them, before it reads the store itself. contactCheck is the interval
// at which it looks, and replaceTerm how long it reads the store: until the lost readers are
// known as lost, and others take over.
func (b budget) silence() time.Duration      { return b.bound * 35 / 100 }
func (b budget) answer() time.Duration       { return b.bound * 10 / 100 }
func (b budget) contactCheck() time.Duration { return max(b.bound*25/1000, minContactCheck) }
func (b budget) replaceTerm() time.Duration  { return 2 * b.bound }

// freshnessBudget divides the bound on how long a customer's key may be accepted after
// its removal between the waits on the way of a freshness proof. A host accepts no keys
// when its proof is nearly as old as the bound.
type freshnessBudget struct{ bound time.Duration }

// freshnessBudget returns the budget of this deployment.
func (s *Service) freshnessBudget() freshnessBudget {
	return freshnessBudget{bound: s.common.Settings.Platform.KeyRevocation.Std()}
}

// watch is how long a watch of the configuration lasts without changes on a prover;
// the proof is a watch that lasted its whole time.
func (b freshnessBudget) watch() time.Duration { return b.bound * 30 / 100 }

// ask is the age of its proof from which a host asks a prover for a fresher one. The
// hosts that rank after the provers ask earlier, to stand in only when they must.
// askPause is the pause between two questions.
func (b freshnessBudget) ask() time.Duration       { return b.bound * 30 / 100 }
func (b freshnessBudget) askRanked() time.Duration { return b.bound * 20 / 100 }
func (b freshnessBudget) askPause() time.Duration  { return b.bound * 6 / 100 }

// standIn is the age from which the hosts after the provers read the store, the first
// of them at once and each further one standInStep later.
func (b freshnessBudget) standIn() time.Duration     { return b.bound * 47 / 100 }
func (b freshnessBudget) standInStep() time.Duration { return b.bound * 2 / 100 }

// lastResort is the age from which any host reads the store, and jitter the longest
// further wait of a host that reaches no prover.
func (b freshnessBudget) lastResort() time.Duration { return b.bound * 60 / 100 }
func (b freshnessBudget) jitter() time.Duration     { return b.bound * 8 / 100 }

// term is how long a host that stands in for the provers reads the store.
func (b freshnessBudget) term() time.Duration { return 2 * b.bound }
