package membership

import "time"

// FreshnessProof holds this host's freshness proof: the time at which its
// configuration was last known to be the newest. Hosts exchange the ages of their
// proofs.
type FreshnessProof interface {
	// Age returns how long ago the version was last proven to be the newest. Zero
	// means no proof, not a fresh one; it is also returned for a version that is
	// not in force.
	Age(version int64) time.Duration
	// RecordPeerProof records that another host had proof of the version being the
	// newest at the given time, a value of boottime.Now on this host.
	RecordPeerProof(version int64, at time.Duration)
}

// SetFreshnessProof makes the probes carry freshness proofs in both directions.
// Call it before Start.
func (s *Service) SetFreshnessProof(p FreshnessProof) { s.proof = p }

// SetVersion sets the version of the configuration in force here and disseminates
// it if it changed.
func (s *Service) SetVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.self.row.Version == version {
		return
	}
	s.self.row.Version = version
	s.publishSelf(s.self.row.Revision + 1)
}

// NewestVersion returns the highest version that any other host has in force, as
// far as known; zero if no other host is known.
func (s *Service) NewestVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := int64(0)
	for _, e := range s.table {
		newest = max(newest, e.row.Version)
	}
	return newest
}

// NoticeDigests compares the notices of this host with those of others.
type NoticeDigests interface {
	// Digest returns the digest of this host's notices.
	Digest() uint64
	// CheckDigest takes the digest of the host at address.
	CheckDigest(address string, digest uint64)
}

// SetNoticeDigests makes the probes carry the digests of notices. Call it before
// Start.
func (s *Service) SetNoticeDigests(n NoticeDigests) { s.notices = n }
