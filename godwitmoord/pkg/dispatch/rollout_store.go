package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/rollout"
)

// call begins the call of the store that is due, if any. A stage counts only once it is
// written, and the status follows the record.
func (s *serviceRollout) call(ctx context.Context, now time.Time) {
	c := &storeCall{
		store: s.rollouts.store, service: s.service.service, self: s.rollouts.owner.common.Self, done: s.done, barred: s.barred,
	}
	switch due := s.steering.Due(); {
	case s.state == unread:
		c.kind = readRecord
	case !s.active:
		return
	case s.state == claimed && due == s.steering.Stage() && s.written != s.status():
		c.kind, c.revision = writeStatus, s.statusRevision
		c.record = s.steering.Record(due, 0)
	case s.state == unclaimed || due != s.steering.Stage() || s.recordIsDue(now):
		c.kind, c.revision = writeRecord, s.revision
		c.record = s.steering.Record(due, s.steering.ToReserve())
		if due == rollout.Reverted {
			c.barred = s.withReverted(s.steering.Order().Target)
		}
	default:
		return
	}
	s.calling, s.nextCall = true, now.Add(minRecordPause)
	go c.run(ctx)
}

// status returns the status that the store should hold.
func (s *serviceRollout) status() writtenStatus {
	return writtenStatus{revision: s.steering.Order().Revision, state: statusOf(s.steering.Stage())}
}

// statusOf returns the stage that the status shows: operators are told only that a rollout
// is under way, and how it ended.
func statusOf(stage rollout.Stage) rollout.Stage {
	if stage.Final() {
		return stage
	}
	return rollout.Canary
}

// recordIsDue reports whether the record must be written again.
func (s *serviceRollout) recordIsDue(now time.Time) bool {
	if s.steering.Stage().Final() {
		return false
	}
	return now.Sub(s.recordedAt) >= recordInterval || (s.steering.Stage() == rollout.Canary && s.steering.LacksReserve())
}

// withReverted returns the barred versions with one more; the oldest are dropped.
func (s *serviceRollout) withReverted(version string) []string {
	barred := withVersion(s.barred, version)
	return barred[max(0, len(barred)-maxBarredVersions):]
}

// apply applies the result of a call of the store.
func (s *serviceRollout) apply(result storeCallResult, now time.Time) {
	if result.err != nil {
		s.fail(result.err, now)
		return
	}
	s.failing = false
	switch result.call.kind {
	case readRecord:
		s.adopt(result, now)
	case writeRecord:
		s.applyRecord(result, now)
	case writeStatus:
		if result.outcome.Applied {
			s.written = writtenStatus{revision: result.call.record.Order.Revision, state: statusOf(result.call.record.Stage)}
			s.statusRevision = result.outcome.Revision
			return
		}
		s.statusRevision = result.outcome.Current.Revision
	}
}

// fail records a failed call. A write may have taken effect: the record is then this
// host's, which the next write finds out.
func (s *serviceRollout) fail(err error, now time.Time) {
	s.rollouts.owner.common.Count("rollouts.store.failed")
	s.nextCall = now.Add(storePause)
	if !s.failing {
		s.rollouts.owner.common.Log.Warn("record of a rollout not read or written", zap.String("service", s.service.service), zap.Error(err))
	}
	s.failing = true
}

// applyRecord applies the result of a write of the record.
func (s *serviceRollout) applyRecord(result storeCallResult, now time.Time) {
	written := result.call.record
	if !result.outcome.Applied {
		// Another owner wrote it, or an earlier write of this host took effect without a
		// reply.
		s.rollouts.owner.common.Count("rollouts.records.conflicts")
		s.state = unread
		return
	}
	s.revision, s.recordedAt = result.outcome.Revision, now
	if written.Order != s.steering.Order() || s.state == unread {
		// A newer order arrived meanwhile, or this host was not the owner for a while and
		// another one may have written the record since.
		return
	}
	s.state, s.barred = claimed, result.call.barred
	s.steering = s.steering.WithReserved(written.Reserved)
	if written.Stage != s.steering.Stage() {
		s.steering = s.steering.WithStage(written.Stage, now)
		s.rollouts.owner.common.Count("rollouts.stages." + string(written.Stage))
		s.logStage("rollout stage changed")
	}
}

// adopt continues from the record that was read. If this process wrote it, its own state
// is kept, which is newer.
func (s *serviceRollout) adopt(result storeCallResult, now time.Time) {
	if !s.isOwner {
		return
	}
	s.revision = result.entry.Revision
	if !result.entry.Found() {
		s.state = claimed
		if s.active {
			s.state = unclaimed
		}
		return
	}
	record, self := result.found.record(), s.rollouts.owner.common.Self
	ownWrite := result.found.Host == self.Name && result.found.Incarnation == self.Incarnation
	s.barred = result.found.Barred
	if !ownWrite || !s.active || record.Order.Revision != s.steering.Order().Revision {
		s.steering, s.active = record.Resume(s.rollouts.bounds, now), true
		s.order = record.Order
		s.logStage("rollout taken over")
	}
	s.state = unclaimed
	if s.steering.Stage().Final() {
		s.state = claimed
	}
}

// logStage logs how far the rollout is.
func (s *serviceRollout) logStage(event string) {
	order := s.steering.Order()
	target, others := s.steering.Totals()
	s.rollouts.owner.common.Log.Info(event, zap.String("service", order.Service), zap.String("target", order.Target),
		zap.String("stage", string(s.steering.Stage())), zap.Int64("order", order.Revision), zap.Time("deadline", s.steering.Deadline()),
		zap.Int("requests", s.steering.Requests()), zap.Int("exposed", s.steering.Exposed()),
		zap.Int("responses", target.Responses), zap.Int("bad", target.Bad),
		zap.Int("old-responses", others.Responses), zap.Int("old-bad", others.Bad))
}
