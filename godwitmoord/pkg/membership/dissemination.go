package membership

import (
	"context"
	"math/bits"
	"slices"
)

const (
	// maxPiggybackedRows bounds the rows that are piggybacked on a probe.
	maxPiggybackedRows = 16
	// transmitFactor times the logarithm of the fleet size is the number of times
	// that each updated row is sent.
	transmitFactor = 3
	// syncThreshold is the number of probes in a row that must find a different
	// table before all rows are exchanged.
	syncThreshold = 4
)

// nextUpdates returns the updated rows with the most transmissions left, at most
// maxPiggybackedRows, and counts one transmission of each; s.mu is held.
func (s *Service) nextUpdates() []row {
	var updated []*tableRow
	if s.self.transmitsLeft > 0 {
		updated = append(updated, &s.self)
	}
	for _, e := range s.table {
		if e.transmitsLeft > 0 {
			updated = append(updated, e)
		}
	}
	slices.SortFunc(updated, func(a, b *tableRow) int { return b.transmitsLeft - a.transmitsLeft })
	updated = updated[:min(maxPiggybackedRows, len(updated))]
	rows := make([]row, len(updated))
	for i, e := range updated {
		e.transmitsLeft--
		rows[i] = e.row
	}
	return rows
}

// allRows returns this host's own row and the whole table. It includes dead hosts,
// because a host that is alive must receive its own row to refute that it is dead.
func (s *Service) allRows() []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]row, 0, len(s.table)+1)
	rows = append(rows, s.self.row)
	for _, e := range s.table {
		rows = append(rows, e.row)
	}
	return rows
}

// transmitLimit returns the number of times that an updated row is sent; s.mu is
// held.
func (s *Service) transmitLimit() int { return transmitFactor * bits.Len(uint(len(s.table)+1)) }

// sync exchanges all rows with another host (anti-entropy).
func (s *Service) sync(ctx context.Context, address string) {
	s.common.Count("membership.syncs")
	// On an error the exchange is repeated later: at the next probe interval for
	// an unknown host, after further differing probes for a known one.
	_, _ = s.exchange(ctx, address, message{Kind: syncKind, Rows: s.allRows()}, indirectProbeTimeout)
}

// syncDue reports whether an exchange of all rows is due, because syncThreshold
// probes in a row returned a digest other than that of this host's table.
func (s *Service) syncDue(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if digest == s.digest() {
		s.differingProbes = 0
		return false
	}
	s.differingProbes++
	if s.differingProbes < syncThreshold {
		return false
	}
	s.differingProbes = 0
	return true
}

// handshake is the first exchange with an unknown host: both send all their rows.
type handshake struct {
	service *Service
	address string
}

func (h *handshake) run(ctx context.Context) { h.service.sync(ctx, h.address) }

// publishSelf gives this host's own row a new revision and schedules its
// dissemination; s.mu is held.
func (s *Service) publishSelf(revision uint64) {
	s.self.row.Revision = revision
	s.self.transmitsLeft = s.transmitLimit()
}
