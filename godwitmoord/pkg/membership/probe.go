package membership

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/boottime"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

const (
	// maxHandshakes is the number of unknown hosts contacted at each probe
	// interval.
	maxHandshakes = 2
	// startupProbesPerHeartbeat is the number of probes per heartbeat until this
	// host has discovered the fleet.
	startupProbesPerHeartbeat = 5
	// maxExtraProbes bounds the hosts that are probed at once after a failed
	// probe; extraProbePause is the minimum time between two such rounds.
	maxExtraProbes  = 12
	extraProbePause = 300 * time.Millisecond
	// indirectProbes is the number of hosts that are asked to probe indirectly a
	// host that did not answer a direct probe.
	indirectProbes = 3
	// maxPiggybackedRows bounds the rows that are piggybacked on a probe.
	maxPiggybackedRows = 16
	// transmitFactor times the logarithm of the fleet size is the number of times
	// that each updated row is sent.
	transmitFactor = 3
	// syncThreshold is the number of probes in a row that must find a different
	// table before all rows are exchanged.
	syncThreshold = 4
	// directProbeTimeout bounds a direct probe. indirectProbeTimeout bounds an
	// indirect probe and an exchange of all rows.
	directProbeTimeout   = 400 * time.Millisecond
	indirectProbeTimeout = time.Second
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
	// Endpoints is the revision of the newest change of endpoints that the sender
	// knows.
	Endpoints int64 `cbor:"8,keyasint,omitempty"`
}

// run probes one host at each interval, contacts unknown hosts and expires
// suspicions until ctx ends.
func (s *Service) run(ctx context.Context) {
	for {
		if r, found := s.nextToProbe(); found {
			p := &probe{service: s, target: r}
			go p.run(ctx)
		}
		for _, address := range s.unknownHosts() {
			h := &handshake{service: s, address: address}
			go h.run(ctx)
		}
		s.expireSuspicions()
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.probeInterval()):
		}
	}
}

// probeInterval returns the time to the next probe. If no host list is configured,
// it is shorter until this host has discovered the fleet.
func (s *Service) probeInterval() time.Duration {
	interval := s.common.Settings.Heartbeat.Std()
	if s.common.Settings.HostListURL == "" && !s.FleetDiscovered() {
		return interval / startupProbesPerHeartbeat
	}
	return interval
}

// nextToProbe returns the next host to probe. It goes round all hosts that are not
// dead and shuffles the order before each round, so that a round probes every
// host once.
func (s *Service) nextToProbe() (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 {
		for len(s.order) > 0 {
			name := s.order[0]
			s.order = s.order[1:]
			if e := s.table[name]; e != nil && e.row.State != Dead {
				return e.row, true
			}
		}
		for name := range s.table {
			s.order = append(s.order, name)
		}
		rand.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	return row{}, false
}

// unknownHosts returns the addresses of a few random listed hosts that are unknown
// or dead in this host's table. Contacting them admits new hosts, and rejoins the
// two halves of the fleet after a network partition.
func (s *Service) unknownHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, l := range s.listed {
		if l.Role != entryRole || l.Name == s.self.row.Name {
			continue
		}
		if s.isUnknown(l) {
			addresses = append(addresses, l.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxHandshakes, len(addresses))]
}

// isUnknown reports whether a listed host is missing from the table or dead
// there; s.mu is held. A listed host without a name is identified by its address.
func (s *Service) isUnknown(l hostListItem) bool {
	if l.Name != "" {
		e := s.table[l.Name]
		return e == nil || e.row.State == Dead
	}
	if l.Address == s.self.row.Address {
		return false
	}
	for _, e := range s.table {
		if e.row.Address == l.Address {
			return e.row.State == Dead
		}
	}
	return true
}

// probe is a direct probe of one host, followed by indirect probes if it fails.
type probe struct {
	service *Service
	target  row
}

func (p *probe) run(ctx context.Context) {
	s := p.service
	reply, err := s.exchange(ctx, p.target.Address, message{Kind: probeKind}, directProbeTimeout)
	s.recordContact(p.target, err == nil)
	if err != nil {
		s.probeOthers(ctx)
		if !p.probeIndirectly(ctx) {
			s.suspect(p.target.Name, p.target.Incarnation)
		}
		return
	}
	if s.syncDue(reply.Digest) {
		s.sync(ctx, p.target.Address)
	}
}

// recordContact records whether the target answered a probe of this host. It does
// nothing if the table holds another incarnation of the target.
func (s *Service) recordContact(target row, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table[target.Name]
	switch {
	case e == nil || e.row.Incarnation != target.Incarnation:
	case answered:
		e.recordAnswer()
	default:
		e.recordFailure()
	}
}

// probeOthers probes several more hosts at once after a failed probe. Whatever cut
// off the first host may have cut off others, and owners need to detect that
// quickly. It does so on the platform only.
func (s *Service) probeOthers(ctx context.Context) {
	if s.common.Settings.Platform == nil {
		return
	}
	s.mu.Lock()
	var others []row
	if time.Since(s.lastExtraProbes) > extraProbePause {
		s.lastExtraProbes = time.Now()
		for _, e := range s.table {
			if e.row.State == Alive {
				others = append(others, e.row)
			}
		}
	}
	s.mu.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, r := range others[:min(maxExtraProbes, len(others))] {
		p := &probe{service: s, target: r}
		go p.run(ctx)
	}
}

// probeIndirectly asks a few other hosts to probe the target and reports whether
// any of them got an answer.
func (p *probe) probeIndirectly(ctx context.Context) bool {
	relays := p.service.pickRelays(p.target.Name)
	answers := make(chan bool, len(relays))
	for _, address := range relays {
		r := &indirectProbe{service: p.service, relay: address, target: p.target.Address, answers: answers}
		go r.run(ctx)
	}
	for range relays {
		if <-answers {
			return true
		}
	}
	return false
}

// indirectProbe asks a relay, another host, to probe the target for this host.
type indirectProbe struct {
	service *Service
	relay   string
	target  string
	answers chan<- bool
}

func (r *indirectProbe) run(ctx context.Context) {
	reply, err := r.service.exchange(ctx, r.relay, message{Kind: indirectProbeKind, Target: r.target}, indirectProbeTimeout)
	r.answers <- err == nil && reply.Reached
}

// pickRelays returns the addresses of a few random hosts that are alive, other
// than the named one, to send indirect probes through.
func (s *Service) pickRelays(except string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var relays []string
	for name, e := range s.table {
		if name != except && e.row.State == Alive {
			relays = append(relays, e.row.Address)
		}
	}
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	return relays[:min(indirectProbes, len(relays))]
}

// handshake is the first exchange with an unknown host: both send all their rows.
type handshake struct {
	service *Service
	address string
}

func (h *handshake) run(ctx context.Context) { h.service.sync(ctx, h.address) }

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
// and the revision of the endpoints.
func (s *Service) addUpdates(m message) message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Rows == nil {
		m.Rows = s.nextUpdates()
	}
	m.Digest = s.digest()
	m.Version = s.self.row.Version
	m.Endpoints = s.endpointsRevision.Load()
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
	reply := message{Kind: m.Kind}
	switch m.Kind {
	case probeKind:
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
	for known := s.newestEndpointsRevision.Load(); m.Endpoints > known; known = s.newestEndpointsRevision.Load() {
		s.newestEndpointsRevision.CompareAndSwap(known, m.Endpoints)
	}
	for _, r := range m.Rows {
		if identity, lost := s.merge(r); lost {
			s.notifyLost(identity)
		}
	}
	return m, nil
}

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
