package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/coordination/pkg/rollout"
	"godwitmoor.example/godwitmoord/pkg/kernel"
)

const (
	// rolloutInterval is how often the rollouts advance. It adds to the time until a bad
	// version gets no more requests.
	rolloutInterval = 100 * time.Millisecond
	// recordInterval is how often a record is written while a rollout is under way.
	// minRecordPause is the shortest pause between two calls of the store for a service,
	// storePause the pause after one that failed.
	recordInterval = time.Second
	minRecordPause = 200 * time.Millisecond
	storePause     = 500 * time.Millisecond
)

// rollouts steers the rollouts of the services that this host owns. It runs in a goroutine
// of its own, so decisions never wait for the store.
type rollouts struct {
	owner    *Owner
	store    rolloutStore
	bounds   rollout.Bounds
	services map[string]*serviceRollout
}

// startRollouts begins to steer rollouts, where there are some.
func (o *Owner) startRollouts(ctx context.Context) error {
	if !o.common.RollsOut() {
		return nil
	}
	store, err := kernel.Lookup[rolloutStore](o.common.Kernel, kernel.Discovery)
	if err != nil {
		return err
	}
	p := o.common.Settings.Platform
	r := &rollouts{
		owner: o, store: store, services: map[string]*serviceRollout{},
		bounds: rollout.Bounds{Share: p.ExposureShare, Slack: p.ExposureSlack},
	}
	go r.run(ctx)
	return nil
}

func (r *rollouts) run(ctx context.Context) {
	for {
		r.advance(ctx)
		select {
		case <-ctx.Done():
			return
		case <-r.store.RolloutOrdered():
			// A new order is applied at once: until it is, the new version may get
			// requests like any other.
		case <-time.After(rolloutInterval):
		}
	}
}

// advance advances the rollouts of all services by one step.
func (r *rollouts) advance(ctx context.Context) {
	orders := map[string]rollout.Order{}
	for _, order := range r.store.RolloutOrders() {
		orders[order.Service] = order
		if r.owner.isOwnerOf(order.Service) {
			// A rollout goes on although nobody sends requests.
			r.owner.getOrCreate(order.Service)
		}
	}
	for _, s := range r.owner.activeServices() {
		known := r.services[s.service]
		if known == nil {
			known = newServiceRollout(r, s)
			r.services[s.service] = known
		}
		known.advance(ctx, time.Now(), orders[s.service])
	}
}

// isOwnerOf reports whether this host owns a service by its own view.
func (o *Owner) isOwnerOf(service string) bool {
	return o.members.OwnerOf(service) == o.common.Self.Name
}

// recordState says what a host knows of the record of a rollout.
type recordState uint8

const (
	// unread means that another host may have written it.
	unread recordState = iota
	// unclaimed means that it was read and must be written before the target gets
	// requests.
	unclaimed
	// claimed means that this host wrote it last, or that it needs no writing.
	claimed
)

// serviceRollout is the rollout of one service, as this host knows it. Only the goroutine
// of rollouts uses it.
type serviceRollout struct {
	rollouts *rollouts
	service  *serviceOwner
	isOwner  bool
	state    recordState
	// revision is that of the record in the store, as far as known.
	revision int64
	// newest is the newest order known here, order the one that is carried out. active is
	// set if steering holds the state of its rollout.
	newest   rollout.Order
	order    rollout.Order
	active   bool
	steering rollout.Steering
	// barred are the versions that were reverted and not ordered again.
	barred []string
	// grants is the number of permits for targets that the core had granted when steering
	// was updated last.
	grants int
	cold   coldMarks
	// sent is the steering that the core has; isSent is false before the first one.
	sent   permit.Steering
	isSent bool
	// done receives the result of the call of the store in progress, if calling is set.
	// None begins before nextCall. failing is set from a failed call to the next good one.
	done     chan storeCallResult
	calling  bool
	nextCall time.Time
	failing  bool
	// recordedAt is when the record was written last; written is the status that the store
	// holds, at statusRevision.
	recordedAt     time.Time
	written        writtenStatus
	statusRevision int64
}

