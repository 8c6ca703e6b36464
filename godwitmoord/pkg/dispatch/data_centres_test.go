package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/membership"
)

// Guards against a goal of another service, or a missing one, that decides when a path is
// expensive.
func TestTightestGoalIsThatOfTheRoutesToTheService(t *testing.T) {
	is := is.New(t)
	route := func(goal time.Duration, services ...string) configuration.Route {
		r := configuration.Route{Goal: document.Duration(goal)}
		for _, service := range services {
			r.Targets = append(r.Targets, configuration.Target{Service: service, Weight: 1})
		}
		return r
	}
	c := &configuration.Configuration{Routes: []configuration.Route{
		route(time.Second, "pool"), route(300*time.Millisecond, "desk", "pool"), route(100*time.Millisecond, "desk"), route(0, "pool", "batch"),
	}}
	is.Equal(tightestGoal(c, "pool"), 300*time.Millisecond)
	is.Equal(tightestGoal(c, "desk"), 100*time.Millisecond)
	is.Equal(tightestGoal(c, "batch"), time.Duration(0))
	is.Equal(tightestGoal(c, "other"), time.Duration(0))
}

// Guards against asks that are recorded with a data centre where that decides nothing, and
// against those that lack it where it does.
func TestOwnerKnowsTheDataCentreOfAnAskOnceAWayIsExpensive(t *testing.T) {
	is := is.New(t)
	_, s := entryBesideOwner()
	o := s.owner
	o.common.Settings.DataCentre = "lorient"
	o.members = membership.New(o.common)
	self := host.Identity{Name: o.common.Self.Name, Incarnation: 1}
	ask := entryMessage{Kind: askKind, Service: "pool", Ask: &permit.Ask{ID: "ask"}}
	is.NoErr(o.handle(self, ask))
	is.Equal(s.next().(permit.Asked).Ask.DataCentre, "")
	list := entryMessage{Kind: listKind, Service: "pool", RoundTrips: []permit.RoundTrip{{To: "brest", Time: time.Millisecond}}}
	is.NoErr(o.handle(self, list))
	measured := s.next().(permit.Measured)
	is.Equal(measured.DataCentre, "lorient")
	is.Equal(measured.RoundTrips, list.RoundTrips)
	_, isList := s.next().(permit.Listed)
	is.True(isList)
	is.NoErr(o.handle(self, ask))
	is.Equal(s.next().(permit.Asked).Ask.DataCentre, "lorient")
}
