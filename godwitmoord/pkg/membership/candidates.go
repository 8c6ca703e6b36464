package membership

import (
	"time"

	"godwitmoor.example/coordination/pkg/host"
)

// maxRankedServices bounds the services whose owner candidates keeps.
const maxRankedServices = 4096

// candidates keeps which hosts may have roles, and the owner of each service asked for,
// until the table changes. Requests ask for them far more often than they change.
type candidates struct {
	ready, owners []string
	ownerByName   map[string]string
	// readers are the hosts that read the platform's store, in their order.
	readers []string
	// until is when an avoidance ends that the names depend on; zero if none does.
	until time.Time
}

// invalidate makes the names be determined again, after a change of the table or of the
// phase of this host.
func (c *candidates) invalidate() { *c = candidates{} }

// valid reports whether the names are those of this moment. ready is never empty once
// it is determined.
func (c *candidates) valid() bool {
	return len(c.ready) > 0 && (c.until.IsZero() || time.Now().Before(c.until))
}

// ownerOf returns the owner of a service.
func (c *candidates) ownerOf(service string) string {
	if owner, known := c.ownerByName[service]; known {
		return owner
	}
	if c.ownerByName == nil || len(c.ownerByName) >= maxRankedServices {
		c.ownerByName = map[string]string{}
	}
	owner := host.Ranked(c.owners, service, 1)[0]
	c.ownerByName[service] = owner
	return owner
}

// currentCandidates returns the candidates of this moment; s.mu is held.
func (s *Service) currentCandidates() *candidates {
	if s.candidates.valid() {
		return &s.candidates
	}
	// An avoidance that ends meanwhile makes the names be determined once more.
	until := s.firstAvoidanceEnd()
	ready := s.readyNames()
	s.candidates = candidates{ready: ready, owners: s.largeHosts(ready), until: until}
	return &s.candidates
}

// firstAvoidanceEnd returns when the first avoidance of a host ends; zero if no host is
// avoided. s.mu is held.
func (s *Service) firstAvoidanceEnd() time.Time {
	var first time.Time
	for _, e := range s.table {
		end := e.avoidedAt.Add(avoidInterval)
		if time.Now().Before(end) && (first.IsZero() || end.Before(first)) {
			first = end
		}
	}
	return first
}
