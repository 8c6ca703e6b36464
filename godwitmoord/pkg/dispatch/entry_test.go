package dispatch

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

func TestGrantToAnEarlierIncarnationDoesNotEndAHostWithoutAConfiguration(t *testing.T) {
	is := is.New(t)
	o := ownerOnPlatform()
	o.release = release.New(o.common, nil)
	e := NewEntry(o.common)
	e.localOwner = o
	message, err := cbor.Marshal(ownerMessage{ID: "ask-1", Endpoint: "engine-1"})
	is.NoErr(err)
	is.NoErr(e.receive(host.Identity{Name: "entry-2", Incarnation: 1}, message))
}

func TestEntryReportsALimitThatTheOwnerDoesNotKnow(t *testing.T) {
	known := permit.RateLimit{Endpoint: "i-1", Named: true, PerSecond: 4}
	for _, test := range []struct {
		name      string
		known     *permit.RateLimit
		named     bool
		perSecond float64
		reported  bool
	}{
		{name: "none, as known"},
		{name: "a first limit", named: true, perSecond: 4, reported: true},
		{name: "the limit that is known", known: &known, named: true, perSecond: 4},
		{name: "another limit", known: &known, named: true, perSecond: 2, reported: true},
		{name: "none any more", known: &known, reported: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			o := ownerOnPlatform()
			s := &serviceOwner{owner: o, service: "pool", events: ring.New[permit.Event](4)}
			o.services = map[string]*serviceOwner{"pool": s}
			e := NewEntry(o.common)
			e.localOwner, e.members = o, o.members
			g := &Grant{entry: e, service: "pool", owner: o.common.Self.Name, limit: test.known, Permit: permit.Permit{Endpoint: "i-1"}}
			g.ReportLimit(test.named, test.perSecond)
			is.Equal(s.events.Len() == 1, test.reported)
			_, stored := e.limits["pool"]["i-1"]
			is.Equal(stored, test.named)
		})
	}
}
