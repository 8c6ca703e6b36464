package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/rollout"
)

const (
	tick     = 100 * time.Millisecond
	duration = 120 * time.Second
	// revertBound is how long after the 50th bad response requests may be sent.
	revertBound = 5 * time.Second
)

var (
	start  = time.Unix(1_700_000_000, 0)
	bounds = rollout.Bounds{Share: 0.1, Slack: 50}
)

// attempt is one request in a simulation.
type attempt struct {
	route, endpoint string
	// onTarget is set at an endpoint of the target.
	onTarget bool
	// busy is the number of requests that run at the endpoint, after the time since the order.
	busy  int
	after time.Duration
}

// simulation sends requests at a steady rate to a service with two versions. A response
// comes latency after its request.
type simulation struct {
	rate    float64
	latency time.Duration
	routes  map[string]float64
	targets []string
	// isBad decides whether the response to a request is bad.
	isBad  func(a attempt, random *rand.Rand) bool
	random *rand.Rand

	steering rollout.Steering
	pending  []pendingAttempt
	requests float64
	bad      int
	fiftieth time.Duration
	// lastSent is when the last request was sent to the target, ended when the rollout
	// ended, as its stage.
	lastSent, ended time.Duration
	exposed, total  int
	busy            map[string]int
}

type pendingAttempt struct {
	attempt
	due time.Duration
	bad bool
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		rate: 100, latency: 300 * time.Millisecond, routes: map[string]float64{"order": 0.88, "rare": 0.1, "rarest": 0.02},
		targets: []string{"n-1", "n-2", "n-3", "n-4"}, isBad: func(attempt, *rand.Rand) bool { return false },
		random:   rand.New(rand.NewPCG(seed, 1)),
		steering: rollout.New(rollout.Order{Service: "desk", Target: "2", Duration: duration, Revision: 7}, bounds, start),
		busy:     map[string]int{},
	}
}

// run plays the rollout until it ends, or until its deadline.
func (s *simulation) run() {
	for now := time.Duration(0); now < duration; now += tick {
		s.step(now)
		next := s.steering.Due()
		if next != s.steering.Stage() {
			s.steering = s.steering.WithStage(next, start.Add(now))
		}
		s.steering = s.steering.WithReserved(s.steering.ToReserve())
		if s.steering.Stage().Final() && s.ended == 0 {
			s.ended = now
		}
	}
}

func (s *simulation) step(now time.Duration) {
	o := rollout.Observation{Now: start.Add(now), Results: rollout.Results{}, Endpoints: s.targets}
	s.requests += s.rate * tick.Seconds()
	trial := s.steering.Trial()
	for ; s.requests >= 1; s.requests-- {
		a := attempt{route: s.route(), endpoint: "o-1", after: now}
		switch stage := s.steering.Stage(); {
		case stage == rollout.Canary && trial.Left > 0 && (len(trial.Routes) == 0 || slices.Contains(trial.Routes, a.route)):
			a.onTarget, a.endpoint = true, trial.Endpoint
			trial.Left--
		case stage == rollout.Shift && s.steering.Due() != rollout.Reverted, stage == rollout.Completed:
			a.onTarget, a.endpoint = true, s.targets[s.random.IntN(len(s.targets))]
		}
		s.send(a, now, &o)
	}
	s.receive(now, &o)
	o.Quiet = s.steering.Stage() == rollout.Shift && !slices.ContainsFunc(s.pending, func(p pendingAttempt) bool { return !p.onTarget })
	s.steering = s.steering.With(o)
}

func (s *simulation) route() string {
	at := s.random.Float64()
	for _, name := range []string{"order", "rare", "rarest"} {
		if at -= s.routes[name]; at < 0 {
			return name
		}
	}
	return "order"
}

func (s *simulation) send(a attempt, now time.Duration, o *rollout.Observation) {
	s.total++
	a.busy = s.busy[a.endpoint]
	s.busy[a.endpoint]++
	s.pending = append(s.pending, pendingAttempt{attempt: a, due: now + s.latency, bad: s.isBad(a, s.random)})
	if a.onTarget {
		s.exposed++
		o.Exposed++
		s.lastSent = now
	}
}

