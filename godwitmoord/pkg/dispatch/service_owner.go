package dispatch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

// serviceOwner is the state that this host keeps for one service while it acts as the
// service's owner. Its goroutine runs the decision core.
type serviceOwner struct {
	owner   *Owner
	service string
	// epoch and eventNumber identify this host's decisions in the decision record.
	epoch       int64
	eventNumber int64
	core        permit.Core
	events      ring.Ring[permit.Event]
	lateness    lateness
	slowdowns   slowdowns
	// hasExpensivePaths is set once a host measured a round trip to another data centre
	// that is expensive for the service.
	hasExpensivePaths atomic.Bool
	shares            shareReport
	// lastWrite is when the grants were last queued for writing to the store, and
	// lastAsk is when the last ask arrived.
	lastWrite time.Time
	lastAsk   time.Time
	// isOwner is set while this host is the owner according to its own list of ready
	// hosts. Hosts that can't reach the owner may send asks here even when it is
	// not set.
	isOwner atomic.Bool
	// outdated is set when another owner may have granted permits since this host
	// last read the persisted grants.
	outdated atomic.Bool
	// rereadAt is when to read the persisted grants of other owners once more, zero
	// if that is not needed. reread is set when that has been done. assumedShare is the
	// share of its quota that a customer without persisted grants is assumed to have used.
	rereadAt     time.Time
	reread       atomic.Bool
	assumedShare float64
	// unreadUntil is until when grants may count that are not known here, zero if all are.
	unreadUntil time.Time
	// handover tells when all hosts have listed their permits to this new owner.
	handover handover
	// told are the hosts that were told of the grants last.
	told []string
	// pageLost is set while this host's page may be missing from a restored store.
	pageLost atomic.Bool
	// pageNumber counts the times at which the grants were written or reported.
	pageNumber   int64
	rolloutTally rolloutTally
}

// configure queues the rules of the current configuration as an event.
func (s *serviceOwner) configure() {
	if event, known := s.currentRules(); known {
		s.offer(event)
	}
}

// offer queues an event for the decision core. An ask for which there is no room is
// refused.
func (s *serviceOwner) offer(event permit.Event) {
	if s.events.Offer(event) {
		return
	}
	s.owner.common.Count("owner.events.dropped")
	if asked, isAsk := event.(permit.Asked); isAsk {
		s.refuseOverdue(asked.Ask, minLateRetryAfter)
	}
}

// currentRules returns the rules of the service in the current configuration. It
// reports false for a removed service, which keeps its last rules until its requests
// end.
func (s *serviceOwner) currentRules() (event permit.Configured, known bool) {
	current := s.owner.release.Current()
	service, known := current.Configuration.Service(s.service)
	if !known {
		return event, false
	}
	event = permit.Configured{
		At:            instantNow(),
		Version:       current.Version,
		QueueLimit:    service.QueueLimit,
		GoodputWeight: current.Configuration.GoodputWeight,
		Endpoints:     s.versionedRules(endpointRules(service), service.Endpoints),
		Settle:        settleTime,
	}
	s.owner.addLimits(&event, service, &current.Configuration, s.quotaShare())
	return event, true
}

func endpointRules(service *configuration.Service) []permit.EndpointRules {
	rules := make([]permit.EndpointRules, len(service.Endpoints))
	for i, e := range service.Endpoints {
		rules[i] = permit.EndpointRules{
			Name:         e.Name,
			Limit:        e.InFlightLimit,
			PrefillSpeed: e.PrefillSpeed,
			DecodeSpeed:  e.DecodeSpeed,
			Leaving:      e.Leaving,
			DataCentre:   e.DataCentre,
		}
	}
	return rules
}

