package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/notice"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// newLoneHost returns the service of a host that is ready and has met no other host.
func newLoneHost() *Service {
	c := &common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Kernel: kernel.New(zap.NewNop()),
		Self: host.Identity{Name: "entry-1", Incarnation: 1},
		Settings: settings.Settings{Platform: &settings.Platform{
			KeyRevocation: document.Duration(5 * time.Second), LeavingBound: document.Duration(2 * time.Second),
		}},
	}
	s := New(c, notice.New(c), &scriptedStore{}, nil)
	members := membership.New(c)
	members.SetPhase(membership.Ready)
	s.members = members
	s.joined.Store(true)
	s.release = release.New(c, nil)
	return s
}

func TestHostAloneReadsTheStoreItself(t *testing.T) {
	is := is.New(t)
	s := newLoneHost()
	is.Equal(dutyOf(s.rank(), false), proves)
}

func TestReadersOfTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	count := map[duty]int{}
	for rank := range 350 {
		count[dutyOf(rank, false)]++
	}
	is.Equal(count[proves], provers)
	is.Equal(count[listens], listeners)
	is.Equal(dutyOf(notRanked, false), follows)
	is.Equal(dutyOf(notRanked, true), proves)
}

func TestHostWithoutFreshProofAsksAndThenReads(t *testing.T) {
	is := is.New(t)
	b := freshnessBudget{bound: 5 * time.Second}
	follower := freshness{duty: follows, rank: notRanked, joined: true, fleet: 295, chance: 1}
	at := func(f freshness, age time.Duration) step {
		f.age = age
		return f.next(b)
	}
	is.Equal(at(follower, time.Second), rest)
	is.Equal(at(follower, 2*time.Second), askStep)
	is.Equal(at(follower, 4*time.Second), askStep) // the provers answer, so it leaves the store to a few others
	follower.unanswered = true
	is.Equal(at(follower, 3*time.Second), askStep)
	is.Equal(at(follower, 3500*time.Millisecond), standInStep) // nobody else helps, and its keys end soon
	first, second := freshness{duty: listens, rank: provers, joined: true}, freshness{duty: listens, rank: provers + 1, joined: true}
	is.Equal(at(first, 2400*time.Millisecond), standInStep)
	is.Equal(at(second, 2400*time.Millisecond), askStep) // waits for the first
	is.Equal(at(second, 2500*time.Millisecond), standInStep)
	starting := freshness{rank: provers, unproven: true}
	is.Equal(at(starting, 3*time.Second), askStep) // it does not know yet which hosts there are
	prover := freshness{duty: proves}
	is.Equal(at(prover, 2*time.Second), rest)
	is.Equal(at(prover, 2500*time.Millisecond), askStep) // another host may stand in for it
	is.Equal(at(prover, 4*time.Second), listStep)        // its own watch is silent
}

func TestHostFetchesANewerConfigurationFromAnother(t *testing.T) {
	is := is.New(t)
	b := freshnessBudget{bound: 5 * time.Second}
	is.Equal(freshness{duty: follows, rank: notRanked, behind: 100 * time.Millisecond}.next(b), rest) // a notice is on its way
	for _, d := range []duty{follows, listens, proves} {
		is.Equal(freshness{duty: d, rank: notRanked, behind: time.Second}.next(b), fetchStep)
	}
}

func TestWaitsOnTheWayOfAProofFitItsBound(t *testing.T) {
	is := is.New(t)
	for _, bound := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second} {
		b := freshnessBudget{bound: bound}
		// A proof is as old as a watch when the next one brings it, and a host that asked
		// just before that asks again.
		oldest := b.watch() + maxAnswerDelay + b.askPause() + freshnessCheckInterval
		is.True(oldest <= bound*7/10)
		is.True(oldest <= b.standIn() || bound < 5*time.Second) // nobody stands in while the provers are well
		last := b.standIn() + time.Duration(maxRankedStandIns)*b.standInStep()
		is.True(last <= bound*7/10)
		is.True(b.lastResort()+b.jitter() <= bound*7/10)
	}
}

// maxRankedStandIns is the number of hosts that rank after the provers, of the twelve that
// package membership ranks.
const maxRankedStandIns = 12 - provers

func TestStandInPausesLongerAfterEachFailure(t *testing.T) {
	is := is.New(t)
	var s standIn
	now := time.Now()
	is.True(s.begin(now, 10*time.Second))
	is.True(s.active(now.Add(9 * time.Second)))
	is.True(!s.begin(now.Add(time.Second), 10*time.Second)) // the term is running
	for pause := minStandInPause; pause <= maxStandInPause; pause *= 2 {
		s.fail(now, 0)
		is.True(!s.active(now))
		is.True(!s.begin(now.Add(pause-1), 10*time.Second))
		now = now.Add(pause)
		is.True(s.begin(now, 10*time.Second))
	}
	s.succeed()
	s.fail(now, 0)
	is.True(s.begin(now.Add(minStandInPause), 10*time.Second))
}
