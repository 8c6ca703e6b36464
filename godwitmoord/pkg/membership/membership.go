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
// for its endpoints, or to prove the freshness of the configuration. A
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

const (
	// maxHosts bounds the rows of the table and of a message; maxFieldBytes bounds
	// each text in a row.
	maxHosts      = 4096
	maxFieldBytes = 128
	// forgetFactor times the setting dead-after is how long a dead host stays
	// in the table.
	forgetFactor = 60
	// avoidInterval is how long a host gets no role after a call to it failed.
	avoidInterval = 2 * time.Second
	// maxStartupWait bounds the wait for the fleet if a host list is configured.
	// Without one, the bound is startupWaitHeartbeats.
	maxStartupWait        = 8 * time.Second
	startupWaitHeartbeats = 4
	// A host unreachable for no longer than briefAbsence is assumed not to have
	// granted permits by itself.
	briefAbsence = time.Second
	// newProcessAge is how long after its start a process on the platform treats
	// another row with its own name as left by an earlier process, and exceeds its
	// incarnation.
	newProcessAge = time.Second
	// lostHostWindow is how long a host that is no longer alive still counts as
	// part of the fleet, as it may be cut off and serving. It starts again when a
	// suspected host is declared dead.
	lostHostWindow = 15 * time.Second
	// propagationHeartbeats is the number of heartbeats in which a new phase
	// reaches the other hosts.
	propagationHeartbeats = 5
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
	// order holds the names of the hosts still to be probed in this round.
	order []string
	// lastExtraProbes is when probeOthers last probed further hosts after a failed
	// probe.
	lastExtraProbes time.Time
	listed          []hostListItem
	lostCallbacks   []func(host.Identity)
	proof           FreshnessProof
	// endpointsRevision is the revision of the newest change of endpoints that
	// this host knows; newestEndpointsRevision is the highest that another host
	// reported.
	endpointsRevision       atomic.Int64
	newestEndpointsRevision atomic.Int64
	// differingProbes is the number of probes in a row that found a different
	// table.
	differingProbes int
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
		s.publishSelf(s.self.row.Revision + 1)
	}
}

// ReadinessPropagated reports whether this host has been ready for long enough
// that the other hosts have received that phase. Until then they may choose
// another owner for a service than this host does, so requests for it would reach
// two owners.
func (s *Service) ReadinessPropagated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	propagation := propagationHeartbeats * s.common.Settings.Heartbeat.Std()
	return s.self.row.Phase == Ready && time.Since(s.self.changedAt) > propagation
}

// SetVersion sets the version of the configuration in force here and disseminates
// it.
func (s *Service) SetVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.row.Version = version
	s.publishSelf(s.self.row.Revision + 1)
}

// publishSelf gives this host's own row a new revision and schedules its
// dissemination; s.mu is held.
func (s *Service) publishSelf(revision uint64) {
	s.self.row.Revision = revision
	s.self.transmitsLeft = s.transmitLimit()
}

// FleetDiscovered reports whether this host knows the fleet well enough to take
// a role: it is on the host list itself, and no host listed as live is missing
// or dead in the table. After startupWait it returns true in any case. Two
// hosts with different views of the fleet choose different owners for a
// service, and each of these owners fills the endpoints to their limit. A list
// that is wrong or unavailable delays a start by startupWait at most.
func (s *Service) FleetDiscovered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.started) > s.startupWait() {
		return true
	}
	selfListed := false
	for _, l := range s.listed {
		if l.Role != entryRole {
			continue
		}
		if l.Name == s.self.row.Name {
			selfListed = true
			continue
		}
		if e := s.table[l.Name]; l.State == liveState && (e == nil || e.row.State == Dead) {
			return false
		}
	}
	return selfListed
}

// startupWait returns the longest time that a host waits until it knows the
// others.
func (s *Service) startupWait() time.Duration {
	if s.common.Settings.HostListURL == "" {
		// Listed hosts may have left long ago, so wait for a few heartbeats only.
		return startupWaitHeartbeats * s.common.Settings.Heartbeat.Std()
	}
	return maxStartupWait
}

// Avoid excludes a host from roles for avoidInterval, after a call to it failed. It
// also marks the host as unreachable from here.
func (s *Service) Avoid(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table[name]; e != nil {
		e.avoidedAt = time.Now()
		e.recordFailure()
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

// ReadyNames returns the names of the hosts that may have a role now, sorted. It
// is never empty: if no host qualifies, it holds this host.
func (s *Service) ReadyNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.table)+1)
	for name, e := range s.table {
		avoided := time.Since(e.avoidedAt) < avoidInterval
		if e.row.Phase == Ready && e.row.State == Alive && !avoided {
			names = append(names, name)
		}
	}
	if len(names) == 0 && s.self.row.Phase == Starting {
		// No other host is ready, so the fleet is starting. Counting the starting
		// hosts makes those that know each other choose the same owners.
		names = s.startingNames()
	}
	if s.self.row.Phase == Ready || len(names) == 0 {
		names = append(names, s.self.row.Name)
	}
	slices.Sort(names)
	return names
}

// startingNames returns the names of this host and of the others that are
// starting; s.mu is held.
func (s *Service) startingNames() []string {
	names := []string{s.self.row.Name}
	for name, e := range s.table {
		if e.row.Phase == Starting && e.row.State == Alive && time.Since(e.avoidedAt) >= avoidInterval {
			names = append(names, name)
		}
	}
	return names
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

// SetEndpointsRevision sets the revision of the newest change of endpoints that
// this host knows. The next probes report it to the other hosts.
func (s *Service) SetEndpointsRevision(revision int64) { s.endpointsRevision.Store(revision) }

// NewestEndpointsRevision returns the highest revision of a change of endpoints
// that another host has reported.
func (s *Service) NewestEndpointsRevision() int64 { return s.newestEndpointsRevision.Load() }

// Isolated reports whether this host has lost contact with the fleet: other hosts
// are known or listed, and none of them is alive.
func (s *Service) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.table {
		if e.row.State == Alive {
			return false
		}
	}
	return len(s.table) > 0 || s.othersListed()
}