// run passes events to the decision core one at a time. The first event carries
// the rules and the persisted grants of earlier owners.
func (s *serviceOwner) run(ctx context.Context) {
	s.updateOwnership()
	s.outdated.Store(false)
	earlier := s.owner.grantWriter.readEarlierGrants(s.service)
	if !earlier.grants.NoEarlierOwner {
		s.assumedShare, s.rereadAt = assumedUsedShare, time.Now().Add(ownerChangeTime)
	}
	earlier.grants = s.withUnread(earlier.grants)
	if event, known := s.currentRules(); known {
		event.EarlierGrants = earlier.grants
		s.step(event)
		s.handover.begin(time.Now())
	}
	s.steerAtStart()
	s.adoptHeld(earlier.held)
	s.queuePage(nil)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.events.Values():
			s.observeAge(event)
			s.observeSlowness(event)
			if !s.refuseLate(event) {
				s.refreshEarlierGrants(event)
				s.step(event)
				s.checkHandover(event)
			}
		case <-ticker.C:
			// A core without waiting requests and held permits has nothing to expire.
			if waiting, held := s.core.Load(); waiting+held > 0 {
				s.step(permit.Ticked{At: instantNow()})
			}
			s.persistGrants()
			s.observeShift()
		}
	}
}

// quotaShare returns the share of each quota that this host may grant for the
// service. A host that receives asks while its own view names another owner may
// grant only a small share, because most hosts follow that other owner.
func (s *serviceOwner) quotaShare() float64 {
	share := s.owner.fleetShare()
	if !s.isOwner.Load() {
		return min(share, nonOwnerShare)
	}
	if share < 1 {
		// Other owners may grant from the same quota until all hosts have noticed
		// that the fleet is split.
		share *= partialFleetFactor
	}
	return share
}

// updateOwnership determines whether this host is the owner, and reports whether that
// changed.
func (s *serviceOwner) updateOwnership() bool {
	isOwner := s.owner.members.OwnerOf(s.service) == s.owner.common.Self.Name
	if s.isOwner.Swap(isOwner) == isOwner {
		return false
	}
	s.outdated.Store(isOwner)
	s.owner.common.Count("owner.changes")
	s.owner.common.Log.Info("ownership of a service changed", zap.String("service", s.service), zap.Bool("owner", isOwner))
	return true
}

func (s *serviceOwner) step(event permit.Event) {
	actions := s.core.Step(event)
	s.eventNumber++
	line := permit.Line{Service: s.service, Owner: s.owner.common.Self.Name, Epoch: s.epoch, Number: s.eventNumber}
	s.owner.record.Add(record.Line{Decision: &record.Decision{Line: line, Event: event, Actions: slices.Clone(actions)}})
	s.tallyRollout(actions)
	for _, action := range actions {
		s.sendDecision(action)
	}
}

// sendDecision sends a decision to the entry that holds the request.
func (s *serviceOwner) sendDecision(action permit.Action) {
	switch a := action.(type) {
	case permit.Granted:
		granted := s.endpoint(a.Endpoint)
		s.countLeaving(a)
		s.send(a.Host, ownerMessage{
			ID: a.ID, Endpoint: a.Endpoint, Address: granted.Address, Born: granted.Born, Estimate: a.Estimate,
			ReportFirstPart: a.ReportFirstPart, Rates: a.Rates, Limit: a.Limit, Slowness: a.Slowness, EndpointsAge: s.owner.release.EndpointsAge(),
		})
	case permit.Queued:
		s.send(a.Host, ownerMessage{Queued: a.IDs})
	case permit.Suspended:
		s.send(a.Host, ownerMessage{ID: a.ID, Suspend: true})
	case permit.Refused:
		s.countShare(a)
		s.send(a.Host, ownerMessage{ID: a.ID, Reason: a.Reason, RetryAfter: a.RetryAfter, Held: a.Held})
	case permit.LimitChanged:
		s.logLimit(a.Limit)
	case permit.CrashFound:
		s.reportCrash(a.Crash)
	case permit.PartsHeld:
		s.reportHeld(a.Held)
	case permit.PartsCleared:
		s.reportCleared(a.Key)
	}
}

// endpoint returns an endpoint of the configuration in force, or one without an
// address if it is no longer there.
func (s *serviceOwner) endpoint(name string) configuration.Endpoint {
	current := s.owner.release.Current()
	service, known := current.Configuration.Service(s.service)
	if !known {
		return configuration.Endpoint{}
	}
	e, _ := service.Endpoint(name)
	return e
}

func (s *serviceOwner) send(name string, m ownerMessage) { s.owner.send(name, m) }
