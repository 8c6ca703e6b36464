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
	// greetings is how many strangers are met at each beat.
	greetings = 2
	// startBeats is how many probes fit in a heartbeat while the fleet is unknown.
	startBeats = 5
	// lookLimit bounds the hosts that are probed at once after one did not answer,
	// lookPause how often that happens.
	lookLimit = 12
	lookPause = 300 * time.Millisecond
	// relays is how many others probe a host that did not answer.
	relays = 3
	// newsLimit bounds the rows that travel with a probe.
	newsLimit = 16
	// spreadFactor times the logarithm of the fleet is how often each row is
	// sent along.
	spreadFactor = 3
	// syncAfter is how many probes in a row must find different tables before
	// they are exchanged whole.
	syncAfter = 4
	// answerTimeout bounds a probe, relayTimeout one by way of another host.
	answerTimeout = 400 * time.Millisecond
	relayTimeout  = time.Second
)

// messageKind says what a host wants of another.
type messageKind uint8

const (
	probeKind messageKind = iota + 1
	// relayKind asks for a probe of Target.
	relayKind
	// syncKind brings all rows and asks for all rows.
	syncKind
)

// message is a probe and its answer.
type message struct {
	Kind    messageKind `cbor:"1,keyasint"`
	Target  string      `cbor:"2,keyasint,omitempty"`
	Rows    []row       `cbor:"3,keyasint,omitempty"`
	Digest  uint64      `cbor:"4,keyasint,omitempty"`
	Version int64       `cbor:"5,keyasint,omitempty"`
	// Reached answers a relay.
	Reached bool `cbor:"6,keyasint,omitempty"`
	// ProofAge is how long ago the version was proven to be the newest; zero if it
	// never was.
	ProofAge time.Duration `cbor:"7,keyasint,omitempty"`
	// Endpoints is the revision of the newest change of endpoints known.
	Endpoints int64 `cbor:"8,keyasint,omitempty"`
}

// run probes one host after the other.
func (s *Service) run(ctx context.Context) {
	for {
		if r, found := s.nextToProbe(); found {
			p := &probe{service: s, target: r}
			go p.run(ctx)
		}
		for _, address := range s.strangers() {
			g := &greeting{service: s, address: address}
			go g.run(ctx)
		}
		s.bury()
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.beat()):
		}
	}
}

// beat gives the time to the next probe: less while this host does not know the
// fleet yet.
func (s *Service) beat() time.Duration {
	beat := s.common.Settings.Heartbeat.Std()
	if s.common.Settings.HostListURL == "" && !s.Settled() {
		return beat / startBeats
	}
	return beat
}

// nextToProbe goes through all hosts that are not gone, in an order that is
// shuffled anew each time round, so that everyone's turn comes.
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

// strangers picks a few listed hosts that are unknown here or count as gone: so
// newcomers are met, and two halves that lost each other find together again.
func (s *Service) strangers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var strangers []string
	for _, l := range s.listed {
		if l.Role != entryRole || l.Name == s.self.row.Name {
			continue
		}
		if s.isStranger(l) {
			strangers = append(strangers, l.Address)
		}
	}
	rand.Shuffle(len(strangers), func(i, j int) { strangers[i], strangers[j] = strangers[j], strangers[i] })
	return strangers[:min(greetings, len(strangers))]
}

