package dispatch

import (
	"time"

	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
)

// refreshEarlierGrants reads the grants of other owners before an ask is decided, if
// this host has just become the owner or has received no ask for longer than
// maxAskGap, as asks may have gone to another owner. It reads them a second time
// after ownerChangeTime, because the other owner may have granted permits until all
// hosts noticed the change.
func (s *serviceOwner) refreshEarlierGrants(event permit.Event) {
	if _, isAsk := event.(permit.Asked); !isAsk || s.owner.grantWriter.store == nil {
		return
	}
	gap := time.Since(s.lastAsk)
	switch {
	case s.outdated.Swap(false):
		s.assumedShare = assumedUsedShare * s.windowFraction(gap)
		s.rereadAt = time.Now().Add(ownerChangeTime)
		s.rereadAsNewOwner()
	case !s.lastAsk.IsZero() && gap > maxAskGap:
		s.assumedShare = assumedUsedShare * s.windowFraction(gap)
		s.rereadAt = time.Now().Add(ownerChangeTime)
		s.rereadEarlierGrants()
	case !s.rereadAt.IsZero() && time.Now().After(s.rereadAt):
		s.rereadAt = time.Time{}
		if s.isUnread() {
			s.rereadAt = time.Now().Add(rereadInterval)
		}
		r := &secondRead{service: s}
		go r.run()
	}
	s.applyKnownGrants()
	s.lastAsk = time.Now()
}

// applyKnownGrants passes to the core what became known of the grants of other hosts since
// the last ask.
func (s *serviceOwner) applyKnownGrants() {
	known := s.owner.knownGrants(s.service)
	changed := known.takeChange()
	switch {
	case s.reread.Swap(false), s.isUnread() && known.isComplete():
		s.unreadUntil = time.Time{}
		s.step(s.regained(permit.EarlierGrants{Assumed: assumedUsedShare, QuotaUsed: s.grantsOfOthers()}, s.assumedShare))
	case changed && !s.isUnread():
		s.step(permit.Shared{At: instantNow(), QuotaUsed: s.grantsOfOthers()})
	}
}

// grantsOfOthers returns the known grants of other processes, with those of earlier
// incarnations of this host.
func (s *serviceOwner) grantsOfOthers() []permit.QuotaUsage {
	ofSelf, ofOthers := s.owner.knownGrants(s.service).usage(s.owner.common.Self.Name, s.quotaWindow())
	return append(ofOthers, ofSelf...)
}

func (s *serviceOwner) quotaWindow() time.Duration {
	return s.owner.common.Settings.Platform.QuotaWindow.Std()
}

// isUnread reports whether grants may count in the quota window that are not known here.
func (s *serviceOwner) isUnread() bool { return time.Now().Before(s.unreadUntil) }

// withUnread records whether the grants are all of the earlier ones. If they are not, the
// quotas of a model service, to which nearly all tokens go, are taken as used just before:
// what was granted in the last moments counts for a whole window.
func (s *serviceOwner) withUnread(grants permit.EarlierGrants) permit.EarlierGrants {
	s.unreadUntil = time.Time{}
	if !grants.Unread {
		return grants
	}
	s.unreadUntil = time.Now().Add(s.quotaWindow())
	service, known := s.owner.release.Current().Configuration.Service(s.service)
	grants.AtOnce = known && service.Kind == configuration.Model
	return grants
}

// windowFraction returns d as a fraction of the quota window, at most 1.
func (s *serviceOwner) windowFraction(d time.Duration) float64 {
	window := s.owner.common.Settings.Platform.QuotaWindow.Std()
	return min(1, d.Seconds()/max(window.Seconds(), 1))
}

// rereadEarlierGrants reads the grants of other owners and passes them to the core. If they
// can't be read, those that are known stay.
func (s *serviceOwner) rereadEarlierGrants() {
	earlier := s.owner.grantWriter.readEarlierGrants(s.service)
	if !earlier.grants.Unread {
		s.unreadUntil = time.Time{}
	}
	s.regain(earlier)
}

// rereadAsNewOwner does the same after another host was the owner: what is known from before
// then is not enough.
func (s *serviceOwner) rereadAsNewOwner() {
	earlier := s.owner.grantWriter.readEarlierGrants(s.service)
	earlier.grants = s.withUnread(earlier.grants)
	s.regain(earlier)
}

func (s *serviceOwner) regain(earlier persisted) {
	earlier.grants.QuotaUsed = s.grantsOfOthers()
	s.step(s.regained(earlier.grants, s.assumedShare))
	s.adoptHeld(earlier.held)
}

// regained returns the event that reports grants of other owners.
func (s *serviceOwner) regained(grants permit.EarlierGrants, assumedShare float64) permit.Regained {
	grants.Assumed = min(grants.Assumed, assumedShare)
	return permit.Regained{At: instantNow(), EarlierGrants: grants}
}

// secondRead reads the persisted grants of other owners once more. It does so beside the
// decisions, as asks would wait for a store that doesn't answer; those that the first
// read found are known already.
type secondRead struct{ service *serviceOwner }

func (r *secondRead) run() {
	s := r.service
	earlier := s.owner.grantWriter.readEarlierGrants(s.service)
	if earlier.grants.Unread {
		return
	}
	s.reread.Store(true)
	if len(earlier.held) > 0 {
		s.offer(permit.Warned{At: instantNow(), Held: earlier.held})
	}
}

// adoptHeld passes the parts that other owners hold to the core.
func (s *serviceOwner) adoptHeld(held []permit.HeldParts) {
	if len(held) > 0 {
		s.step(permit.Warned{At: instantNow(), Held: held})
	}
}
