package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/host"
)

// fresherBy is by how much another host's proof must be fresher than the one here for
// this host to ask for it.
const fresherBy = time.Second

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

// HostAhead returns the name of a random live host that has a newer version in force
// than the given one; false if there is none.
func (s *Service) HostAhead(version int64) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ahead []string
	for name, e := range s.table {
		if e.row.Version > version && e.row.State == Alive {
			ahead = append(ahead, name)
		}
	}
	if len(ahead) == 0 {
		return "", false
	}
	return ahead[rand.IntN(len(ahead))], true
}

// AskProof asks a host for its freshness proof, and whether it reads the store. An error
// means that the host did not answer; an answer may hold no proof.
func (s *Service) AskProof(ctx context.Context, name string) error {
	address, known := s.Address(name)
	if !known {
		return errors.Newf("host %s is not known here", name)
	}
	reply, err := s.exchange(ctx, address, message{Kind: probeKind}, directProbeTimeout)
	if err != nil {
		return err
	}
	s.recordReader(reply.Reads)
	return nil
}

// askBack asks the sender of a request for its freshness proof if that is fresher than
// the one of this host. The age in the request itself can't be used: it is not known how
// long the request was under way.
func (s *Service) askBack(ctx context.Context, from host.Identity, m message) {
	s.mu.Lock()
	sameVersion := m.Version == s.self.row.Version
	s.mu.Unlock()
	if s.proof == nil || m.ProofAge <= 0 || !sameVersion {
		return
	}
	age := s.proof.Age(m.Version)
	fresher := age == 0 || age > m.ProofAge+fresherBy
	if !fresher || !s.askingBack.CompareAndSwap(false, true) {
		return
	}
	q := &proofQuestion{service: s, host: from.Name}
	go q.run(ctx)
}

// proofQuestion asks one host for its freshness proof.
type proofQuestion struct {
	service *Service
	host    string
}

func (q *proofQuestion) run(ctx context.Context) {
	defer q.service.askingBack.Store(false)
	if err := q.service.AskProof(ctx, q.host); err != nil {
		q.service.common.Count("membership.proofs.unanswered")
	}
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
