// Package membership detects which hosts are alive. It is a failure detector with
// gossip, similar to SWIM.
//
// A host finds the others through the platform's host list, or through
// SetListedHosts where no host list is configured. The list is late, so the
// hosts also monitor each other: at every heartbeat a host sends a direct probe
// to one other, in a random order in which each host has its turn. If there is
// no answer, a few other hosts probe the same host indirectly, so that a single
// bad link does not cause a suspicion. If none of them gets an answer, the host
// is suspected and gets no role. A role is a task that the fleet assigns by the
// names of its ready hosts: to own a service, that is, to decide on the permits
// for its endpoints, or to read the platform's store for all others. A
// suspected host can refute the suspicion itself; if it does not within the
// setting dead-after, it counts as dead. Changed rows are disseminated with the
// probes, each a number of times that grows with the logarithm of the fleet
// size, so the traffic of a single host does not grow with the fleet. After
// several probes in a row that found a different table, two hosts exchange all
// their rows (anti-entropy).
//
// A row holds what is known of one host. Only that host raises the row's
// incarnation, which identifies one run of its process, and the row's revision,
// which grows with every change that the host makes to its own row and with every
// refutation. Of two rows of a host, the one with the higher incarnation replaces
// the other; if these are equal, the one with the higher revision; and if these
// are equal too, the one with the worse state.
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
	"godwitmoor.example/coordination/pkg/reply"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

// transport sends calls to other hosts.
type transport interface {
	Call(ctx context.Context, address, service string, body []byte) ([]byte, error)
}

// Service holds the table of hosts and probes them.
type Service struct {
	common  *common.Common
	peers   transport
	client  *http.Client
	started time.Time

	mu    sync.Mutex
	table map[string]*tableRow
	self  tableRow
	// candidates are determined from table and self.
	candidates candidates
	// order holds the names of the hosts still to be probed in this round.
	order []string
	// lastExtraProbes is when probeOthers last probed further hosts after a failed
	// probe.
	lastExtraProbes time.Time
	listed          []hostListItem
	// contacts records the latest contact attempts to hosts that are unknown or dead.
	contacts      contacts
	lostCallbacks []func(host.Identity)
	proof         FreshnessProof
	// askingBack is set while this host asks another one for its fresher proof.
	askingBack atomic.Bool
	notices    NoticeDigests
	// storeReader is nil where hosts don't read a platform's store.
	storeReader StoreReader
	// lastReader is when a host last answered that it reads the store, or may do.
	lastReader time.Time
	// differingProbes is the number of probes in a row that found a different
	// table.
	differingProbes int
	// roundTrips holds the shortest recent round trips of probes, by data centre.
	roundTrips map[string]*shortestTrip
}

// New returns a service whose table is empty.
func New(c *common.Common) *Service {
	return &Service{
		common: c,
		client: &http.Client{Transport: reply.NewTransport(), Timeout: listTimeout},
		table:  map[string]*tableRow{},
		self: tableRow{row: row{
			Name:        c.Self.Name,
			Incarnation: c.Self.Incarnation,
			Address:     c.Settings.PeerListen,
			DataCentre:  c.Settings.DataCentre,
			Capacity:    c.Settings.Capacity(),
		}},
	}
}

// Start registers the handler of other hosts' requests, begins to probe and, if
// one is configured, to read the host list.
func (s *Service) Start(ctx context.Context) error {
	peers, err := kernel.Lookup[*peer.Service](s.common.Kernel, kernel.Peer)
	if err != nil {
		return err
	}
	s.peers = peers
	s.started = time.Now()
	peers.Handle(kernel.Membership, s.handle)
	go s.run(ctx)
	if s.common.Settings.HostListURL == "" {
		// SetListedHosts supplies the hosts instead.
		return nil
	}
	l := &lister{service: s}
	go l.run(ctx)
	return nil
}

// Stop does nothing: all work ends with the context of Start.
func (s *Service) Stop(context.Context) error { return nil }

// OnLost registers a callback for each incarnation of a host that has ended,
// because the host was declared dead or restarted. Register it before Start.
func (s *Service) OnLost(callback func(host.Identity)) {
	s.lostCallbacks = append(s.lostCallbacks, callback)
}

// SetPhase advances the phase of this host and disseminates it. An earlier phase
// is ignored: a leaving host does not become ready again in the same incarnation.
func (s *Service) SetPhase(p Phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p > s.self.row.Phase {
		s.self.row.Phase = p
		s.self.changedAt = time.Now()
		s.candidates.invalidate()
		s.publishSelf(s.self.row.Revision + 1)
	}
}

// Address returns the address for calls to a host; false if the host is unknown.
func (s *Service) Address(name string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table[name]; e != nil {
		return e.row.Address, true
	}
	return "", false
}

// IncarnationEnded reports whether an incarnation of a host is known to have
// ended, because the host is dead or a later incarnation has replaced it.
func (s *Service) IncarnationEnded(identity host.Identity) bool {
	if identity == s.common.Self {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if identity.Name == s.common.Self.Name {
		return true
	}
	e := s.table[identity.Name]
	if e == nil {
		return false
	}
	ended := e.row.identity() == identity && e.row.State == Dead
	return e.row.identity().Later(identity) || ended
}

// Members returns all known hosts, this one first and the others sorted by name.
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