func (s *simulation) receive(now time.Duration, o *rollout.Observation) {
	s.pending = slices.DeleteFunc(s.pending, func(p pendingAttempt) bool {
		if p.due > now {
			return false
		}
		s.busy[p.endpoint]--
		o.Requests++
		source := rollout.Source{Target: p.onTarget, Route: p.route}
		if p.onTarget {
			source.Endpoint = p.endpoint
		}
		o.Results.Add(source, p.bad)
		if p.onTarget && p.bad {
			if s.bad++; s.bad == 50 {
				s.fiftieth = now
			}
		}
		return true
	})
}

// checkBad checks that the version was reverted in time and got no more than it may.
func (s *simulation) checkBad(is *is.I) {
	is.Helper()
	is.Equal(s.steering.Stage(), rollout.Reverted)
	is.True(float64(s.exposed) <= bounds.Share*float64(s.total)+bounds.Slack)
	is.True(s.fiftieth == 0 || s.lastSent <= s.fiftieth+revertBound)
}

// checkCompleted checks that a rollout is completed although some of its attempts are bad.
func checkCompleted(t *testing.T, seed uint64, isBad func(attempt, *rand.Rand) bool) {
	t.Helper()
	s := newSimulation(seed)
	s.isBad = isBad
	s.run()
	if s.steering.Stage() != rollout.Completed {
		t.Errorf("seed %d: %s", seed, s.steering.Stage())
	}
}

// Guards against a rollout that reverts a good version, or does not end in time, and
// against a canary so large that it leaves nothing for a fault that shows later.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	for _, rate := range []float64{0, 2, 10, 100, 400} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%v requests per second, seed %d", rate, seed), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(seed)
				s.rate = rate
				s.isBad = func(_ attempt, random *rand.Rand) bool { return random.Float64() < 0.005 } // both versions alike
				s.run()
				is.Equal(s.steering.Stage(), rollout.Completed)
				is.True(s.ended < duration)
			})
		}
	}
}

// Guards against each kind of bad version that gets more requests than it may, or is not
// found at all.
func TestBadVersionIsReverted(t *testing.T) {
	kinds := map[string]func(a attempt, random *rand.Rand) bool{
		"all responses":           func(attempt, *rand.Rand) bool { return true },
		"a fifth":                 func(_ attempt, random *rand.Rand) bool { return random.Float64() < 0.2 },
		"one in fifteen":          func(_ attempt, random *rand.Rand) bool { return random.Float64() < 0.067 },
		"one route":               func(a attempt, random *rand.Rand) bool { return a.route == "rare" && random.Float64() < 0.5 },
		"one rare route":          func(a attempt, random *rand.Rand) bool { return a.route == "rarest" && random.Float64() < 0.6 },
		"late":                    func(a attempt, random *rand.Rand) bool { return a.after > 40*time.Second && random.Float64() < 0.3 },
		"in the shift only":       func(a attempt, random *rand.Rand) bool { return a.after > 56*time.Second && random.Float64() < 0.3 },
		"under load only":         func(a attempt, random *rand.Rand) bool { return a.busy >= 6 && random.Float64() < 0.5 },
		"at two endpoints of six": func(a attempt, random *rand.Rand) bool { return a.endpoint < "n-3" && random.Float64() < 0.4 },
	}
	for name, isBad := range kinds {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(seed)
				s.targets = []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}
				s.isBad = func(a attempt, random *rand.Rand) bool { return a.onTarget && isBad(a, random) }
				s.run()
				s.checkBad(is)
			})
		}
	}
}

// Guards against taking the fault of one endpoint for that of its version.
func TestOneBadEndpointDoesNotRevertItsVersion(t *testing.T) {
	for seed := range uint64(8) {
		checkCompleted(t, seed, func(a attempt, _ *rand.Rand) bool { return a.endpoint == "n-2" })
	}
}

