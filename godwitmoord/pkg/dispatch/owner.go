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
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
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
	"godwitmoor.example/godwitmoord/pkg/settings"
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
	// defaultQueueLimit bounds the queue of a service whose configuration does
	// not.
	defaultQueueLimit = 2000
	// repeatShare is how much of the bound on repeats is used; the rest is for
	// those that a change of owners doubles.
	repeatShare = 0.7
	// Nearly all of a customer's tokens go to models. Plain services grant a small
	// part beside, which the tolerance of quotas covers.
	modelQuotaShare = 1.0
	plainQuotaShare = 0.04
	// partialShare is the part of its share that an owner grants that is not in
	// touch with all hosts.
	partialShare = 0.85
	// toleranceShare is the part of what is tolerated beyond a quota that is used;
	// the rest is for plain services and for changes of owners.
	toleranceShare = 0.55
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

// seat is this host's ownership of one service.
type seat struct {
	owner   *Owner
	service string
	epoch   int64
	number  int64
	core    permit.Core
	events  ring.Ring[permit.Event]
	// kept is when the grants were last written down, asked when the last ask
	// came.
	kept  time.Time
	asked time.Time
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
		return permit.Listed{At: now, Host: from, Permits: m.Permits}
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

// configure queues the rules in force.
func (s *seat) configure() {
	event, known := s.rules()
	if known && !s.events.Offer(event) {
		s.owner.common.Count("owner.events.dropped")
	}
}

// rules gives the rules in force. A service that was removed keeps its last ones
// until its requests end.
func (s *seat) rules() (event permit.Configured, known bool) {
	current := s.owner.release.Current()
	service, known := current.Configuration.Service(s.service)
	if !known {
		return event, false
	}
	event = permit.Configured{
		At:            instantNow(),
		Version:       current.Version,
		Tiers:         current.Configuration.TierCount(),
		QueueLimit:    service.QueueLimit,
		GoodputWeight: current.Configuration.GoodputWeight,
		Endpoints:     rulesOf(service),
		Settle:        settleTime,
	}
	s.owner.bound(&event, service, &current.Configuration)
	return event, true
}

// bound adds what the platform bounds over all hosts together.
func (o *Owner) bound(event *permit.Configured, service *configuration.Service, c *configuration.Configuration) {
	p := o.common.Settings.Platform
	if p == nil {
		return
	}
	event.QueueLimit = defaultQueueLimit
	event.Weights = p.RankWeights
	event.Repeats = permit.RepeatBound{
		Ratio:  p.RepeatRatio * repeatShare,
		Slack:  p.RepeatSlack * repeatShare,
		Window: p.RepeatWindow.Std(),
	}
	fleet := o.fleetShare()
	if fleet < 1 {
		// Others grant too until all have noticed.
		fleet *= partialShare
	}
	share := plainQuotaShare
	if service.Kind == configuration.Model {
		share = modelQuotaShare
	}
	for _, customer := range c.Customers {
		if customer.Quota == nil || !customer.Quota.Bounded() {
			continue
		}
		limit := customer.Quota.PerSecond*p.QuotaWindow.Std().Seconds() + customer.Quota.Burst
		event.Quotas = append(event.Quotas, permit.Quota{Customer: customer.Name, Limit: limit * share * fleet, Tolerance: tolerance(limit, p, service, fleet)})
	}
	event.QuotaWindow = p.QuotaWindow.Std()
	event.Partial = fleet < 1
}

// tolerance gives the part of what the platform tolerates beyond a limit that an
// owner may use that is in touch with the whole fleet.
func tolerance(limit float64, p *settings.Platform, service *configuration.Service, fleet float64) float64 {
	if fleet < 1 || service.Kind != configuration.Model {
		return 0
	}
	return toleranceShare * (p.QuotaOvershoot*limit + p.QuotaSlack)
}

func rulesOf(service *configuration.Service) []permit.EndpointRules {
	rules := make([]permit.EndpointRules, len(service.Endpoints))
	for i, e := range service.Endpoints {
		rules[i] = permit.EndpointRules{
			Name:         e.Name,
			Limit:        e.InFlightLimit,
			PrefillSpeed: e.PrefillSpeed,
			DecodeSpeed:  e.DecodeSpeed,
			Leaving:      e.Leaving,
		}
	}
	return rules
}

// run decides, one event at a time. The rules come first, and before them what
// is known of grants by earlier owners.
func (s *seat) run(ctx context.Context) {
	before := s.owner.keeper.before(s.service)
	if event, known := s.rules(); known {
		event.Before = before
		s.step(event)
	}
	s.write(nil)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.events.Slots():
			s.regain(event)
			s.step(event)
		case <-ticker.C:
			// Time changes nothing for a core that holds nothing.
			if waiting, held := s.core.Load(); waiting+held > 0 {
				s.step(permit.Ticked{At: instantNow()})
			}
			s.keep()
		}
	}
}

// regain takes in what others granted while no ask came here for a while: they
// may have gone to another owner.
func (s *seat) regain(event permit.Event) {
	if _, isAsk := event.(permit.Asked); !isAsk || s.owner.keeper.store == nil {
		return
	}
	away := !s.asked.IsZero() && time.Since(s.asked) > awayTime
	if away {
		s.step(permit.Regained{At: instantNow(), Before: s.owner.keeper.before(s.service)})
	}
	s.asked = time.Now()
}

func (s *seat) step(event permit.Event) {
	actions := s.core.Step(event)
	s.number++
	line := permit.Line{Service: s.service, Owner: s.owner.common.Self.Name, Epoch: s.epoch, Number: s.number}
	line, err := line.WithDecision(event, actions)
	if err != nil {
		s.owner.common.Log.Error("decision cannot be recorded", zap.Error(err))
	} else {
		s.owner.record.Add(record.Line{Decision: &line})
	}
	for _, action := range actions {
		s.announce(action)
	}
}

// announce tells the entry what was decided.
func (s *seat) announce(action permit.Action) {
	switch a := action.(type) {
	case permit.Granted:
		s.tell(a.Host, ownerMessage{ID: a.ID, Endpoint: a.Endpoint, Estimate: a.Estimate, Teach: a.Teach})
	case permit.Suspended:
		s.tell(a.Host, ownerMessage{ID: a.ID, Suspend: true})
	case permit.Refused:
		s.tell(a.Host, ownerMessage{ID: a.ID, Reason: a.Reason, RetryAfter: a.RetryAfter})
	}
}

func (s *seat) tell(name string, m ownerMessage) {
	o := s.owner
	if name != o.common.Self.Name {
		if !o.outbox.Send(o.ctx, name, m) {
			o.common.Count("owner.messages.dropped")
		}
		return
	}
	o.local(o.common.Self, m)
}
