package discovery

import (
	"fmt"
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
	s.members = membership.New(c)
	s.members.SetPhase(membership.Ready)
	s.release = release.New(c, nil)
	return s
}

func TestFewHostsProveTheConfigurationForAll(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 64 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	is.Equal(len(host.Ranked(names, proverRankingKey, max(minProvers, len(names)/hostsPerProver))), 8)
	is.Equal(newLoneHost().configurationWatchDuration(), proverWatchDuration) // a host alone provides its own proof
}

// scriptedState returns a fixed version in force, age of its proof, and newest
// version on other hosts.
type scriptedState struct {
	version, elsewhere int64
	age                time.Duration
}

func (s scriptedState) InForceVersion() int64   { return s.version }
func (s scriptedState) Age(int64) time.Duration { return s.age }
func (s scriptedState) NewestVersion() int64    { return s.elsewhere }

func TestHostReadsConfigurationWithoutFreshProof(t *testing.T) {
	is := is.New(t)
	needsRead := func(s scriptedState) bool {
		c := &freshnessChecker{inForce: s, others: s}
		return c.needsRead()
	}
	is.True(!needsRead(scriptedState{}))          // the first listing is in progress
	is.True(needsRead(scriptedState{version: 7})) // never proven
	is.True(!needsRead(scriptedState{version: 7, elsewhere: 7, age: 2 * time.Second}))
	is.True(needsRead(scriptedState{version: 7, elsewhere: 7, age: 4 * time.Second})) // the proofs of other hosts stopped
	is.True(needsRead(scriptedState{version: 7, elsewhere: 8, age: time.Second}))     // its own watch missed version 8
}
