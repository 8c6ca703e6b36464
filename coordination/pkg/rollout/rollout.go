// Package rollout decides how a service moves to a new version of its endpoints'
// software, and whether that version is bad.
//
// Steering is a value without a clock, I/O or randomness: the same observations give the
// same stages. The stage is canary while the new version gets a small part of the
// requests, shift while it gets all new ones, and in the end completed or reverted.
//
// # Usage
//
//	s := rollout.New(order, bounds, now)
//	s = s.With(rollout.Observation{Now: now, Requests: 10, Exposed: 1, Results: results, Endpoints: names})
//	trial := s.Trial()         // what the new version may get now
//	if next := s.Due(); next != s.Stage() {
//		s = s.WithStage(next, now) // once it is stored
//	}
package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Order is an operator's order to move the traffic of a service to the endpoints of one
// version.
type Order struct {
	Service string
	Target  string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Revision orders the orders of a service: the highest is in force.
	Revision int64
}

// InvalidOrderError reports an order that cannot be carried out.
type InvalidOrderError struct{ Problem string }

func (e *InvalidOrderError) Error() string {
	return fmt.Sprintf("the order of a rollout is not used: %s; write it again", e.Problem)
}

// maxTargetBytes bounds the name of a version, maxDuration the time for a rollout.
const (
	maxTargetBytes = 200
	maxDuration    = 30 * 24 * time.Hour
)

// Check returns an *InvalidOrderError if the order cannot be carried out.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return &InvalidOrderError{Problem: "it names no service"}
	case o.Target == "" || len(o.Target) > maxTargetBytes:
		return &InvalidOrderError{Problem: fmt.Sprintf("its target has %d bytes, expected 1 to %d", len(o.Target), maxTargetBytes)}
	case o.Duration <= 0 || o.Duration > maxDuration:
		return &InvalidOrderError{Problem: fmt.Sprintf("its duration is %v, expected above zero and at most %v", o.Duration, maxDuration)}
	default:
		return nil
	}
}

// Bounds limit the requests that reach a bad version: Share of all requests of the
// service between the order and its deadline, plus Slack.
type Bounds struct{ Share, Slack float64 }

// Stage is how far a rollout is.
type Stage string

// The stages of a rollout. Completed and Reverted are final.
const (
	Canary    Stage = "canary"
	Shift     Stage = "shift"
	Completed Stage = "completed"
	Reverted  Stage = "reverted"
)

// Final reports whether the rollout has ended.
func (s Stage) Final() bool { return s == Completed || s == Reverted }

const (
	// canaryPart is the part of the bounds that the canary uses. The rest is left for
	// requests under way when a bad version is found, and for a fault that shows in the
	// shift only.
	canaryPart = 0.5
	// The canary ends after shiftFraction of the time if there are enough responses, and
	// after latestShift at the latest, so that faults that begin late show in the canary,
	// and old requests can end before the deadline. After fewResponsesShift few responses
	// suffice: changes of owners may have used up what the canary may get.
	shiftFraction     = 0.45
	latestShift       = 0.6
	fewResponsesShift = 0.75
	// burstSize is how many requests an endpoint gets in a row in the canary: more than
	// its slots, so that it is as busy as an endpoint of the old version.
	burstSize = 12
	// burstTime is how long a burst may take; trickleInterval is the time after which a
	// smaller one may begin, where there are few requests.
	burstTime       = 3 * time.Second
	trickleInterval = 4 * time.Second
	// canaryEndpoints is how many endpoints share the canary: it takes two to tell a bad
	// version from a bad endpoint.
	canaryEndpoints = 2
	// reserveStep is how many further requests a stored record allows. A new owner takes
	// them as sent.
	reserveStep = 2 * burstSize
	// quietTime is how long no permit may be known at endpoints of other versions before
	// they may stop. Hosts list their permits every two seconds.
	quietTime = 3 * time.Second
	// minShiftTime is the shortest time in which all requests go to the new version
	// before the old one may stop.
	minShiftTime = 5 * time.Second
)

// Observation is what happened since the one before it.
type Observation struct {
	Now time.Time
	// Requests counts the requests of the service, and Exposed the permits granted at
	// endpoints of the target.
	Requests, Exposed int
	Results           Results
	// Endpoints are the endpoints of the target that accept requests, sorted.
	Endpoints []string
	// Quiet is set if all requests go to the target and no permit is known to be held at
	// an endpoint of another version.
	Quiet bool
	// Alone is set if no other version accepts requests. The target is then not found bad:
	// there is nothing to go back to.
	Alone bool
}

// Trial is what the target may get in the canary.
type Trial struct {
	// Endpoint is the endpoint that may get requests; empty if none may.
	Endpoint string
	// Left is how many requests it may get.
	Left int
	// Routes are the routes whose requests it may get; empty means all.
	Routes []string
}

// Steering is the state of a rollout. Its methods return changed copies.
type Steering struct {
	order  Order
	bounds Bounds
	stage  Stage
	// began is when the order was first seen, stageSince when the stage began, now the
	// time of the last observation.
	began, stageSince, now time.Time
	// requests and exposed count since the order. reserved is the number of exposed
	// requests up to which the stored record allows the target to get some.
	requests, exposed, reserved int
	// total are the results since the order; recent shows faults that begin late.
	total     Results
	recent    window
	peaks     peaks
	endpoints []string
	// quietSince is when the last permit of another version was returned; zero while
	// there are some.
	quietSince time.Time
	burst      burst
	// bad is set once the target was found bad. It stays, as the store may be away.
	bad bool
}