// isStranger tells whether a listed host is unknown or counts as gone; s.mu is
// held. One without a name is known by its address.
func (s *Service) isStranger(l listedHost) bool {
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

// probe is one look at one host.
type probe struct {
	service *Service
	target  row
}

func (p *probe) run(ctx context.Context) {
	s := p.service
	reply, err := s.ask(ctx, p.target.Address, message{Kind: probeKind}, answerTimeout)
	s.noteContact(p.target, err == nil)
	if err != nil {
		s.lookAround(ctx)
		if !p.reachedByOthers(ctx) {
			s.suspect(p.target.Name, p.target.Incarnation)
		}
		return
	}
	if s.differs(reply.Digest) {
		s.sync(ctx, p.target.Address)
	}
}

// noteContact notes whether a life of a host answered this one.
func (s *Service) noteContact(target row, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.table[target.Name]
	switch {
	case e == nil || e.row.Incarnation != target.Incarnation:
	case answered:
		e.meet()
	default:
		e.miss()
	}
}

// lookAround probes several more hosts at once after one did not answer: what cut
// that one off may have cut off others, and owners must know soon.
func (s *Service) lookAround(ctx context.Context) {
	if s.common.Settings.Platform == nil {
		return
	}
	s.mu.Lock()
	var others []row
	if time.Since(s.looked) > lookPause {
		s.looked = time.Now()
		for _, e := range s.table {
			if e.row.State == Alive {
				others = append(others, e.row)
			}
		}
	}
	s.mu.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, r := range others[:min(lookLimit, len(others))] {
		p := &probe{service: s, target: r}
		go p.run(ctx)
	}
}

// reachedByOthers has a few other hosts probe the target.
func (p *probe) reachedByOthers(ctx context.Context) bool {
	helpers := p.service.helpers(p.target.Name)
	answers := make(chan bool, len(helpers))
	for _, address := range helpers {
		r := &relay{service: p.service, helper: address, target: p.target.Address, answers: answers}
		go r.run(ctx)
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// relay is a probe by way of another host.
type relay struct {
	service *Service
	helper  string
	target  string
	answers chan<- bool
}

func (r *relay) run(ctx context.Context) {
	reply, err := r.service.ask(ctx, r.helper, message{Kind: relayKind, Target: r.target}, relayTimeout)
	r.answers <- err == nil && reply.Reached
}

func (s *Service) helpers(except string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var helpers []string
	for name, e := range s.table {
		if name != except && e.row.State == Alive {
			helpers = append(helpers, e.row.Address)
		}
	}
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers[:min(relays, len(helpers))]
}

// greeting is the first exchange with a host that is not known.
type greeting struct {
	service *Service
	address string
}

func (g *greeting) run(ctx context.Context) { g.service.sync(ctx, g.address) }

// sync exchanges all rows with another host.
func (s *Service) sync(ctx context.Context, address string) {
	s.common.Count("membership.syncs")
	// A host that cannot be reached is met again at the next beat.
	_, _ = s.ask(ctx, address, message{Kind: syncKind, Rows: s.allRows()}, relayTimeout)
}

// differs counts probes that found another table than this host's.
func (s *Service) differs(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if digest == s.digest() {
		s.differing = 0
		return false
	}
	s.differing++
	if s.differing < syncAfter {
		return false
	}
	s.differing = 0
	return true
}

// ask sends a message with the present news and takes in those of the reply.
func (s *Service) ask(ctx context.Context, address string, m message, timeout time.Duration) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := boottime.Now()
	body, err := cbor.Marshal(s.signed(m))
	if err != nil {
		return message{}, err
	}
	data, err := s.peers.Call(ctx, address, kernel.Membership, body)
	if err != nil {
		return message{}, err
	}
	reply, err := s.take(data)
	if err == nil && s.proof != nil && reply.ProofAge > 0 {
		// The age was told after the question was asked.
		s.proof.Learn(reply.Version, asked-reply.ProofAge)
	}
	return reply, err
}

// signed completes a message with news, the digest and the version in force.
func (s *Service) signed(m message) message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Rows == nil {
		m.Rows = s.news()
	}
	m.Digest = s.digest()
	m.Version = s.self.row.Version
	m.Endpoints = s.endpoints.Load()
	if s.proof != nil {
		m.ProofAge = s.proof.Age(m.Version)
	}
	return m
}

// answer serves the messages of others.
func (s *Service) answer(from host.Identity, body []byte) ([]byte, error) {
	m, err := s.take(body)
	if err != nil {
		return nil, err
	}
	s.noteVersion(from, m.Version)
	reply := message{Kind: m.Kind}
	switch m.Kind {
	case probeKind:
	case relayKind:
		_, err := s.ask(context.Background(), m.Target, message{Kind: probeKind}, answerTimeout)
		reply.Reached = err == nil
	case syncKind:
		reply.Rows = s.allRows()
	default:
		return nil, &peer.RefusedError{Why: "unknown kind of probe"}
	}
	return cbor.Marshal(s.signed(reply))
}

// noteVersion takes the sender's own word for its version, which arrives before
// its row does.
func (s *Service) noteVersion(from host.Identity, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table[from.Name]; e != nil && e.row.identity() == from && e.row.Version < version {
		e.row.Version = version
	}
}

func (s *Service) take(body []byte) (message, error) {
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return m, &peer.RefusedError{Why: "malformed probe"}
	}
	if len(m.Rows) > maxHosts {
		return m, &peer.RefusedError{Why: "too many rows in a probe"}
	}
	for _, r := range m.Rows {
		if !r.wellFormed() {
			return m, &peer.RefusedError{Why: "malformed row in a probe"}
		}
	}
	for known := s.newestEndpoints.Load(); m.Endpoints > known; known = s.newestEndpoints.Load() {
		s.newestEndpoints.CompareAndSwap(known, m.Endpoints)
	}
	for _, r := range m.Rows {
		if ended, lost := s.merge(r); lost {
			s.tellLost(ended)
		}
	}
	return m, nil
}

// news gives the rows that were sent along the least; s.mu is held.
func (s *Service) news() []row {
	var fresh []*entry
	if s.self.spread > 0 {
		fresh = append(fresh, &s.self)
	}
	for _, e := range s.table {
		if e.spread > 0 {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int { return b.spread - a.spread })
	fresh = fresh[:min(newsLimit, len(fresh))]
	rows := make([]row, len(fresh))
	for i, e := range fresh {
		e.spread--
		rows[i] = e.row
	}
	return rows
}

// allRows gives everything known, the gone as well: one that still lives must
// hear of it to refute it.
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

// spreadCount gives how often a row is sent along; s.mu is held.
func (s *Service) spreadCount() int { return spreadFactor * bits.Len(uint(len(s.table)+1)) }
