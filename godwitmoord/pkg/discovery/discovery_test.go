package discovery

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/notice"
)

// plainLayout is a layout in which every entry is an endpoint of one service.
type plainLayout struct{ Layout }

func (plainLayout) EndpointName(key string) (string, bool) {
	return strings.CutPrefix(key, "endpoints/")
}

func (plainLayout) EndpointPrefix() string { return "endpoints/" }

func (plainLayout) ConfigurationKey() string { return "configuration" }

func (plainLayout) Endpoint(name string, _ []byte) (string, configuration.Endpoint, error) {
	return "desk", configuration.Endpoint{Name: name, Address: "127.0.0.1:1"}, nil
}

// newLoneHostWithEndpoints returns a lone host that follows the endpoints of a
// plainLayout.
func newLoneHostWithEndpoints() *Service {
	s := newLoneHost()
	s.layout = plainLayout{}
	s.endpoints = &follower{service: s}
	s.currentDuty.Store(uint32(proves))
	return s
}

// present returns the change by which an endpoint is written at a revision.
func present(name string, revision int64) keyvalue.Change {
	return keyvalue.Change{Entry: keyvalue.Entry{Key: "endpoints/" + name, Revision: revision}}
}

// removed returns the change by which endpoint i-1 is removed at a revision.
func removed(revision int64) keyvalue.Change {
	c := present("i-1", revision)
	c.Removed = true
	return c
}

func TestListenerTakesEndpointOutOfUseInTime(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		s := newLoneHostWithEndpoints()
		s.currentDuty.Store(uint32(listens))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.loop(ctx)
		s.applyEndpoints(update{changes: []keyvalue.Change{present("i-1", 5)}, revision: 5})
		s.applyEndpoints(update{changes: []keyvalue.Change{removed(6)}, revision: 6})
		time.Sleep(s.budget().grace() - 100*time.Millisecond)
		is.True(!s.release.HasLeft("i-1")) // its entry may have lapsed in an outage of the store
		time.Sleep(300 * time.Millisecond) // well before the long watch of this host ends
		is.True(s.release.HasLeft("i-1"))
	})
}

func TestRemovalThatWaitedInAPauseEndsUseEarlier(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		s := newLoneHostWithEndpoints()
		s.currentDuty.Store(uint32(listens))
		s.applyEndpoints(update{changes: []keyvalue.Change{present("i-1", 5)}, revision: 5})
		s.applyEndpoints(update{changes: []keyvalue.Change{removed(6)}, revision: 6, age: s.budget().longPause()})
		time.Sleep(s.budget().grace() - s.budget().longPause())
		s.expire()
		is.True(s.release.HasLeft("i-1"))
	})
}

func TestWaitsOnTheWayOfALeavingFitItsBound(t *testing.T) {
	is := is.New(t)
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 10 * time.Second} {
		b := budget{bound: bound}
		is.True(b.shortPause() <= b.longPause())
		// Only listeners hear the store, and their notice misses the sending host.
		is.True(b.longPause()+b.spread()+b.repair()+b.forward() <= bound*7/10)
		// The pause and the age of the notice are taken off the grace.
		is.True(b.grace()+b.spread()+b.forward() < bound)
		// All readers are lost, and this host reads the store itself.
		is.True(b.silence()+2*b.answer()+3*b.contactCheck()+b.forward() <= bound*7/10)
	}
}

func TestHostThatTheStoreTurnsAwayFollowsTheChangesOfOthers(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		inTouch, turnedAway := newLoneHostWithEndpoints(), newLoneHostWithEndpoints()
		start := update{changes: []keyvalue.Change{present("i-1", 5), present("i-2", 5)}, revision: 5, complete: true}
		inTouch.applyEndpoints(start)
		turnedAway.applyEndpoints(start)
		turnedAway.endpoints.lost = true
		passOn(inTouch, turnedAway, update{changes: []keyvalue.Change{present("i-3", 6), removed(7)}, revision: 7})
		is.Equal(turnedAway.table.PresentNames(), []string{"i-2", "i-3"})
		is.True(turnedAway.release.HasLeft("i-1")) // a host in touch knows that the entry did not lapse
	})
}

func TestHostThatHeardTheStoreIsNotMisledByAnOlderChange(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		behind, current := newLoneHostWithEndpoints(), newLoneHostWithEndpoints()
		current.applyEndpoints(update{revision: 9, complete: true})
		passOn(behind, current, update{changes: []keyvalue.Change{present("i-1", 5)}, revision: 5})
		is.Equal(len(current.table.PresentNames()), 0)
	})
}

func TestEndpointThatSaysThatItLeavesIsOutOfUseUntilItStartsAgain(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		s := newLoneHostWithEndpoints()
		leaving := func() bool { return s.table.ByService()["desk"][0].Leaving }
		s.applyEndpoints(update{changes: []keyvalue.Change{present("i-1", 5)}, revision: 5})
		s.ReportLeaving("i-1", 0)
		is.True(leaving())
		s.applyEndpoints(update{changes: []keyvalue.Change{present("i-1", 6)}, revision: 6})
		is.True(leaving()) // the same run of its process wrote its entry once more
		s.table.Put("desk", configuration.Endpoint{Name: "i-1", Address: "127.0.0.1:1", Born: 7}, 8)
		is.True(!leaving())
		s.ReportLeaving("i-1", 6)
		is.True(!leaving()) // an earlier run said so
	})
}

// passOn applies an update to one host, and what it passes on to the other.
func passOn(from, to *Service, u update) {
	from.notices = &directNotices{to: to}
	from.applyEndpoints(u)
}

// directNotices passes published notices to another host at once.
type directNotices struct {
	notices
	to *Service
}

func (d *directNotices) Publish(n notice.Notice) { d.to.acceptChange(n) }

func (*directNotices) Keep(notice.Notice) {}
