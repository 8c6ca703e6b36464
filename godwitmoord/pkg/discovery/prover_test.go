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
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// loneHost returns the service of a host that is ready and has met no other host.
func loneHost() *Service {
	c := &common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Kernel: kernel.New(zap.NewNop()),
		Self:     host.Identity{Name: "entry-1", Incarnation: 1},
		Settings: settings.Settings{Platform: &settings.Platform{KeyRevocation: document.Duration(5 * time.Second)}},
	}
	s := New(c, &played{}, nil)
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
	is.Equal(loneHost().configurationWatchDuration(), proverWatchDuration) // a host alone provides its own proof
}

// told scripts the version in force, the age of its proof, and the newest version
// on other hosts.
type told struct {
	version, elsewhere int64
	age                time.Duration
}

func (k told) InForceVersion() int64   { return k.version }
func (k told) Age(int64) time.Duration { return k.age }
func (k told) NewestVersion() int64    { return k.elsewhere }

func TestHostLooksForItselfWhenItMust(t *testing.T) {
	is := is.New(t)
	due := func(k told) bool {
		c := &freshnessChecker{inForce: k, others: k}
		return c.needsRead()
	}
	is.True(!due(told{}))          // the first listing is in progress
	is.True(due(told{version: 7})) // never proven
	is.True(!due(told{version: 7, elsewhere: 7, age: 2 * time.Second}))
	is.True(due(told{version: 7, elsewhere: 7, age: 4 * time.Second})) // the proofs of other hosts stopped
	is.True(due(told{version: 7, elsewhere: 8, age: time.Second}))     // its own watch missed version 8
}
