package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

// seat is the state that this host keeps for one service while it acts as the
// service's owner. Its goroutine runs the decision core.
type seat struct {
	owner   *Owner
	service string
	epoch   int64
	number  int64
	core    permit.Core
	events  ring.Ring[permit.Event]
	// kept is when the grants were last queued for writing to the store, and
	// asked is when the last ask arrived.
	kept  time.Time
	asked time.Time
	// inherited holds the grants of an earlier incarnation of this host, with their
	// ages at inheritedAt.
	inherited   []permit.Spending
	inheritedAt time.Time
	// chosen is set while this host is the owner according to its own list of ready
	// hosts. Hosts that can't reach the owner may send asks here even when it is
	// not set.
	chosen atomic.Bool
	// outdated is set when another owner may have granted permits since this host
	// last read the persisted grants.
	outdated atomic.Bool
	// lookAgain is when to read the persisted grants of other owners once more, zero
	// if that is not needed. assumed is the share of its quota that a customer
	// without persisted grants is assumed to have used.
	lookAgain time.Time
	assumed   float64
}

// configure queues the rules of the current configuration as an event.
func (s *seat) configure() {
	event, known := s.rules()
	if known && !s.events.Offer(event) {
		s.owner.common.Count("owner.events.dropped")
	}
}

// rules returns the rules of the service in the current configuration. It reports
// false for a removed service, which keeps its last rules until its requests end.
func (s *seat) rules() (event permit.Configured, known bool) {
	current := s.owner.release.Current()
	service, known := current.Configuration.Service(s.service)
	if !known {
		return event, false
	}
	event = permit.Configured{
		At:            instantNow(),
		Version:       current.Version,
		Tiers:         current.Configuration.TierCount(),
		QueueLimit:    service.QueueLimit,
		GoodputWeight: current.Configuration.GoodputWeight,
		Endpoints:     rulesOf(service),
		Settle:        settleTime,
	}
	s.owner.bound(&event, service, &current.Configuration, s.quotaShare())
	return event, true
}

func rulesOf(service *configuration.Service) []permit.EndpointRules {
	rules := make([]permit.EndpointRules, len(service.Endpoints))
	for i, e := range service.Endpoints {
		rules[i] = permit.EndpointRules{
			Name:         e.Name,
			Limit:        e.InFlightLimit,
			PrefillSpeed: e.PrefillSpeed,
			DecodeSpeed:  e.DecodeSpeed,
			Leaving:      e.Leaving,
		}
	}
	return rules
}

// run passes events to the decision core one at a time. The first event carries
// the rules and the persisted grants of earlier owners.
func (s *seat) run(ctx context.Context) {
	s.choose()
	s.outdated.Store(false)
	before, earlier := s.owner.keeper.before(s.service)
	s.inherit(earlier)
	if !before.First {
		s.assumed, s.lookAgain = unwrittenShare, time.Now().Add(noticeTime)
	}
	if event, known := s.rules(); known {
		event.Before = before
		s.step(event)
	}
	s.write(nil)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.events.Slots():
			s.regain(event)
			s.step(event)
		case <-ticker.C:
			// A core without waiting requests and held permits has nothing to expire.
			if waiting, held := s.core.Load(); waiting+held > 0 {
				s.step(permit.Ticked{At: instantNow()})
			}
			s.keep()
		}
	}
}

// quotaShare returns the share of each quota that this host may grant for the
// service. A host that receives asks while its own view names another owner may
// grant only a small share, because most hosts follow that other owner.
func (s *seat) quotaShare() float64 {
	share := s.owner.fleetShare()
	if !s.chosen.Load() {
		return min(share, besideShare)
	}
	if share < 1 {
		// Other owners may grant from the same quota until all hosts have noticed
		// that the fleet is split.
		share *= partialShare
	}
	return share
}

// choose determines whether this host is the owner, and reports whether that
// changed.
func (s *seat) choose() bool {
	chosen := ownerOf(s.owner.members.ReadyNames(), s.service) == s.owner.common.Self.Name
	if s.chosen.Swap(chosen) == chosen {
		return false
	}
	s.outdated.Store(chosen)
	return true
}

// regain reads the grants of other owners before an ask is decided, if this host
// has just become the owner or has received no ask for longer than awayTime, as
// asks may have gone to another owner. It reads them a second time after
// noticeTime, because the other owner may have granted permits until all hosts
// noticed the change.
func (s *seat) regain(event permit.Event) {
	if _, isAsk := event.(permit.Asked); !isAsk || s.owner.keeper.store == nil {
		return
	}
	away := time.Since(s.asked)
	switch {
	case s.outdated.Swap(false) || (!s.asked.IsZero() && away > awayTime):
		s.assumed = unwrittenShare * s.windowShare(away)
		s.lookAgain = time.Now().Add(noticeTime)
		s.look()
	case !s.lookAgain.IsZero() && time.Now().After(s.lookAgain):
		s.lookAgain = time.Time{}
		s.look()
	}
	s.asked = time.Now()
}

// windowShare returns d as a fraction of the quota window, at most 1.
func (s *seat) windowShare(d time.Duration) float64 {
	window := s.owner.common.Settings.Platform.QuotaWindow.Std()
	return min(1, d.Seconds()/max(window.Seconds(), 1))
}

// look reads the persisted grants of other owners and passes them to the core.
func (s *seat) look() {
	before, _ := s.owner.keeper.before(s.service)
	before.Assumed = min(before.Assumed, s.assumed)
	// This host has already overwritten the page of its earlier incarnation, so
	// the store no longer holds those grants.
	before.Spent = append(before.Spent, s.stillInherited()...)
	s.step(permit.Regained{At: instantNow(), Before: before})
}

func (s *seat) step(event permit.Event) {
	actions := s.core.Step(event)
	s.number++
	line := permit.Line{Service: s.service, Owner: s.owner.common.Self.Name, Epoch: s.epoch, Number: s.number}
	line, err := line.WithDecision(event, actions)
	if err != nil {
		s.owner.common.Log.Error("decision cannot be recorded", zap.Error(err))
	} else {
		s.owner.record.Add(record.Line{Decision: &line})
	}
	for _, action := range actions {
		s.announce(action)
	}
}

// announce sends a decision to the entry that holds the request.
func (s *seat) announce(action permit.Action) {
	switch a := action.(type) {
	case permit.Granted:
		s.tell(a.Host, ownerMessage{ID: a.ID, Endpoint: a.Endpoint, Address: s.address(a.Endpoint), Estimate: a.Estimate, Teach: a.Teach, Pace: a.Pace})
	case permit.Suspended:
		s.tell(a.Host, ownerMessage{ID: a.ID, Suspend: true})
	case permit.Refused:
		s.tell(a.Host, ownerMessage{ID: a.ID, Reason: a.Reason, RetryAfter: a.RetryAfter})
	}
}

// address returns the address of an endpoint, empty if the endpoint is no longer
// in the configuration.
func (s *seat) address(endpoint string) string {
	current := s.owner.release.Current()
	service, known := current.Configuration.Service(s.service)
	if !known {
		return ""
	}
	e, _ := service.Endpoint(endpoint)
	return e.Address
}

func (s *seat) tell(name string, m ownerMessage) {
	o := s.owner
	if name != o.common.Self.Name {
		if !o.outbox.Send(o.ctx, name, m) {
			o.common.Count("owner.messages.dropped")
		}
		return
	}
	o.local(o.common.Self, m)
}
