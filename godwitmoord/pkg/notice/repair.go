package notice

import (
	"context"
	"time"
)

const (
	// differenceGrace is how long boards may differ before they are compared: until
	// then notices are on their way. A host whose board is empty just started, and
	// compares it at once.
	differenceGrace = 300 * time.Millisecond
	// minRepairPause is the shortest time between two comparisons that this host
	// asks for. With a host whose board, like the one here, does not change, it doubles
	// with each comparison, up to maxRepairPause.
	minRepairPause = 250 * time.Millisecond
	maxRepairPause = 30 * time.Second
)

// repairState is the state of the comparisons that this host asks for.
type repairState struct {
	// differingSince is when digests were first found to differ; zero while they
	// agree.
	differingSince time.Time
	lastStarted    time.Time
	running        bool
	// peers holds the hosts that were compared with, by address.
	peers map[string]comparedPeer
}

// comparedPeer is what is known of a host from the last comparison with it.
type comparedPeer struct {
	// digest is that of its board, and own that of the board here, before the
	// comparison. While neither changes, the next one follows after pause at the
	// earliest.
	digest, own uint64
	at          time.Time
	pause       time.Duration
}

// maxComparedPeers bounds the hosts of which the last comparison is remembered.
const maxComparedPeers = 1024

// dueFor reports whether a comparison with a host is due whose digest differs.
func (r *repairState) dueFor(address string, digest, own uint64, now time.Time) bool {
	onTheirWay := now.Sub(r.differingSince) < differenceGrace && own != emptyDigest
	if r.running || onTheirWay || now.Sub(r.lastStarted) < minRepairPause {
		return false
	}
	p, compared := r.peers[address]
	unchanged := compared && p.digest == digest && p.own == own
	return !unchanged || now.Sub(p.at) >= p.pause
}

// begin records the start of a comparison.
func (r *repairState) begin(address string, digest, own uint64, now time.Time) {
	if r.peers == nil || len(r.peers) >= maxComparedPeers {
		r.peers = map[string]comparedPeer{}
	}
	p := r.peers[address]
	if p.digest != digest || p.own != own {
		p.pause = 0
	}
	r.peers[address] = comparedPeer{digest: digest, own: own, at: now, pause: min(max(2*p.pause, minRepairPause), maxRepairPause)}
	r.running, r.lastStarted = true, now
}

// CheckDigest takes the digest that the host at address sent with a probe. It
// compares the boards in the background if they have differed for long enough.
func (s *Service) CheckDigest(address string, digest uint64) {
	own := s.Digest()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.repair
	now := time.Now()
	if digest == own {
		r.differingSince = time.Time{}
		return
	}
	if r.differingSince.IsZero() {
		r.differingSince = now
	}
	if s.peers == nil || !r.dueFor(address, digest, own, now) {
		return
	}
	r.begin(address, digest, own, now)
	c := &comparison{service: s, address: address}
	go c.run(s.ctx)
}

// comparison compares the boards of this host and another one.
type comparison struct {
	service *Service
	address string
}

func (c *comparison) run(ctx context.Context) {
	s := c.service
	answer, err := s.call(ctx, c.address, message{Compare: true, Held: s.held()})
	s.merge(answer.Notices, c.address)
	if err == nil {
		s.sendWanted(ctx, c.address, answer.Wanted)
	}
	s.common.Count("notices.compared")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repair.running = false
}

// held lists what the board holds.
func (s *Service) held() []heldKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	held := make([]heldKey, 0, len(s.board.entries))
	for k, e := range s.board.entries {
		if !e.expired(now) {
			held = append(held, heldKey{Topic: k.topic, Subject: k.subject, Version: e.notice.Version})
		}
	}
	return held
}

// compare returns the notices that another board lacks, and names those that it
// holds and this board lacks.
func (s *Service) compare(held []heldKey) message {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var answer message
	theirs := make(map[key]int64, len(held))
	for _, h := range held {
		theirs[h.key()] = h.Version
		if version, known := s.board.version(h.key(), now); !known || version < h.Version {
			answer.Wanted = append(answer.Wanted, h)
		}
	}
	size := 0
	for k, e := range s.board.entries {
		version, known := theirs[k]
		if e.expired(now) || (known && version >= e.notice.Version) {
			continue
		}
		size += len(e.notice.Body)
		if len(answer.Notices) > 0 && (size > maxMessageBytes || len(answer.Notices) >= maxMessageNotices) {
			break
		}
		answer.Notices = append(answer.Notices, newWireNotice(e.at(now)))
	}
	return answer
}

// wanted returns the notices on the board that another host wants, as many as one
// message holds.
func (s *Service) wanted(keys []heldKey) []wireNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var notices []wireNotice
	size := 0
	for _, h := range keys {
		n, known := s.board.get(h.key(), now)
		size += len(n.Body)
		if len(notices) > 0 && (size > maxMessageBytes || len(notices) >= maxMessageNotices) {
			break
		}
		if known {
			notices = append(notices, newWireNotice(n))
		}
	}
	return notices
}
