package app_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"godwitmoor.example/platform/platformtest"
)

const (
	// rolloutSettings switch rollouts on.
	rolloutSettings = `"exposure-share": 0.1, "exposure-slack": 50, "revert-bound": "5s",`
	rolloutDuration = 10 * time.Second
	// rolloutPause is the pause between two requests, rolloutResponseTime how long a good
	// endpoint takes.
	rolloutPause        = 10 * time.Millisecond
	rolloutResponseTime = 20 * time.Millisecond
)

// rolloutFleet is a fleet with two endpoints of the old version of the service desk, and
// four further ones.
type rolloutFleet struct {
	*platformFleet
	// sent counts the requests, failed those that were not answered with 200.
	sent, failed atomic.Int64
}

func startRolloutFleet(t *testing.T) *rolloutFleet {
	t.Helper()
	f := &rolloutFleet{platformFleet: &platformFleet{platformDeployment: newPlatformDeployment(t)}}
	f.quota, f.platformSettings = ampleQuota, rolloutSettings
	f.keyRevocation = time.Minute // keys are accepted while the store is down
	f.writeConfiguration()
	for _, name := range []string{"desk-3", "desk-4", "desk-5", "desk-6"} {
		f.startWorker(name)
	}
	for _, w := range f.workers {
		w.SetFaults(platformtest.WorkerFaults{Delay: rolloutResponseTime})
	}
	f.register("v1", "desk-1", "desk-2")
	f.startHosts("desk")
	return f
}

// register registers workers with a version, as started now.
func (f *rolloutFleet) register(version string, names ...string) {
	for _, name := range names {
		f.store.SetVersionedWorker(name, "desk", f.workerAddresses[name], version, time.Now())
	}
}

// sendUntil sends requests to hosts, the last two of the fleet, until a condition holds or
// the time is over.
func (f *rolloutFleet) sendUntil(longest time.Duration, condition func() bool) bool {
	var senders sync.WaitGroup
	defer senders.Wait()
	for i, end := 0, time.Now().Add(longest); time.Now().Before(end); i++ {
		if condition() {
			return true
		}
		h := f.hosts[1+i%2]
		senders.Go(func() {
			f.sent.Add(1)
			if platformtest.Call(h.frontAddress, "shop.example", "/lookup/7", "good-key", uuid.NewString()).Status != 200 {
				f.failed.Add(1)
			}
		})
		time.Sleep(rolloutPause)
	}
	state, target := f.store.RolloutStatus("desk")
	f.t.Logf("rollout of %s is %s after %d requests, of which %d failed", target, state, f.sent.Load(), f.failed.Load())
	return condition()
}

func (f *rolloutFleet) sendFor(d time.Duration) { f.sendUntil(d, func() bool { return false }) }

// runsAt returns how many requests ran at workers.
func (f *rolloutFleet) runsAt(names ...string) int {
	total := 0
	for _, name := range names {
		total += len(f.workers[name].Runs())
	}
	return total
}

// hasStatus returns a condition that holds once the store has a status.
func (f *rolloutFleet) hasStatus(wantedState, wantedTarget string) func() bool {
	return func() bool {
		state, target := f.store.RolloutStatus("desk")
		return state == wantedState && target == wantedTarget
	}
}

// allowed returns how many of the requests sent a bad version may get.
func (f *rolloutFleet) allowed() int { return int(f.sent.Load())/10 + 50 }

// Guards against a rollout that never ends, stops the old endpoints while requests run
// there, or fails requests.
func TestGoodVersionIsCompletedAndTheOldOneGetsNothingAfterwards(t *testing.T) {
	t.Parallel()
	f := startRolloutFleet(t)
	f.sendFor(2 * time.Second)
	f.register("v2", "desk-3", "desk-4")
	f.store.OrderRollout("desk", "v2", rolloutDuration)
	f.is.True(f.sendUntil(time.Second, f.hasStatus("in_progress", "v2")))
	f.sendFor(2 * time.Second)
	f.is.True(f.runsAt("desk-3", "desk-4") > 0)
	f.is.True(f.runsAt("desk-3", "desk-4") <= f.allowed()/2)
	f.is.True(f.sendUntil(2*rolloutDuration, f.hasStatus("completed", "v2")))
	before := f.runsAt("desk-1", "desk-2")
	f.sendFor(time.Second)
	f.is.Equal(f.runsAt("desk-1", "desk-2"), before)
	f.is.Equal(f.failed.Load(), int64(0))
}

