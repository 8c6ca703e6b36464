package dispatch

import (
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
)

// shareLogInterval is how often an owner logs at most what it refused beyond the shares
// of customers.
const shareLogInterval = 5 * time.Second

// shareReport counts, since the last log line about them, the refusals beyond the shares of
// customers and those of callers that came back when told. The zero value has counted none.
type shareReport struct {
	loggedAt time.Time
	// beyond counts the refusals beyond shares by customer, again those of callers that
	// came back when they were told to.
	beyond map[string]int
	again  int
}

// add counts a refusal, and returns whether a log line is due.
func (r *shareReport) add(a permit.Refused) bool {
	if a.BeyondShare != "" {
		if r.beyond == nil {
			r.beyond = map[string]int{}
		}
		r.beyond[a.BeyondShare]++
	}
	if a.Again {
		r.again++
	}
	return len(r.beyond)+r.again > 0 && time.Since(r.loggedAt) >= shareLogInterval
}

// countShare counts and logs the refusals of requests beyond their customers' shares, and
// of callers that came back when they were told to.
func (s *serviceOwner) countShare(a permit.Refused) {
	if a.BeyondShare != "" {
		s.owner.common.Count("owner.refusals.beyond-share")
	}
	if a.Again {
		s.owner.common.Count("owner.refusals.again")
	}
	if a.Reserved {
		s.owner.common.Count("owner.refusals.reserved")
	}
	if !s.shares.add(a) {
		return
	}
	s.owner.common.Log.Info("requests refused under contention", zap.String("service", s.service),
		zap.Any("beyond-share", s.shares.beyond), zap.Int("again", s.shares.again))
	s.shares = shareReport{loggedAt: time.Now()}
}
