// Package dispatch assigns waiting requests to free endpoints.
//
// The entry of a request is the host that holds the caller's connection. It asks
// the owner of the service for a permit, the right to send the request to one
// endpoint, and then sends the request itself. The owner is the ready host that
// ranks first for the service by rendezvous hashing; it runs the decision core of
// package permit for the service. It keeps no state that a new owner could not get
// from the entries; on the platform it also writes its grants to the store, so that
// quotas hold after all hosts are lost. Two owners at the same time, or a lost
// message, can admit too many requests at once, but they cannot run a request twice,
// because an entry uses only one permit for a request at a time.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
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
	eventQueueSize = 16384
	tickInterval   = 50 * time.Millisecond
	// maxAskGap is how long an owner may receive no ask before it must assume that
	// another owner has decided in the meantime.
	maxAskGap = time.Second
	// ownerChangeTime is how long after a change of owners entries may still send
	// asks to the former owner.
	ownerChangeTime = 1200 * time.Millisecond
	// rereadInterval is how often an owner without all earlier grants reads them again.
	rereadInterval = time.Second
	// maxKnownServices bounds the services of which the grants of other hosts are known.
	maxKnownServices = 4096
)

// Owner runs the decision cores of the services that this host owns.
type Owner struct {
	common  *common.Common
	release *release.Service
	members *membership.Service
	record  *record.Service
	outbox  peer.Outbox
	// deliverLocal handles decisions on requests whose entry is this host.
	deliverLocal func(from host.Identity, m ownerMessage)
	ctx          context.Context
	grantWriter  grantWriter
	// toOwners sends messages to the owners on other hosts.
	toOwners peer.Outbox

	mu       sync.Mutex
	services map[string]*serviceOwner
	// known holds what is known of the grants of other hosts, by service.
	known map[string]*knownGrants

	shareMu sync.Mutex
	share   float64
}

// NewOwner creates an Owner without any services; Start looks up its dependencies.
func NewOwner(c *common.Common) *Owner {
	return &Owner{common: c, services: map[string]*serviceOwner{}, known: map[string]*knownGrants{}}
}

// Start begins to handle messages from entries, and to write grants to the store
// or to poll endpoints.
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
	o.outbox = peer.Outbox{TargetService: kernel.Dispatch, Service: peers, Address: o.members.Address, OnUnreachable: o.members.Avoid}
	o.toOwners = peer.Outbox{TargetService: kernel.Owner, Service: peers, Address: o.members.Address, OnUnreachable: o.members.Avoid}
	peers.Handle(kernel.Owner, peer.Inbox(o.receive))
	if o.common.Settings.Platform != nil {
		if o.grantWriter.store, err = kernel.Lookup[grantStore](o.common.Kernel, kernel.Discovery); err != nil {
			return err
		}
		restores, err := o.common.Kernel.Subscribe(ctx, kernel.StoreRestored)
		if err != nil {
			return err
		}
		go (&pageRestorer{owner: o}).run(restores)
		o.grantWriter.owner = o
		o.grantWriter.pages = ring.New[grantPage](pageQueueSize)
		go o.grantWriter.run(ctx)
		go o.grantWriter.loop(ctx)
		r := &heldReader{writer: &o.grantWriter}
		go r.loop(ctx)
	}
	if err := o.startRollouts(ctx); err != nil {
		return err
	}
	go o.run(changes)
	if o.common.Settings.Platform != nil {
		// On the platform every poll has a cost and its result is late; the
		// endpoints' answers to requests carry the same information.
		return nil
	}
	p := &poller{owner: o, client: newLoadClient(), failures: map[string]int{}, closeReasons: map[string]string{}}
	go p.run(ctx)
	return nil
}

// Stop does nothing: entries send the next owner the state that it needs.
func (o *Owner) Stop(context.Context) error { return nil }

// HostLost reports to the core of every service that an incarnation of a host has
// ended.
func (o *Owner) HostLost(incarnation host.Identity) {
	for _, s := range o.activeServices() {
		s.events.Offer(permit.HostLost{At: instantNow(), Host: incarnation.Name})
	}
}

// run applies each new configuration to the active services.
func (o *Owner) run(changes <-chan []byte) {
	for range changes {
		for _, s := range o.activeServices() {
			s.configure()
		}
	}
}

// activeServices returns the services for which this host has received a message.
func (o *Owner) activeServices() []*serviceOwner {
	o.mu.Lock()
	defer o.mu.Unlock()
	services := make([]*serviceOwner, 0, len(o.services))
	for _, s := range o.services {
		services = append(services, s)
	}
	return services
}