// Guards against a bad version that gets more than it may, is not reverted, or gets
// requests after it was.
func TestBadVersionIsRevertedAndGetsNothingAfterwards(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]platformtest.WorkerFaults{
		"errors": {ErrorAfterRun: true}, "cut": {Cut: true}, "slow": {Delay: 5 * rolloutResponseTime},
	} {
		t.Run(name, func(t *testing.T) {
			f := startRolloutFleet(t)
			f.workers["desk-3"].SetFaults(fault)
			f.workers["desk-4"].SetFaults(fault)
			f.sendFor(2 * time.Second)
			f.register("v2", "desk-3", "desk-4")
			f.store.OrderRollout("desk", "v2", rolloutDuration)
			f.is.True(f.sendUntil(rolloutDuration, f.hasStatus("reverted", "v2")))
			time.Sleep(rolloutResponseTime) // what was under way
			before := f.runsAt("desk-3", "desk-4")
			t.Logf("%d of %d requests ran at the bad version", before, f.sent.Load())
			f.is.True(before <= f.allowed())
			f.register("v2", "desk-5") // a further endpoint of the bad version
			f.sendFor(2 * time.Second)
			f.is.Equal(f.runsAt("desk-3", "desk-4", "desk-5"), before)
		})
	}
}

// Guards against a new owner that gives the new version a fresh allowance, or forgets the
// rollout.
func TestRolloutGoesOnUnderANewOwner(t *testing.T) {
	t.Parallel()
	f := startRolloutFleet(t)
	f.register("v2", "desk-3", "desk-4")
	f.store.OrderRollout("desk", "v2", 2*rolloutDuration)
	f.sendFor(4 * time.Second)
	before := f.runsAt("desk-3", "desk-4")
	f.is.True(before > 0)
	f.is.NoErr(f.hosts[0].daemon.Stop()) // the owner
	f.sendFor(3 * time.Second)
	t.Logf("%d of %d requests ran at the new version, %d of them before the owner was lost", f.runsAt("desk-3", "desk-4"), f.sent.Load(), before)
	f.is.True(f.runsAt("desk-3", "desk-4") <= f.allowed())
	f.is.True(f.sendUntil(2*rolloutDuration, f.hasStatus("completed", "v2")))
}

// Guards against requests beyond the reserve while the store is away, and against a
// rollout that does not go on after it.
func TestRolloutWaitsForAStoreThatIsAway(t *testing.T) {
	t.Parallel()
	f := startRolloutFleet(t)
	f.register("v2", "desk-3", "desk-4")
	f.store.OrderRollout("desk", "v2", rolloutDuration)
	f.sendFor(2 * time.Second)
	f.store.SetFaults(platformtest.StoreFaults{Down: true})
	f.sendFor(rolloutDuration) // beyond the time of the shift
	ran := f.runsAt("desk-3", "desk-4")
	t.Logf("%d of %d requests ran at the new version", ran, f.sent.Load())
	f.is.True(ran <= f.allowed())
	f.is.True(f.hasStatus("in_progress", "v2")())
	f.store.SetFaults(platformtest.StoreFaults{})
	f.is.True(f.sendUntil(2*rolloutDuration, f.hasStatus("completed", "v2")))
}

// Guards against an order that is forgotten for the one before it, or whose predecessor
// keeps its share.
func TestSecondOrderReplacesTheFirst(t *testing.T) {
	t.Parallel()
	f := startRolloutFleet(t)
	f.register("v2", "desk-3", "desk-4")
	f.store.OrderRollout("desk", "v2", rolloutDuration)
	f.sendFor(2 * time.Second)
	f.register("v3", "desk-5", "desk-6")
	f.store.OrderRollout("desk", "v3", rolloutDuration)
	f.is.True(f.sendUntil(2*time.Second, f.hasStatus("in_progress", "v3")))
	f.sendFor(500 * time.Millisecond)
	before := f.runsAt("desk-3", "desk-4")
	f.is.True(f.sendUntil(2*rolloutDuration, f.hasStatus("completed", "v3")))
	f.is.Equal(f.runsAt("desk-3", "desk-4"), before)
	f.is.True(f.runsAt("desk-5", "desk-6") > 0)
}

// Guards against orders that other deployments begin to read: they have no rollouts.
func TestOrdersAreNotReadWithoutExposureShare(t *testing.T) {
	t.Parallel()
	s := startPlatformDeployment(t)
	s.store.OrderRollout("desk", "v2", time.Second)
	s.store.SetVersionedWorker("desk-2", "desk", s.workerAddresses["desk-2"], "v2", time.Now())
	time.Sleep(time.Second)
	state, _ := s.store.RolloutStatus("desk")
	s.is.Equal(state, "")
	s.is.Equal(s.store.Get("kept/rollout/desk"), "")
}
