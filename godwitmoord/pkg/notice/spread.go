package notice

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

const (
	// fanOut is the number of hosts that a host sends a new notice to. With five, a
	// notice misses about one host in a hundred; comparing boards does the rest.
	fanOut = 5
	// minSendPause and maxSendPause bound the pause before new notices are sent,
	// which gathers them in one message. It is random, so that of many hosts that
	// learn a fact at the same moment only some send it.
	minSendPause = 5 * time.Millisecond
	maxSendPause = 60 * time.Millisecond
	// enoughSenders is the number of hosts from which a notice that this host learned
	// by itself must have come during the pause for this host not to send it.
	enoughSenders = 2
	// maxMessageNotices and maxMessageBytes bound the notices in one message.
	maxMessageNotices = 512
	maxMessageBytes   = 768 << 10
	sendTimeout       = 750 * time.Millisecond
	// offeredBodyBytes is the size of a body from which a notice is offered to others
	// first, so that each host receives it about once.
	offeredBodyBytes = 4 << 10
	// offerWait is how long a host that wants an offered notice waits for it before it
	// wants it from another host.
	offerWait = 500 * time.Millisecond
)

// wireNotice is a notice as hosts exchange it.
type wireNotice struct {
	Topic   string        `cbor:"1,keyasint"`
	Subject string        `cbor:"2,keyasint"`
	Version int64         `cbor:"3,keyasint"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
	Age     time.Duration `cbor:"5,keyasint"`
	Life    time.Duration `cbor:"6,keyasint,omitempty"`
}

func newWireNotice(n Notice) wireNotice { return wireNotice(n) }

// message carries notices, and asks for a comparison of boards or answers it.
type message struct {
	Notices []wireNotice `cbor:"1,keyasint,omitempty"`
	// Compare is set in a request to compare boards; Held then lists what the
	// sender's board holds.
	Compare bool      `cbor:"2,keyasint,omitempty"`
	Held    []heldKey `cbor:"3,keyasint,omitempty"`
	// Wanted lists what the sender lacks: in the answer to a comparison or to an offer,
	// and in a request that the receiver answers with these notices.
	Wanted []heldKey `cbor:"4,keyasint,omitempty"`
	// Offered lists large notices that the receiver may want.
	Offered []heldKey `cbor:"5,keyasint,omitempty"`
}

// heldKey names a subject and the version that a board holds about it.
type heldKey struct {
	Topic   string `cbor:"1,keyasint"`
	Subject string `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
}

func (h heldKey) key() key { return key{topic: h.Topic, subject: h.Subject} }

// pendingSend is a notice that waits to be sent.
type pendingSend struct {
	// published is set if this host learned the notice by itself, as others may have
	// at the same moment. senders is how many hosts sent it here since.
	published bool
	senders   int
}

// queue schedules a subject to be sent to other hosts; s.mu is held.
func (s *Service) queue(k key, p pendingSend) {
	s.pending[k] = p
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run sends pending notices until ctx ends.
func (s *Service) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minSendPause + rand.N(maxSendPause-minSendPause)):
		}
		s.sendPending(ctx)
	}
}

// sendPending sends the pending notices to fanOut random hosts.
func (s *Service) sendPending(ctx context.Context) {
	m := s.takePending()
	if len(m.Notices) == 0 && len(m.Offered) == 0 {
		return
	}
	for _, name := range s.targets() {
		t := &transmission{service: s, host: name, message: m}
		go t.run(ctx)
	}
}

// takePending returns a message with the pending notices that not enough other hosts
// have sent, as many as one message holds, and offers the large ones. The rest stays
// pending.
func (s *Service) takePending() message {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var m message
	size := 0
	for k, p := range s.pending {
		n, known := s.board.get(k, now)
		if !known || (p.published && p.senders >= enoughSenders) {
			delete(s.pending, k)
			continue
		}
		if len(n.Body) >= offeredBodyBytes {
			delete(s.pending, k)
			m.Offered = append(m.Offered, heldKey{Topic: k.topic, Subject: k.subject, Version: n.Version})
			continue
		}
		if len(m.Notices) >= maxMessageNotices || (len(m.Notices) > 0 && size+len(n.Body) > maxMessageBytes) {
			s.queue(k, p)
			continue
		}
		delete(s.pending, k)
		m.Notices = append(m.Notices, newWireNotice(n))
		size += len(n.Body)
	}
	return m
}

// targets returns the names of fanOut random hosts that are alive.
func (s *Service) targets() []string {
	var names []string
	for _, m := range s.members.Members() {
		if m.State == membership.Alive && m.Identity.Name != s.common.Self.Name {
			names = append(names, m.Identity.Name)
		}
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(fanOut, len(names))]
}

