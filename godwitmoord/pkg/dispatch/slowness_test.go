package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

// entryBesideOwner returns an entry and the owner of its service on the same host, whose
// events nobody decides.
func entryBesideOwner() (*Entry, *serviceOwner) {
	o := ownerOnPlatform()
	s := &serviceOwner{owner: o, service: "pool", events: ring.New[permit.Event](64)}
	o.services = map[string]*serviceOwner{"pool": s}
	e := NewEntry(o.common)
	e.localOwner, e.members = o, o.members
	return e, s
}

// grantOf returns a grant for an endpoint of whose slowness the owner heard.
func (e *Entry) grantOf(endpoint string, heard float64) *Grant {
	return &Grant{entry: e, service: "pool", owner: e.common.Self.Name, knownSlowness: heard, Permit: permit.Permit{ID: "ask", Endpoint: endpoint}}
}

// next returns the next event that the owner received.
func (s *serviceOwner) next() permit.Event { return <-s.events.Values() }

// Guards against a message for each response, and against changes that the owner does
// not hear of.
func TestEntryReportsASlownessOnlyIfItDiffersByAQuarter(t *testing.T) {
	for _, test := range []struct {
		name         string
		heard, named float64
		reported     bool
	}{
		{name: "the usual, of which nothing was heard", named: 1},
		{name: "nearly the usual", named: 1.2},
		{name: "the first slow one", named: 1.25, reported: true},
		{name: "a fast one", named: 0.75, reported: true},
		{name: "the same", heard: 2.5, named: 2.5},
		{name: "nearly the same", heard: 2.5, named: 2},
		{name: "slower", heard: 2.5, named: 3.2, reported: true},
		{name: "the usual again", heard: 2.5, named: 1, reported: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e, s := entryBesideOwner()
			g := e.grantOf("i-1", test.heard)
			g.ReportSlowness(test.named)
			is.Equal(s.events.Len() == 1, test.reported)
			g.ReportSlowness(test.named) // with a further head of the same response
			is.Equal(s.events.Len() == 1, test.reported)
			if test.reported {
				is.Equal(s.next().(permit.Slowed).Slowness, test.named)
			}
		})
	}
}

// Guards against messages at a steady value: the owner's grants say what it heard.
func TestSteadySlownessCostsNoMessages(t *testing.T) {
	is := is.New(t)
	e, s := entryBesideOwner()
	var core permit.Core
	core.Step(permit.Configured{At: instantNow(), QueueLimit: 9, Endpoints: []permit.EndpointRules{{Name: "i-1", Limit: 1, DecodeSpeed: 10}}})
	const responses = 50
	messages := 0
	for range responses {
		granted := core.Step(permit.Asked{At: instantNow(), Ask: permit.Ask{ID: "ask", Deadline: instantNow().After(time.Minute)}})[0].(permit.Granted)
		e.grantOf("i-1", granted.Slowness).ReportSlowness(2.5)
		for ; s.events.Len() > 0; messages++ {
			core.Step(s.next())
		}
		core.Step(permit.Finished{At: instantNow(), ID: "ask", Usage: permit.Usage{Total: time.Millisecond}})
	}
	is.Equal(messages, 1) // of the first response
}

// Guards against a slowness that a message tells although it is old or usual, and against
// one that it does not tell.
func TestMessagesThatAreSentAnywayTellTheLatestSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, s := entryBesideOwner()
		g := e.grantOf("i-1", 2.5)
		g.ReportSlowness(2.5)
		time.Sleep(permit.SlownessSpan / 2)
		g.Progressed(permit.Usage{FirstByte: time.Millisecond})
		slowed := s.next().(permit.Slowed)
		is.Equal(slowed.Slowness, 2.5)
		is.Equal(slowed.Age, permit.SlownessSpan/2)
		is.Equal(s.next().(permit.Progressed).Usage.Slowness, 2.5)
		e.grantOf("i-1", 2.5).Failed(permit.Lost, false) // another request of the same endpoint
		is.Equal(s.next().(permit.Slowed).Slowness, 2.5)
		_, isFailed := s.next().(permit.Failed)
		is.True(isFailed)
		time.Sleep(permit.SlownessSpan / 2)
		g.Done(permit.Usage{Total: time.Second})
		is.Equal(s.next().(permit.Finished).Usage.Slowness, 2.5) // of its own response, for the rates
		is.Equal(s.events.Len(), 0)
		recovered := e.grantOf("i-1", 0)
		recovered.ReportSlowness(1)
		recovered.Done(permit.Usage{Total: time.Second})
		is.Equal(s.next().(permit.Finished).Usage.Slowness, 0.0)
		is.Equal(s.events.Len(), 0)
	})
}

// Guards against an endpoint that names no slowness, or the usual one, whose messages
// change all the same.
func TestMessagesOfUsualEndpointsAreTheSameAsBefore(t *testing.T) {
	is := is.New(t)
	before, err := cbor.Marshal(finishMessage())
	is.NoErr(err)
	e, _ := entryBesideOwner()
	g := e.grantOf("i-1", 0)
	g.ReportSlowness(1)
	m := finishMessage()
	m.Usage.Slowness, m.Slowness = g.slownessOfAnswer(), g.latestSlowness()
	after, err := cbor.Marshal(m)
	is.NoErr(err)
	is.Equal(before, after)
}

// Guards against a table of slow endpoints that grows with every endpoint that ever was.
func TestEntryForgetsOldSlownesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, _ := entryBesideOwner()
		e.grantOf("i-1", 0).ReportSlowness(2.5)
		time.Sleep(permit.SlownessSpan)
		e.grantOf("i-2", 0).ReportSlowness(2.5)
		is.Equal(len(e.slownesses), 1)
		e.grantOf("i-2", 2.5).ReportSlowness(1)
		is.Equal(len(e.slownesses), 0)
	})
}

func TestSlowEndpointsAreLoggedAtALimitedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s slowdowns
		is.True(!s.observe(permit.Slowed{Endpoint: "i-1", Slowness: 1})) // nothing is slow
		is.True(s.observe(permit.Slowed{Endpoint: "i-1", Slowness: 2.5}))
		is.Equal(s.slowest.Endpoint, "i-1")
		s = slowdowns{loggedAt: time.Now()}
		is.True(!s.observe(permit.Slowed{Endpoint: "i-2", Slowness: 2.5}))
		time.Sleep(slowdownLogInterval)
		is.True(s.observe(permit.Slowed{Endpoint: "i-2", Slowness: 1}))
		is.Equal(len(s.endpoints), 1)
		is.Equal(s.reports, 2)
	})
}

// Guards against a slowness that the owner never hears of because one report was lost.
func TestNextResponseRepeatsALostReport(t *testing.T) {
	is := is.New(t)
	e, s := entryBesideOwner()
	e.grantOf("i-1", 0).ReportSlowness(2.5)
	s.next() // lost: the next grant says what the owner had heard before
	e.grantOf("i-1", 0).ReportSlowness(2.5)
	is.Equal(s.next().(permit.Slowed).Slowness, 2.5)
}