// burst is a number of requests that one endpoint gets in a row.
type burst struct {
	number   int
	began    time.Time
	endpoint string
	routes   []string
	// upTo is the count of exposed requests at which the burst ends.
	upTo int
}

// New returns the state at the beginning of a rollout.
func New(order Order, bounds Bounds, now time.Time) Steering {
	return Steering{order: order, bounds: bounds, stage: Canary, began: now, stageSince: now, now: now}
}

// Order returns the order that the rollout carries out.
func (s Steering) Order() Order { return s.order }

// Stage returns the present stage.
func (s Steering) Stage() Stage { return s.stage }

// Exposed returns how many requests the target got since the order.
func (s Steering) Exposed() int { return s.exposed }

// Requests returns how many requests the service got since the order, the target's included.
func (s Steering) Requests() int { return s.requests }

// Deadline returns the time by which the rollout has to end.
func (s Steering) Deadline() time.Time { return s.began.Add(s.order.Duration) }

// With returns the state after an observation.
func (s Steering) With(o Observation) Steering {
	s.now = o.Now
	s.requests += o.Requests
	s.exposed += o.Exposed
	s.total = s.total.Plus(o.Results)
	s.recent = s.recent.with(o.Now, o.Results)
	s.peaks = s.peaks.with(o.Now, o.Results)
	s.endpoints = o.Endpoints
	switch {
	case !o.Quiet:
		s.quietSince = time.Time{}
	case s.quietSince.IsZero():
		s.quietSince = o.Now
	}
	s.bad = s.bad || (!o.Alone && s.findsBad())
	return s.withBurst()
}

// WithStage returns the state in another stage.
func (s Steering) WithStage(stage Stage, now time.Time) Steering {
	s.stage, s.stageSince, s.quietSince, s.burst = stage, now, time.Time{}, burst{}
	return s
}

// WithReserved returns the state after a record was stored that allows the target a
// number of requests in all.
func (s Steering) WithReserved(reserved int) Steering {
	s.reserved = max(s.reserved, reserved)
	return s
}

// WithRevision returns the state under a further order with the same target.
func (s Steering) WithRevision(revision int64) Steering {
	s.order.Revision = revision
	return s
}

// LacksReserve reports whether the target could get more if the record allowed it.
func (s Steering) LacksReserve() bool {
	return s.reserved-s.exposed < burstSize && s.ToReserve() > s.reserved
}

// ToReserve returns the number of requests that the next record should allow the target.
func (s Steering) ToReserve() int {
	return max(s.reserved, min(s.limit(), s.exposed+reserveStep))
}

// limit returns how many requests the target may get in the canary, by the requests so far.
func (s Steering) limit() int {
	return int(canaryPart * (s.bounds.Share*float64(s.requests) + s.bounds.Slack))
}

// Due returns the stage that the rollout should have: the present one, or the next.
func (s Steering) Due() Stage {
	switch {
	case s.stage.Final():
		return s.stage
	case s.bad:
		return Reverted
	case s.stage == Canary && s.mayShift():
		return Shift
	case s.stage == Shift && s.mayComplete():
		return Completed
	default:
		return s.stage
	}
}

// mayShift reports whether the canary has shown enough.
func (s Steering) mayShift() bool {
	past := s.now.Sub(s.began)
	if len(s.endpoints) == 0 || past < s.fraction(shiftFraction) || s.lacksResponses() {
		return false
	}
	return past >= s.fraction(latestShift) || len(s.lackingRoutes()) == 0
}

// mayComplete reports whether nothing runs at the old endpoints any more.
func (s Steering) mayComplete() bool {
	isQuiet := !s.quietSince.IsZero() && s.now.Sub(s.quietSince) >= quietTime
	return isQuiet && len(s.endpoints) > 0 && s.now.Sub(s.stageSince) >= minShiftTime
}

// fraction returns a part of the time from the order to its deadline.
func (s Steering) fraction(part float64) time.Duration {
	return time.Duration(part * float64(s.order.Duration))
}

// Trial returns what the target may get now. In the shift it gets all requests, and
// this says nothing.
func (s Steering) Trial() Trial {
	left := s.burst.upTo - s.exposed
	if s.stage != Canary || left <= 0 || s.burst.endpoint == "" || s.bad {
		return Trial{}
	}
	return Trial{Endpoint: s.burst.endpoint, Left: left, Routes: s.burst.routes}
}

// withBurst returns the state with the present burst, or the next one if that is over and
// there is room for another.
func (s Steering) withBurst() Steering {
	age := s.now.Sub(s.burst.began)
	usable := slices.Contains(s.endpoints, s.burst.endpoint)
	if s.stage != Canary || (usable && s.burst.upTo > s.exposed && age < burstTime) {
		return s
	}
	room := min(s.limit(), s.reserved) - s.exposed
	canary := s.canary()
	if len(canary) == 0 || room <= 0 || (room < burstSize && !s.burst.began.IsZero() && age < trickleInterval) {
		s.burst.upTo = s.exposed
		return s
	}
	next := burst{number: s.burst.number + 1, began: s.now, upTo: s.exposed + min(room, burstSize)}
	next.endpoint = canary[next.number%len(canary)]
	if next.number%(2*canaryEndpoints) >= canaryEndpoints {
		next.endpoint, next.routes = s.leastTried(canary, next.endpoint)
	}
	s.burst = next
	return s
}

// canary returns the endpoints that share the canary: those that show no fault of their
// own, unless all do.
func (s Steering) canary() []string {
	sound := slices.DeleteFunc(slices.Clone(s.endpoints), s.isSuspect)
	if len(sound) == 0 {
		sound = s.endpoints
	}
	return sound[:min(len(sound), canaryEndpoints)]
}
