package dispatch

import (
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/membership"
)

// reportCrash reports a crash of an endpoint to all entries, for the next owner.
func (s *serviceOwner) reportCrash(crash permit.Crash) {
	requests := make([]string, len(crash.Suspects))
	for i, suspect := range crash.Suspects {
		requests[i] = suspect.Request
	}
	s.owner.common.Count("owner.crashes")
	s.owner.common.Log.Info("endpoint crashed with requests not begun", zap.String("service", s.service),
		zap.String("endpoint", crash.Endpoint), zap.Strings("requests", requests))
	s.warn(warning{Service: s.service, Crash: &crash})
}

// reportHeld reports held parts to all entries, and writes them to the store.
func (s *serviceOwner) reportHeld(held permit.HeldParts) {
	s.owner.common.Count("owner.parts.held")
	s.owner.common.Log.Info("parts of prompts held", zap.String("service", s.service), zap.Strings("parts", held.Parts),
		zap.Duration("left", held.Left), zap.Duration("hold", held.Hold))
	s.warn(warning{Service: s.service, Held: &held})
	s.persistHeld()
}

// reportCleared reports parts that are no longer held to all entries and to the store.
func (s *serviceOwner) reportCleared(key string) {
	s.owner.common.Count("owner.parts.cleared")
	s.owner.common.Log.Info("parts of prompts no longer held", zap.String("service", s.service), zap.String("parts", key))
	s.warn(warning{Service: s.service, Cleared: key})
	s.persistHeld()
}

func (s *serviceOwner) persistHeld() { s.queuePage(s.core.QuotaUsed(persistThreshold)) }

// logLimit logs that an endpoint names another limit, or none any more.
func (s *serviceOwner) logLimit(limit permit.RateLimit) {
	s.owner.common.Count("owner.limits.changed")
	s.owner.common.Log.Info("limit of an endpoint changed", zap.String("service", s.service), zap.String("endpoint", limit.Endpoint),
		zap.Bool("named", limit.Named), zap.Float64("per-second", limit.PerSecond), zap.Float64("share", s.quotaShare()))
}

// warn sends a warning to all hosts that are not dead.
func (s *serviceOwner) warn(w warning) {
	for _, m := range s.owner.members.Members() {
		if m.State != membership.Dead {
			s.send(m.Identity.Name, ownerMessage{Warning: &w})
		}
	}
}