// writtenStatus is a status that the store holds.
type writtenStatus struct {
	revision int64
	state    rollout.Stage
}

func newServiceRollout(r *rollouts, s *serviceOwner) *serviceRollout {
	return &serviceRollout{rollouts: r, service: s, cold: coldMarks{}, done: make(chan storeCallResult, 1)}
}

// advance applies what happened since the last call, tells the core which versions may
// get requests, and begins the next call of the store.
func (s *serviceRollout) advance(ctx context.Context, now time.Time, order rollout.Order) {
	s.isOwner = s.rollouts.owner.isOwnerOf(s.service.service)
	if !s.isOwner {
		s.state = unread
	}
	select {
	case result := <-s.done:
		s.calling = false
		s.apply(result, now)
	default:
	}
	s.accept(order, now)
	s.observe(now)
	s.steer()
	if !s.calling && s.isOwner && !now.Before(s.nextCall) {
		s.call(ctx, now)
	}
}

// accept begins the rollout of a new order once the record of the one before is known.
func (s *serviceRollout) accept(order rollout.Order, now time.Time) {
	s.newest = order
	if s.hasNewer() && s.state != unread {
		s.begin(order, now)
	}
}

// hasNewer reports whether a newer order is known than the one that is carried out.
func (s *serviceRollout) hasNewer() bool { return s.newest.Revision > s.order.Revision }

// begin begins the rollout of an order. An order that repeats the one which is under way
// or completed changes nothing, and neither does one that is written again after the store
// came back from an earlier copy: that must not try a reverted version once more.
func (s *serviceRollout) begin(order rollout.Order, now time.Time) {
	isRestored := keyvalue.EraOf(order.Revision) > keyvalue.EraOf(s.order.Revision)
	s.order = order
	if s.active && s.steering.Order().Target == order.Target && (isRestored || s.steering.Stage() != rollout.Reverted) {
		s.steering = s.steering.WithRevision(order.Revision)
		return
	}
	if s.active && !s.steering.Stage().Final() {
		// The target before has not shown that it is good.
		s.barred = s.withReverted(s.steering.Order().Target)
	}
	s.barred = slices.DeleteFunc(slices.Clone(s.barred), func(version string) bool { return version == order.Target })
	s.steering, s.active, s.state = rollout.New(order, s.rollouts.bounds, now), true, unclaimed
	s.logStage("rollout begins")
}

// observe updates the state of the rollout with what the core collected.
func (s *serviceRollout) observe(now time.Time) {
	taken := s.service.rolloutTally.take()
	exposed := taken.grants - s.grants
	s.grants = taken.grants
	if !s.active {
		return
	}
	target := s.steering.Order().Target
	o := rollout.Observation{Now: now, Exposed: exposed, Results: rollout.Results{}, Endpoints: s.warmEndpoints(now, target)}
	for _, j := range taken.judged {
		source := rollout.Source{Target: j.Version == target, Route: j.Route}
		if source.Target {
			source.Endpoint = j.Endpoint
		}
		o.Results.Add(source, j.Bad)
		if !j.Repeat {
			o.Requests++
		}
	}
	o.Alone = !s.hasOtherThan(target)
	o.Quiet = taken.shifted == target && s.isShifting()
	s.steering = s.steering.With(o)
}

// isShifting reports whether all requests may go to the target of the order.
func (s *serviceRollout) isShifting() bool {
	return s.state == claimed && s.steering.Stage() == rollout.Shift && s.steering.Due() != rollout.Reverted
}

// warmEndpoints returns the endpoints of a version that accept requests and are not slow
// from their start any more.
func (s *serviceRollout) warmEndpoints(now time.Time, version string) []string {
	endpoints := s.service.endpoints()
	s.cold.prune(endpoints)
	var names []string
	for _, e := range endpoints {
		if e.Version == version && !e.Leaving && s.cold.isWarm(e.Name, e.ColdLeft.Std(), now) {
			names = append(names, e.Name)
		}
	}
	slices.Sort(names)
	return names
}

// coldMarks holds until when endpoints are slow after their start, by name.
type coldMarks map[string]coldMark