// receive decodes and handles one message from an entry on another host.
func (o *Owner) receive(from host.Identity, message []byte) error {
	var m entryMessage
	if err := cbor.Unmarshal(message, &m); err != nil {
		return &peer.RefusedError{Reason: "message to an owner is malformed"}
	}
	return o.handle(from, m)
}

func (o *Owner) handle(from host.Identity, m entryMessage) error {
	if m.Kind == grantsKind {
		return o.learnGrants(m)
	}
	events := m.events(from.Name)
	if len(events) == 0 {
		return &peer.RefusedError{Reason: "message to an owner has an unknown kind or lacks a field of its kind"}
	}
	s := o.getOrCreate(m.Service)
	if s == nil {
		// The entry has a newer configuration than this host; it sends the ask
		// again.
		o.common.Count("owner.events.unknown-service")
		if m.Kind == askKind {
			o.send(from.Name, ownerMessage{ID: m.Ask.ID, Unknown: true})
		}
		return nil
	}
	for _, event := range events {
		s.offer(s.withDataCentre(event, from.Name))
	}
	return nil
}

// events returns the events of a message; none if its kind is unknown, or if it lacks a
// field of its kind.
func (m entryMessage) events(from string) []permit.Event {
	now := instantNow()
	var events []permit.Event
	for _, limit := range m.Limits {
		events = append(events, permit.Limited{At: now, Limit: limit})
	}
	if m.Slowness != nil {
		events = append(events, m.Slowness.event(now))
	}
	if len(m.RoundTrips) > 0 {
		events = append(events, permit.Measured{At: now, RoundTrips: m.RoundTrips})
	}
	for _, pause := range m.Pauses {
		events = append(events, permit.Paused{At: now, Host: from, Pause: pause})
	}
	if len(m.Crashes)+len(m.Held) > 0 {
		events = append(events, permit.Warned{At: now, Crashes: m.Crashes, Held: m.Held})
	}
	if event := m.event(from, now); event != nil {
		events = append(events, event)
	}
	return events
}

// event returns the event of a message's kind, or nil.
func (m entryMessage) event(from string, now permit.Instant) permit.Event {
	switch m.Kind {
	case askKind:
		if m.Ask == nil || m.Ask.ID == "" {
			return nil
		}
		ask := *m.Ask
		ask.Host = from
		ask.Deadline = now.After(m.Budget)
		ask.Goal, ask.Patience = instantAfter(now, m.Goal), instantAfter(now, m.Patience)
		return permit.Asked{At: now, Ask: ask}
	case withdrawKind:
		return permit.Withdrawn{At: now, ID: m.ID}
	case finishKind:
		if m.Usage == nil {
			return nil
		}
		return permit.Finished{At: now, ID: m.ID, Usage: *m.Usage}
	case failKind:
		return permit.Failed{At: now, ID: m.ID, Fault: m.Fault, Begun: m.Begun, Suspect: m.Suspect}
	case progressKind:
		if m.Usage == nil {
			return nil
		}
		return permit.Progressed{At: now, ID: m.ID, Usage: *m.Usage}
	case stallKind:
		return permit.Stalled{At: now, ID: m.ID}
	case listKind:
		return permit.Listed{At: now, Host: from, Permits: m.Permits, Rates: m.Rates}
	default:
		return nil
	}
}

// instantAfter returns now plus wait. A wait of zero means that the time is not set,
// and returns zero.
func instantAfter(now permit.Instant, wait time.Duration) permit.Instant {
	if wait == 0 {
		return 0
	}
	return now.After(wait)
}

// getOrCreate returns the state of a service and creates it at the first message,
// even if this host does not consider itself the owner: the entry's view may be more
// current. It returns nil if the service is not in the configuration.
func (o *Owner) getOrCreate(service string) *serviceOwner {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.services[service]; s != nil {
		return s
	}
	current := o.release.Current()
	if current == nil {
		return nil
	}
	if _, known := current.Configuration.Service(service); !known {
		return nil
	}
	s := &serviceOwner{
		owner:   o,
		service: service,
		epoch:   time.Now().UnixNano(),
		events:  ring.New[permit.Event](eventQueueSize),
	}
	o.services[service] = s
	go s.run(o.ctx)
	return s
}

// send sends a decision to the entry on a host.
func (o *Owner) send(name string, m ownerMessage) {
	if name == o.common.Self.Name {
		o.deliverLocal(o.common.Self, m)
		return
	}
	if !o.outbox.Send(o.ctx, name, m) {
		o.common.Count("owner.messages.dropped")
	}
}
