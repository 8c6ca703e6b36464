package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
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
	// directProbeTimeout bounds a direct probe.
	directProbeTimeout = 400 * time.Millisecond
)

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
		shuffle(s.order)
	}
	return row{}, false
}

// unknownHosts returns the addresses of a few random hosts that are listed and unknown
// here, or dead here. Contacting them admits new hosts, and rejoins the two halves of
// the fleet after a network partition. It records the attempts.
func (s *Service) unknownHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	pauses := map[string]time.Duration{}
	for _, l := range s.listed {
		if l.Role == entryRole && l.Name != s.self.row.Name && s.isUnknown(l) && s.contacts.due(l.Address, now) {
			pauses[l.Address] = contactPause
		}
	}
	for _, e := range s.table {
		if e.row.State == Dead && e.row.Phase != Leaving && s.contacts.due(e.row.Address, now) {
			pauses[e.row.Address] = deadContactPause
		}
	}
	chosen := sample(slices.Collect(maps.Keys(pauses)), maxHandshakes)
	for _, address := range chosen {
		s.contacts.begin(address, now, pauses[address])
	}
	return chosen
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
	sentAt := time.Now()
	reply, err := s.exchange(ctx, p.target.Address, message{Kind: probeKind}, directProbeTimeout)
	s.recordContact(p.target, err == nil)
	if err != nil {
		s.probeOthers(ctx)
		if !p.probeIndirectly(ctx) {
			s.suspect(p.target.Name, p.target.Incarnation)
		}
		return
	}
	s.recordRoundTrip(p.target, time.Since(sentAt))
	s.recordReader(reply.Reads)
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
	for _, r := range sample(others, maxExtraProbes) {
		p := &probe{service: s, target: r}
		go p.run(ctx)
	}
}

// sample returns up to limit random items, and reorders the given ones.
func sample[T any](items []T, limit int) []T {
	shuffle(items)
	return items[:min(limit, len(items))]
}

func shuffle[T any](items []T) {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}