type coldMark struct {
	left  time.Duration
	until time.Time
}

// isWarm reports whether an endpoint that said that it is slow for a time is so no more.
func (c coldMarks) isWarm(name string, left time.Duration, now time.Time) bool {
	if left <= 0 {
		delete(c, name)
		return true
	}
	mark, known := c[name]
	if !known || mark.left != left {
		mark = coldMark{left: left, until: now.Add(left)}
		c[name] = mark
	}
	return !now.Before(mark.until)
}

// prune removes the marks of endpoints that the service has no more.
func (c coldMarks) prune(endpoints []configuration.Endpoint) {
	maps.DeleteFunc(c, func(name string, _ coldMark) bool {
		return !slices.ContainsFunc(endpoints, func(e configuration.Endpoint) bool { return e.Name == name })
	})
}

// steer tells the core which versions may get requests, if that changed.
func (s *serviceRollout) steer() {
	steering := s.wanted()
	if s.isSent && equalSteering(steering, s.sent) {
		return
	}
	if !s.service.events.Offer(permit.Steered{At: instantNow(), Steering: steering}) {
		return
	}
	if !s.isSent || steering.Only != s.sent.Only || !slices.Equal(steering.Barred, s.sent.Barred) {
		s.service.logSteering(steering)
	}
	s.sent, s.isSent = steering, true
}

func equalSteering(a, b permit.Steering) bool {
	sameTrial := a.Trial.Endpoint == b.Trial.Endpoint && a.Trial.UpTo == b.Trial.UpTo && slices.Equal(a.Trial.Routes, b.Trial.Routes)
	return sameTrial && a.Target == b.Target && a.Only == b.Only && slices.Equal(a.Barred, b.Barred)
}

// wanted returns which versions may get requests. Unless the record is this host's, the
// target of a rollout under way gets none.
func (s *serviceRollout) wanted() permit.Steering {
	if !s.active {
		return s.wantedWithoutRollout()
	}
	target, stage := s.steering.Order().Target, s.steering.Stage()
	barred := s.barredNow()
	switch {
	case stage == rollout.Completed:
		return permit.Steering{Barred: barred, Only: target}
	case stage == rollout.Reverted:
		return permit.Steering{Barred: barred}
	case s.steering.Due() == rollout.Reverted:
		return permit.Steering{Target: target, Barred: withVersion(barred, target)}
	case s.state != claimed && s.hasOtherThan(target):
		return permit.Steering{Target: target, Barred: withVersion(barred, target)}
	case s.isShifting() || !s.hasOtherThan(target):
		return permit.Steering{Target: target, Barred: barred, Only: target}
	}
	steering := permit.Steering{Target: target, Barred: withVersion(barred, target)}
	if trial := s.steering.Trial(); trial.Left > 0 {
		steering.Trial = permit.Trial{Endpoint: trial.Endpoint, UpTo: s.grants + trial.Left, Routes: trial.Routes}
	}
	return steering
}

// wantedWithoutRollout returns which versions may get requests while this host knows of no
// rollout, or not yet.
func (s *serviceRollout) wantedWithoutRollout() permit.Steering {
	if s.state == unread {
		return permit.Steering{Barred: versionsBesidesOldest(s.service.endpoints(), s.newest.Target)}
	}
	return permit.Steering{Barred: s.barred}
}

// barredNow returns the versions that get no requests, with the target of an order that
// this host has heard of and does not carry out.
func (s *serviceRollout) barredNow() []string {
	if s.hasNewer() && s.newest.Target != s.steering.Order().Target {
		return withVersion(s.barred, s.newest.Target)
	}
	return s.barred
}

// withVersion returns versions with one more, unless they contain it.
func withVersion(versions []string, version string) []string {
	if slices.Contains(versions, version) {
		return versions
	}
	return append(slices.Clone(versions), version)
}

// hasOtherThan reports whether an endpoint of another version accepts requests.
func (s *serviceRollout) hasOtherThan(version string) bool {
	for _, e := range s.service.endpoints() {
		if e.Version != version && !e.Leaving && !slices.Contains(s.barred, e.Version) {
			return true
		}
	}
	return false
}
