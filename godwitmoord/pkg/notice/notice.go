// Package notice carries facts that one host learned to all other hosts.
//
// A notice states one fact about one subject, for example what an entry of the
// store says. Of two notices with the same topic and subject the one with the
// higher version replaces the other, so notices may arrive in any order, over any
// host and more than once. A board holds the newest notice about each subject.
//
// A host that publishes a notice, or receives one that is new to it, sends it to a
// few random hosts after a short pause; a large one it offers first, so that each host
// receives it about once. One that publishes does not, if enough others sent it the same
// in the meantime. What is lost on the way is repaired: hosts exchange digests of their
// boards with the membership probes, and two hosts whose boards differ compare them. So
// a host learns what any host knows, also while it can't ask the source
// itself, and no path of its own is needed for each kind of fact.
//
// # Usage
//
//	notices.Handle("endpoint", func(n notice.Notice) bool { return apply(n) })
//	notices.Publish(notice.Notice{Topic: "endpoint", Subject: name, Version: revision, Body: value})
//
// A handler returns false for a notice that it refuses, for example because the
// host knows better. A refused notice is neither kept nor sent on.
package notice

import (
	"context"
	"sync"
	"time"

	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

// Notice states one fact about one subject.
type Notice struct {
	// Topic and Subject say what the notice is about.
	Topic, Subject string
	// Version orders the notices about a subject; the highest one holds.
	Version int64
	// Body is the fact, in the encoding of its topic.
	Body []byte
	// Age is how long ago the first host learned the fact.
	Age time.Duration
	// Life is how long hosts keep the notice from now on; zero means until a
	// higher version replaces it.
	Life time.Duration
}

// transport sends calls to other hosts.
type transport interface {
	Call(ctx context.Context, address, service string, body []byte) ([]byte, error)
}

// fleet lists the hosts that notices are sent to.
type fleet interface {
	Members() []membership.Member
	Address(name string) (string, bool)
}

// Service holds the board of this host and exchanges notices with other hosts.
type Service struct {
	common   *common.Common
	peers    transport
	members  fleet
	ctx      context.Context
	handlers map[string]func(Notice) bool

	mu    sync.Mutex
	board board
	// pending holds the subjects to send.
	pending map[key]pendingSend
	// awaited holds until when this host waits for offered notices that it wanted.
	awaited map[key]time.Time
	// wake has a value while pending may hold subjects.
	wake   chan struct{}
	repair repairState
}

// New returns a service with an empty board.
func New(c *common.Common) *Service {
	return &Service{
		common: c, handlers: map[string]func(Notice) bool{}, pending: map[key]pendingSend{}, awaited: map[key]time.Time{}, wake: make(chan struct{}, 1),
		ctx: context.Background(),
	}
}

// Handle registers the handler of a topic. Register it before Start; a notice of a topic
// without a handler is refused.
func (s *Service) Handle(topic string, handler func(Notice) bool) { s.handlers[topic] = handler }

// Start begins to exchange notices with other hosts.
func (s *Service) Start(ctx context.Context) error {
	peers, err := kernel.Lookup[*peer.Service](s.common.Kernel, kernel.Peer)
	if err != nil {
		return err
	}
	members, err := kernel.Lookup[*membership.Service](s.common.Kernel, kernel.Membership)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.peers, s.members, s.ctx = peers, members, ctx
	s.mu.Unlock()
	peers.Handle(kernel.Notice, s.receive)
	go s.run(ctx)
	return nil
}

// Stop does nothing: all work ends with the context of Start.
func (s *Service) Stop(context.Context) error { return nil }

// Publish keeps a notice that this host learned by itself and sends it to the other
// hosts. It does nothing if the board holds that version or a higher one.
func (s *Service) Publish(n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.board.put(n, time.Now()) {
		s.queue(n.key(), pendingSend{published: true})
	}
}

// Keep keeps a notice without sending it: other hosts usually learn it by
// themselves, and those that don't get it when boards are compared.
func (s *Service) Keep(n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.put(n, time.Now())
}

// Forget removes a notice from the board if its version is not above the given one.
func (s *Service) Forget(topic, subject string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.remove(key{topic: topic, subject: subject}, version)
}

// Tell sends what the board holds about a subject to one host at once.
func (s *Service) Tell(name, topic, subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, known := s.board.get(key{topic: topic, subject: subject}, time.Now())
	if !known || s.peers == nil {
		return
	}
	t := &transmission{service: s, host: name, message: message{Notices: []wireNotice{newWireNotice(n)}}}
	go t.run(s.ctx)
}

// Digest returns a hash of the board. Equal boards have equal digests.
func (s *Service) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.board.digest(time.Now())
}