// transmission sends one message to one host.
type transmission struct {
	service *Service
	host    string
	message message
}

func (t *transmission) run(ctx context.Context) {
	s := t.service
	address, known := s.members.Address(t.host)
	if !known {
		return
	}
	answer, err := s.call(ctx, address, t.message)
	if err != nil {
		// The host learns the notices from another one, or by comparing boards.
		s.common.Count("notices.unsent")
		return
	}
	s.sendWanted(ctx, address, answer.Wanted)
}

// sendWanted sends the notices that the host at address wants, if there are any.
func (s *Service) sendWanted(ctx context.Context, address string, wanted []heldKey) {
	notices := s.wanted(wanted)
	if len(notices) == 0 {
		return
	}
	if _, err := s.call(ctx, address, message{Notices: notices}); err != nil {
		// The next comparison of boards finds what the host lacks.
		s.common.Count("notices.unsent")
	}
}

// call sends a message and returns the answer.
func (s *Service) call(ctx context.Context, address string, m message) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	body, err := cbor.Marshal(m)
	if err != nil {
		return message{}, err
	}
	data, err := s.peers.Call(ctx, address, kernel.Notice, body)
	if err != nil {
		return message{}, err
	}
	var answer message
	if len(data) == 0 {
		return answer, nil
	}
	err = cbor.Unmarshal(data, &answer)
	return answer, err
}

// receive handles a message of another host.
func (s *Service) receive(from host.Identity, body []byte) ([]byte, error) {
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, &peer.RefusedError{Reason: "malformed notices"}
	}
	s.merge(m.Notices, from.Name)
	switch {
	case m.Compare:
		return cbor.Marshal(s.compare(m.Held))
	case len(m.Offered) > 0:
		return cbor.Marshal(message{Wanted: s.choose(m.Offered)})
	case len(m.Wanted) > 0:
		return cbor.Marshal(message{Notices: s.wanted(m.Wanted)})
	default:
		return nil, nil
	}
}

// choose returns the offered notices that this host lacks and waits for from no other
// host.
func (s *Service) choose(offered []heldKey) []heldKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.awaited, func(_ key, until time.Time) bool { return !now.Before(until) })
	var chosen []heldKey
	for _, h := range offered {
		version, known := s.board.version(h.key(), now)
		if (known && version >= h.Version) || !s.awaited[h.key()].IsZero() || len(s.awaited) >= maxNotices {
			continue
		}
		s.awaited[h.key()] = now.Add(offerWait)
		chosen = append(chosen, h)
	}
	return chosen
}

// Fetch gets the notice that a host holds about a subject.
func (s *Service) Fetch(ctx context.Context, host, topic, subject string) error {
	address, known := s.members.Address(host)
	if !known {
		return errors.Newf("host %s is not known here", host)
	}
	answer, err := s.call(ctx, address, message{Wanted: []heldKey{{Topic: topic, Subject: subject}}})
	if err != nil {
		return err
	}
	s.merge(answer.Notices, host)
	return nil
}

// merge applies the notices received from a host and schedules the new ones to be
// sent on.
func (s *Service) merge(notices []wireNotice, from string) {
	for _, w := range notices {
		s.accept(Notice(w), from)
	}
}

// accept applies one notice, unless it is known.
func (s *Service) accept(n Notice, from string) {
	if !n.valid() || s.isKnown(n) {
		return
	}
	// The handler may publish notices itself, so no lock is held here.
	if handler := s.handlers[n.Topic]; handler == nil || !handler(n) {
		s.common.Count("notices.refused")
		return
	}
	s.mu.Lock()
	delete(s.awaited, n.key())
	isNew := s.board.put(n, time.Now())
	if isNew {
		s.queue(n.key(), pendingSend{})
	}
	s.mu.Unlock()
	if isNew {
		s.common.Count("notices.received")
		s.common.Log.Info("notice received", zap.String("topic", n.Topic), zap.String("subject", n.Subject),
			zap.Int64("version", n.Version), zap.Duration("age", n.Age), zap.String("from", from))
	}
}

// isKnown reports whether the board holds a notice already, and counts the host that
// sent it once more.
func (s *Service) isKnown(n Notice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, held := s.board.version(n.key(), time.Now())
	if !held || version < n.Version {
		return false
	}
	if p, isPending := s.pending[n.key()]; isPending && version == n.Version {
		p.senders++
		s.pending[n.key()] = p
	}
	return true
}
