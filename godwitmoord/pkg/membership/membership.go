// Package membership knows which hosts live.
//
// Hosts are found by the platform's host list, which is late, and then watch
// each other: every heartbeat a host probes one other, in a random order that
// comes to everyone. Whoever does not answer is probed once more by way of a
// few others, so that one bad link condemns nobody; if none of them gets an
// answer, the host is suspected and gets no role. It can refute the suspicion
// itself; after dead-after without that it counts as gone. News travel with the
// probes, each a number of times that grows with the logarithm of the fleet, so
// what a host sends does not grow with it. Two hosts that find over several
// probes that they know different things exchange all they know.
//
// A row holds what is known of one host. Its own host alone raises the
// incarnation (one life of the process) and the revision (one word of it about
// itself); of two rows the later one counts, and of equal ones the worse state.
package membership

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

const (
	// maxHosts bounds the table; maxField the length of a text in a row.
	maxHosts = 4096
	maxField = 128
	// forgetAfter times dead-after is when a gone host leaves the table.
	forgetAfter   = 60
	avoidInterval = 2 * time.Second
	settleBound   = 8 * time.Second
	settleBeats   = 4
	// briefAbsence is how long a host may be missed without counting as having been
	// on its own.
	briefAbsence = time.Second
	// newLife is how long a process is certainly the newest of its host.
	newLife = time.Second
	// shareMemory is how long a silent host may yet be serving by itself.
	shareMemory = 15 * time.Second
	// introduction is the number of heartbeats in which a new phase is heard.
	introduction = 5
)

// link carries calls to other hosts.
type link interface {
	Call(ctx context.Context, address, to string, body []byte) ([]byte, error)
}

// Service keeps the table of hosts.
type Service struct {
	common  *common.Common
	peers   link
	client  *http.Client
	started time.Time

	mu     sync.Mutex
	table  map[string]*entry
	self   entry
	order  []string
	looked time.Time
	listed []listedHost
	lost   []func(host.Identity)
	proof  Proof
	// endpoints is the revision of the newest change of endpoints known here,
	// newestEndpoints the highest that another host told of.
	endpoints       atomic.Int64
	newestEndpoints atomic.Int64
	// differing counts probes in a row after which the tables differed.
	differing int
}

// New makes the service.
func New(c *common.Common) *Service {
	return &Service{
		common: c,
		client: &http.Client{Timeout: listTimeout},
		table:  map[string]*entry{},
		self: entry{row: row{
			Name:        c.Self.Name,
			Incarnation: c.Self.Incarnation,
			Address:     c.Settings.PeerListen,
			DataCentre:  c.Settings.DataCentre,
		}},
	}
}

// Start begins to probe.
func (s *Service) Start(ctx context.Context) error {
	peers, err := kernel.Lookup[*peer.Service](s.common.Kernel, kernel.Peer)
	if err != nil {
		return err
	}
	s.peers = peers
	s.started = time.Now()
	peers.Handle(kernel.Membership, s.answer)
	go s.run(ctx)
	if s.common.Settings.HostListURL == "" {
		// SetListed brings the hosts.
		return nil
	}
	l := &lister{service: s}
	go l.run(ctx)
	return nil
}

// Stop has nothing to end beyond the context.
func (s *Service) Stop(context.Context) error { return nil }

// Proof is what hosts tell each other of their configuration being the newest.
type Proof interface {
	// Age gives how long ago the version was proven; zero if it never was, or is
	// not the one in force.
	Age(version int64) time.Duration
	// Learn takes in that another host knew the version to be the newest at a
	// boot time of this host.
	Learn(version int64, at time.Duration)
}

// ShareProof has proofs told with the probes. Call it before Start.
func (s *Service) ShareProof(p Proof) { s.proof = p }

// OnLost registers a hearer of lives that ended. Register before Start.
func (s *Service) OnLost(hear func(host.Identity)) { s.lost = append(s.lost, hear) }

// SetPhase changes what this host says of itself. A host that leaves never
// comes back in the same life.
func (s *Service) SetPhase(p Phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p > s.self.row.Phase {
		s.self.row.Phase = p
		s.self.since = time.Now()
		s.speak(s.self.row.Revision + 1)
	}
}

