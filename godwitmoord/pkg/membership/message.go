package membership

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/boottime"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

// messageKind is the kind of a request between hosts.
type messageKind uint8

const (
	probeKind messageKind = iota + 1
	// indirectProbeKind requests an indirect probe: the receiver probes Target.
	indirectProbeKind
	// syncKind carries all rows of the sender and requests those of the receiver.
	syncKind
)

// message is a request between hosts or the reply to it.
type message struct {
	Kind    messageKind `cbor:"1,keyasint"`
	Target  string      `cbor:"2,keyasint,omitempty"`
	Rows    []row       `cbor:"3,keyasint,omitempty"`
	Digest  uint64      `cbor:"4,keyasint,omitempty"`
	Version int64       `cbor:"5,keyasint,omitempty"`
	// Reached is set in the reply to an indirect probe if Target answered.
	Reached bool `cbor:"6,keyasint,omitempty"`
	// ProofAge is the time since the sender's version was last proven to be the
	// newest (the age of its freshness proof); zero if it never was.
	ProofAge time.Duration `cbor:"7,keyasint,omitempty"`
	// Reads says in the reply to a probe whether the sender reads the platform's store.
	Reads storeReading `cbor:"10,keyasint,omitempty"`
	// Notices is the digest of the sender's notices, nil if it has none.
	Notices *uint64 `cbor:"9,keyasint,omitempty"`
}

// exchange sends a message with piggybacked updates, waits for the reply and
// merges the rows in it.
func (s *Service) exchange(ctx context.Context, address string, m message, timeout time.Duration) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := boottime.Now()
	body, err := cbor.Marshal(s.addUpdates(m))
	if err != nil {
		return message{}, err
	}
	data, err := s.peers.Call(ctx, address, kernel.Membership, body)
	if err != nil {
		return message{}, err
	}
	reply, err := s.receive(data)
	if err == nil && s.notices != nil && reply.Notices != nil {
		s.notices.CheckDigest(address, *reply.Notices)
	}
	if err == nil && s.proof != nil && reply.ProofAge > 0 {
		// The other host computed the age after this request was sent, so the age
		// subtracted from the time of sending never overstates how recent the
		// proof is.
		s.proof.RecordPeerProof(reply.Version, sentAt-reply.ProofAge)
	}
	return reply, err
}

// addUpdates adds to a message the pending updates (unless it already has rows),
// the table's digest, the version in force with the age of its freshness proof,
// and the digest of the notices.
func (s *Service) addUpdates(m message) message {
	if s.notices != nil {
		digest := s.notices.Digest()
		m.Notices = &digest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Rows == nil {
		m.Rows = s.nextUpdates()
	}
	m.Digest = s.digest()
	m.Version = s.self.row.Version
	if s.proof != nil {
		m.ProofAge = s.proof.Age(m.Version)
	}
	return m
}

// handle processes a request of another host and returns the encoded reply.
func (s *Service) handle(from host.Identity, body []byte) ([]byte, error) {
	m, err := s.receive(body)
	if err != nil {
		return nil, err
	}
	s.recordVersion(from, m.Version)
	if m.Kind == probeKind {
		s.askBack(context.Background(), from, m)
	}
	reply := message{Kind: m.Kind}
	switch m.Kind {
	case probeKind:
		reply.Reads = s.storeReading()
	case indirectProbeKind:
		_, err := s.exchange(context.Background(), m.Target, message{Kind: probeKind}, directProbeTimeout)
		reply.Reached = err == nil
	case syncKind:
		reply.Rows = s.allRows()
	default:
		return nil, &peer.RefusedError{Reason: "unknown kind of membership message"}
	}
	return cbor.Marshal(s.addUpdates(reply))
}

// recordVersion records the version that a request's sender reports as in force.
// It arrives earlier than the sender's updated row.
func (s *Service) recordVersion(from host.Identity, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table[from.Name]; e != nil && e.row.identity() == from && e.row.Version < version {
		e.row.Version = version
	}
}

// receive decodes and validates a message, and merges its rows into the table.
func (s *Service) receive(body []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, &peer.RefusedError{Reason: "malformed membership message"}
	}
	if len(m.Rows) > maxHosts {
		return m, &peer.RefusedError{Reason: "too many rows in a membership message"}
	}
	for _, r := range m.Rows {
		if !r.valid() {
			return m, &peer.RefusedError{Reason: "invalid row in a membership message"}
		}
	}
	for _, r := range m.Rows {
		if identity, lost := s.merge(r); lost {
			s.notifyLost(identity)
		}
	}
	return m, nil
}
