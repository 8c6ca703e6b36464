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

// seat is this host's ownership of one service.
type seat struct {
	owner   *Owner
	service string
	epoch   int64
	number  int64
	core    permit.Core
	events  ring.Ring[permit.Event]
	// kept is when the grants were last written down, asked when the last ask
	// came.
	kept  time.Time
	asked time.Time
	// inherited is what an earlier life of this host granted, as old as it was at
	// inheritedAt.
	inherited   []permit.Spending
	inheritedAt time.Time
	// chosen is set while this host is the owner by its own view. Others may take
	// it for one when they can't reach the owner.
	chosen atomic.Bool
	// outdated is set when another owner may have granted since the last look.
	outdated atomic.Bool
	// lookAgain is when to look once more at what others granted, zero if it is not
	// needed; assumed is the share of a quota taken as used of which they wrote
	// nothing.
	lookAgain time.Time
	assumed   float64
}

// configure queues the rules in force.
func (s *seat) configure() {
	event, known := s.rules()
	if known && !s.events.Offer(event) {
		s.owner.common.Count("owner.events.dropped")
	}
}

// rules gives the rules in force. A service that was removed keeps its last ones
// until its requests end.
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

// run decides, one event at a time. The rules come first, and before them what
// is known of grants by earlier owners.
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
			// Time changes nothing for a core that holds nothing.
			if waiting, held := s.core.Load(); waiting+held > 0 {
				s.step(permit.Ticked{At: instantNow()})
			}
			s.keep()
		}
	}
}

// quotaShare gives the part of each quota that this seat may grant. Beside the
// owner that most hosts follow, it may grant a little, until it is the owner by
// its own view too.
func (s *seat) quotaShare() float64 {
	share := s.owner.fleetShare()
	if !s.chosen.Load() {
		return min(share, besideShare)
	}
	if share < 1 {
		// Others grant too until all have noticed.
		share *= partialShare
	}
	return share
}

// choose looks whether this host is the owner, and tells whether that changed.
func (s *seat) choose() bool {
	chosen := ownerOf(s.owner.members.ReadyNames(), s.service) == s.owner.common.Self.Name
	if s.chosen.Swap(chosen) == chosen {
		return false
	}
	s.outdated.Store(chosen)
	return true
}

// regain takes in what others granted while no ask came here for a while: they
// may have gone to another owner. It looks once more when all have noticed the
// change, as the other owner may have granted until then.
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

// windowShare gives how much of a window a time fills, at most all of it.
func (s *seat) windowShare(d time.Duration) float64 {
	window := s.owner.common.Settings.Platform.QuotaWindow.Std()
	return min(1, d.Seconds()/max(window.Seconds(), 1))
}

// look reads what other owners granted.
func (s *seat) look() {
	before, _ := s.owner.keeper.before(s.service)
	before.Assumed = min(before.Assumed, s.assumed)
	// The page of an earlier life of this host is overwritten by now.
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

// announce tells the entry what was decided.
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

// address gives where an endpoint is; empty if it left the configuration.
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