// Guards against reverting a version for a fault that both have, for example callers that
// read slowly.
func TestFaultOfBothVersionsIsNoneOfTheTarget(t *testing.T) {
	for seed := range uint64(8) {
		checkCompleted(t, seed, func(a attempt, random *rand.Rand) bool {
			return a.after > 20*time.Second && a.after < 45*time.Second && random.Float64() < 0.25
		})
	}
}

// Guards against reverting a good version for a short fault while all requests go to it.
func TestShortFaultInTheShiftIsNoneOfTheTarget(t *testing.T) {
	for seed := range uint64(8) {
		checkCompleted(t, seed, func(a attempt, _ *rand.Rand) bool {
			return a.after > 56*time.Second && a.after < 56800*time.Millisecond
		})
	}
}

// Guards against requests to the target before the record allows them, or after it was
// found bad while the store is away.
func TestTargetGetsNothingBeyondTheReserve(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1)
	s.step(0)
	is.Equal(s.steering.Trial(), rollout.Trial{}) // nothing is stored yet
	s.steering = s.steering.WithReserved(15)
	for now := tick; now < 30*time.Second; now += tick {
		s.step(now)
	}
	is.Equal(s.exposed, 15)
	is.Equal(s.steering.Stage(), rollout.Canary)
}

// Guards against completing a rollout without endpoints of its target, and while requests
// run at endpoints of other versions.
func TestRolloutWaitsForEndpointsAndForOldRequests(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1)
	s.targets = nil
	s.run()
	is.Equal(s.steering.Stage(), rollout.Canary)
	s = newSimulation(1)
	s.latency = 70 * time.Second // an old request ends after the deadline
	s.run()
	is.Equal(s.steering.Stage(), rollout.Shift)
}

// Guards against a successor that forgets what was sent before it, or how long ago the
// rollout began.
func TestSuccessorContinuesFromTheReserve(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1)
	for now := time.Duration(0); now < 10*time.Second; now += tick {
		s.step(now)
		s.steering = s.steering.WithReserved(s.steering.ToReserve())
	}
	reserved := s.steering.ToReserve()
	record := s.steering.Record(rollout.Canary, reserved)
	resumed := record.Resume(bounds, start.Add(12*time.Second))
	is.Equal(resumed.Exposed(), reserved)
	is.Equal(resumed.Deadline(), start.Add(duration))
	is.Equal(resumed.Trial(), rollout.Trial{})
	target, others := resumed.Totals()
	is.True(target.Responses > 0 && others.Responses > 0)
	s.steering = resumed
	s.isBad = func(a attempt, _ *rand.Rand) bool { return a.onTarget }
	s.run()
	s.checkBad(is)
}

// Guards against a good version that never completes as its owner changes often, and each
// new one takes the whole reserve as sent.
func TestGoodVersionIsCompletedUnderManyOwners(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		s := newSimulation(seed)
		s.rate = 20
		next := time.Duration(0)
		s.isBad = func(a attempt, _ *rand.Rand) bool {
			if a.after >= next && s.steering.Stage() == rollout.Canary {
				next = a.after + 5*time.Second
				s.steering = s.steering.Record(rollout.Canary, s.steering.ToReserve()).Resume(bounds, start.Add(a.after))
			}
			return false
		}
		s.run()
		is.Equal(s.steering.Stage(), rollout.Completed)
		is.True(s.ended < duration)
	}
}

// Guards against orders that would never end or name nothing.
func TestOrderThatCannotBeCarriedOutIsAnError(t *testing.T) {
	is := is.New(t)
	good := rollout.Order{Service: "desk", Target: "2", Duration: time.Minute}
	is.NoErr(good.Check())
	for _, bad := range []rollout.Order{
		{Target: "2", Duration: time.Minute}, {Service: "desk", Duration: time.Minute}, {Service: "desk", Target: "2"},
		{Service: "desk", Target: "2", Duration: -time.Second}, {Service: "desk", Target: "2", Duration: 1 << 62},
	} {
		is.True(bad.Check() != nil)
	}
}
