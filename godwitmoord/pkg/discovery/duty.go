package discovery

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// provers is the number of hosts that watch the configuration and the endpoints for
	// all others, and listeners the number of those that watch the endpoints only.
	// Neither grows with the fleet. The listeners rarely call the store; with them,
	// a leaving is heard in time although the store turns half of the hosts away.
	provers   = 2
	listeners = 4
	// notRanked is the rank of a host that is not among the readers of the store.
	notRanked = -1
)

// duty is what a host asks the platform's store for, on behalf of all hosts.
type duty uint8

const (
	// follows: nothing. The host learns all from other hosts.
	follows duty = iota
	// listens: the endpoints, with long watches.
	listens
	// proves: the endpoints and the configuration, with short watches.
	proves
)

// String returns the name of the duty in logs.
func (d duty) String() string {
	switch d {
	case proves:
		return "proves"
	case listens:
		return "listens"
	default:
		return "follows"
	}
}

// dutyOf returns the duty of a host by its rank among the readers of the store.
func dutyOf(rank int, standsIn bool) duty {
	switch {
	case standsIn || (rank >= 0 && rank < provers):
		return proves
	case rank >= 0 && rank < provers+listeners:
		return listens
	default:
		return follows
	}
}

// rank returns this host's place among the readers of the store, or notRanked.
func (s *Service) rank() int {
	return slices.Index(s.members.StoreReaders(), s.common.Self.Name)
}

// updateDuty determines the duty of this host, and wakes the followers that it starts.
func (s *Service) updateDuty() {
	d, unconfirmed := follows, false
	if s.joined.Load() {
		rank, now := s.rank(), time.Now()
		d = dutyOf(rank, s.standIn.active(now))
		unconfirmed = dutyOf(rank, false) == follows && !s.standIn.confirmedNow(now)
	}
	before, wasUnconfirmed := duty(s.currentDuty.Swap(uint32(d))), s.unconfirmed.Swap(unconfirmed)
	if before == d && wasUnconfirmed == unconfirmed {
		return
	}
	s.common.Log.Info("duty at the store", zap.Stringer("duty", d), zap.Stringer("before", before), zap.Bool("unconfirmed", unconfirmed))
	s.configurationFollower.wakeUp()
	s.endpoints.wakeUp()
}

// duty returns the duty of this host.
func (s *Service) duty() duty { return duty(s.currentDuty.Load()) }
