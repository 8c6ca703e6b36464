// Package dispatch brings waiting requests and free places together.
//
// The host that holds a request, the entry, asks the owner of the service for a
// permit and sends the request itself. The owner is the live host that comes
// first by rendezvous hashing; it runs the decision core for the service and
// keeps nothing that the entries could not tell a new owner. Two owners for a
// while, or a lost message, can let in too many requests at once; they can never
// run one twice, since an entry uses one permit for a request at a time.
package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/peer"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	eventRing    = 16384
	tickInterval = 50 * time.Millisecond
	// settleTime is how long a new owner leaves room for permits that entries
	// have not told it of yet.
	settleTime = time.Second
	// awayTime is how long no ask may come to an owner before it must take others
	// to have decided meanwhile.
	awayTime = time.Second
	// noticeTime is how long after a change of owners the former one may still be
	// asked.
	noticeTime = 1200 * time.Millisecond
)

// Owner decides for the services that this host owns.
type Owner struct {
	common  *common.Common
	release *release.Service
	members *membership.Service
	record  *record.Service
	outbox  peer.Outbox
	// local takes the decisions for requests that wait on this host itself.
	local  func(from host.Identity, m ownerMessage)
	ctx    context.Context
	keeper keeper

	mu    sync.Mutex
	seats map[string]*seat

	shareMu sync.Mutex
	share   float64
}

// NewOwner makes the service.
func NewOwner(c *common.Common) *Owner {
	return &Owner{common: c, seats: map[string]*seat{}}
}

// Start begins to take messages from entries.
func (o *Owner) Start(ctx context.Context) error {
	var err error
	if o.release, err = kernel.Lookup[*release.Service](o.common.Kernel, kernel.Release); err != nil {
		return err
	}
	if o.members, err = kernel.Lookup[*membership.Service](o.common.Kernel, kernel.Membership); err != nil {
		return err
	}
	if o.record, err = kernel.Lookup[*record.Service](o.common.Kernel, kernel.Record); err != nil {
		return err
	}
	peers, err := kernel.Lookup[*peer.Service](o.common.Kernel, kernel.Peer)
	if err != nil {
		return err
	}
	changes, err := o.common.Kernel.Subscribe(ctx, kernel.ConfigurationChanged)
	if err != nil {
		return err
	}
	o.ctx = ctx
	o.outbox = peer.Outbox{To: kernel.Dispatch, Service: peers, Address: o.members.Address, Failed: o.members.Avoid}
	peers.Handle(kernel.Owner, peer.Inbox(o.accept))
	if o.common.Settings.Platform != nil {
		if o.keeper.store, err = kernel.Lookup[keptStore](o.common.Kernel, kernel.Discovery); err != nil {
			return err
		}
		o.keeper.owner = o
		o.keeper.pages = ring.New[keptPage](keptRing)
		go o.keeper.run(ctx)
		go o.keeper.loop(ctx)
	}
	go o.run(changes)
	if o.common.Settings.Platform != nil {
		// There each poll is paid for, and comes late; answers tell as much.
		return nil
	}
	p := &poller{owner: o, client: newLoadClient(), failures: map[string]int{}, closed: map[string]string{}}
	go p.run(ctx)
	return nil
}

// Stop has nothing to hand over: entries tell the next owner.
func (o *Owner) Stop(context.Context) error { return nil }

// HostLost tells every seat that a host's life has ended.
func (o *Owner) HostLost(life host.Identity) {
	for _, s := range o.openSeats() {
		s.events.Offer(permit.HostLost{At: instantNow(), Host: life.Name})
	}
}

// run passes new configurations on to the seats.
func (o *Owner) run(changes <-chan []byte) {
	for range changes {
		for _, s := range o.openSeats() {
			s.configure()
		}
	}
}

// ownsAny tells whether this host owns a service, by its own view.
func (o *Owner) ownsAny() bool {
	current := o.release.Current()
	if current == nil {
		return true
	}
	ready := o.members.ReadyNames()
	return slices.ContainsFunc(current.Configuration.Services, func(s configuration.Service) bool {
		return ownerOf(ready, s.Name) == o.common.Self.Name
	})
}

func (o *Owner) openSeats() []*seat {
	o.mu.Lock()
	defer o.mu.Unlock()
	seats := make([]*seat, 0, len(o.seats))
	for _, s := range o.seats {
		seats = append(seats, s)
	}
	return seats
}

// accept takes one message of an entry on another host.
func (o *Owner) accept(from host.Identity, message []byte) error {
	var m entryMessage
	if err := cbor.Unmarshal(message, &m); err != nil {
		return &peer.RefusedError{Why: "malformed message to an owner"}
	}
	return o.take(from, m)
}

func (o *Owner) take(from host.Identity, m entryMessage) error {
	event := m.event(from.Name)
	if event == nil {
		return &peer.RefusedError{Why: "unknown message to an owner"}
	}
	s := o.seat(m.Service)
	if s == nil {
		// The entry has a configuration that this host has not yet; it asks again.
		o.common.Count("owner.events.unknown-service")
		return nil
	}
	if !s.events.Offer(event) {
		o.common.Count("owner.events.dropped")
	}
	return nil
}

func (m entryMessage) event(from string) permit.Event {
	now := instantNow()
	switch m.Kind {
	case askKind:
		if m.Ask == nil || m.Ask.ID == "" {
			return nil
		}
		ask := *m.Ask
		ask.Host = from
		ask.Deadline = now.After(m.Budget)
		ask.Goal, ask.Patience = instantIn(now, m.Goal), instantIn(now, m.Patience)
		return permit.Asked{At: now, Ask: ask}
	case withdrawKind:
		return permit.Withdrawn{At: now, ID: m.ID}
	case finishKind:
		if m.Usage == nil {
			return nil
		}
		return permit.Finished{At: now, ID: m.ID, Usage: *m.Usage}
	case failKind:
		return permit.Failed{At: now, ID: m.ID, Fault: m.Fault}
	case progressKind:
		if m.Usage == nil {
			return nil
		}
		return permit.Progressed{At: now, ID: m.ID, Usage: *m.Usage}
	case stallKind:
		return permit.Stalled{At: now, ID: m.ID}
	case listKind:
		return permit.Listed{At: now, Host: from, Permits: m.Permits, Paces: m.Paces}
	default:
		return nil
	}
}

// instantIn gives the time so much later; zero stays untold.
func instantIn(now permit.Instant, wait time.Duration) permit.Instant {
	if wait == 0 {
		return 0
	}
	return now.After(wait)
}

// seat gives the seat for a service, and opens it at the first message: an
// entry that takes this host for the owner may know better than this host.
func (o *Owner) seat(service string) *seat {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.seats[service]; s != nil {
		return s
	}
	current := o.release.Current()
	if current == nil {
		return nil
	}
	if _, known := current.Configuration.Service(service); !known {
		return nil
	}
	s := &seat{
		owner:   o,
		service: service,
		epoch:   time.Now().UnixNano(),
		events:  ring.New[permit.Event](eventRing),
	}
	o.seats[service] = s
	go s.run(o.ctx)
	return s
}