// Introduced tells whether this host has been ready for long enough that the
// others know it. Before that, requests that it takes would meet two owners.
func (s *Service) Introduced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := introduction * s.common.Settings.Heartbeat.Std()
	return s.self.row.Phase == Ready && time.Since(s.self.since) > known
}

// SetVersion tells the others which configuration is in force here.
func (s *Service) SetVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.row.Version = version
	s.speak(s.self.row.Revision + 1)
}

// speak makes a new word of this host about itself; s.mu is held.
func (s *Service) speak(revision uint64) {
	s.self.row.Revision = revision
	s.self.spread = s.spreadCount()
}

// Settled tells whether this host knows the fleet well enough to take a role:
// it stands on the host list itself, and every other host there is known. Two
// hosts that know different fleets take different hosts for the owner of a
// service, and each owner fills the endpoints to their limit. A list that is
// wrong or down delays a start no longer than settleBound.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.started) > s.settleBound() {
		return true
	}
	self := false
	for _, l := range s.listed {
		if l.Role != entryRole {
			continue
		}
		if l.Name == s.self.row.Name {
			self = true
			continue
		}
		if e := s.table[l.Name]; l.State == liveState && (e == nil || e.row.State == Dead) {
			return false
		}
	}
	return self
}

// settleBound is how long a host waits at most until it knows the others.
func (s *Service) settleBound() time.Duration {
	if s.common.Settings.HostListURL == "" {
		// What is listed may be long gone: a few heartbeats must do.
		return settleBeats * s.common.Settings.Heartbeat.Std()
	}
	return settleBound
}

// Avoid gives a host no role for a short while, after a call to it failed.
func (s *Service) Avoid(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table[name]; e != nil {
		e.avoided = time.Now()
		e.miss()
	}
}

// Address gives a host's address for calls.
func (s *Service) Address(name string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table[name]; e != nil {
		return e.row.Address, true
	}
	return "", false
}

// Gone tells whether that life of a host is known to have ended.
func (s *Service) Gone(life host.Identity) bool {
	if life == s.common.Self {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if life.Name == s.common.Self.Name {
		return true
	}
	e := s.table[life.Name]
	if e == nil {
		return false
	}
	ended := e.row.identity() == life && e.row.State == Dead
	return e.row.identity().Later(life) || ended
}

// ReadyNames gives the hosts that may have a role now, in order of name. It
// always has one: this host itself, if no other.
func (s *Service) ReadyNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.table)+1)
	for name, e := range s.table {
		avoided := time.Since(e.avoided) < avoidInterval
		if e.row.Phase == Ready && e.row.State == Alive && !avoided {
			names = append(names, name)
		}
	}
	if len(names) == 0 && s.self.row.Phase == Starting {
		// All start together: those who know each other agree.
		names = s.startingNames()
	}
	if s.self.row.Phase == Ready || len(names) == 0 {
		names = append(names, s.self.row.Name)
	}
	slices.Sort(names)
	return names
}

// startingNames gives this host and the others that start; s.mu is held.
func (s *Service) startingNames() []string {
	names := []string{s.self.row.Name}
	for name, e := range s.table {
		if e.row.Phase == Starting && e.row.State == Alive && time.Since(e.avoided) >= avoidInterval {
			names = append(names, name)
		}
	}
	return names
}

// Members gives all the hosts known, this one first.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := make([]Member, 0, len(s.table)+1)
	for _, e := range s.table {
		members = append(members, e.row.member())
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Identity.Name, b.Identity.Name) })
	return append([]Member{s.self.row.member()}, members...)
}

// NewestVersion gives the highest version that another host is known to have in
// force; zero if none is known.
func (s *Service) NewestVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := int64(0)
	for _, e := range s.table {
		newest = max(newest, e.row.Version)
	}
	return newest
}

// SetEndpoints tells the others the revision of the newest change of endpoints
// known here.
func (s *Service) SetEndpoints(revision int64) { s.endpoints.Store(revision) }

// NewestEndpoints gives the highest such revision that another host told of.
func (s *Service) NewestEndpoints() int64 { return s.newestEndpoints.Load() }

// Alone tells whether other hosts are known and none of them is alive.
func (s *Service) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.table {
		if e.row.State == Alive {
			return false
		}
	}
	return len(s.table) > 0 || s.othersListed()
}
