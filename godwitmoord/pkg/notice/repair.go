package notice

import (
	"context"
	"time"
)

const (
	// differenceGrace is how long boards may differ before they are compared: until
	// then notices are on their way.
	differenceGrace = 300 * time.Millisecond
	// minRepairPause is the shortest time between two comparisons that this host
	// asks for. It doubles with each one that changed nothing, up to maxRepairPause.
	minRepairPause = 250 * time.Millisecond
	maxRepairPause = 30 * time.Second
)

// repairState is the state of the comparisons that this host asks for.
type repairState struct {
	// differingSince is when digests were first found to differ; zero while they
	// agree.
	differingSince time.Time
	lastStarted    time.Time
	pause          time.Duration
	running        bool
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
		r.differingSince, r.pause = time.Time{}, 0
		return
	}
	if r.differingSince.IsZero() {
		r.differingSince = now
	}
	due := now.Sub(r.differingSince) >= differenceGrace && now.Sub(r.lastStarted) >= max(r.pause, minRepairPause)
	if !due || r.running {
		return
	}
	r.running, r.lastStarted = true, now
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
	changed := s.merge(answer.Notices, c.address)
	if notices := s.wanted(answer.Wanted); err == nil && len(notices) > 0 {
		answer, err = s.call(ctx, c.address, message{Notices: notices})
		changed += answer.New
	}
	s.common.Count("notices.compared")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repair.running = false
	s.repair.pause = min(max(2*s.repair.pause, minRepairPause), maxRepairPause)
	if err == nil && changed > 0 {
		s.repair.pause = 0
	}
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
