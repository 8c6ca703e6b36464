package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/peer"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

// The requests of these tests want the first part of their answer within goal, and their
// callers leave after patience.
const (
	goal     = 400 * time.Millisecond
	patience = 2400 * time.Millisecond
	runTime  = 50 * time.Millisecond
	loadSpan = 10 * time.Second
	// stepTime is what a slow owner takes for each event. A request has an ask and a
	// finish, so the owner decides 100 requests a second.
	stepTime = 5 * time.Millisecond
)

// slowOwner runs the core of an owner on a host that takes stepTime for each event.
type slowOwner struct {
	service *serviceOwner
	stop    chan struct{}
}

// run passes events to the decision core, as serviceOwner.run does, at the pace of the
// host.
func (o *slowOwner) run() {
	o.service.step(permit.Configured{
		At: instantNow(), QueueLimit: defaultQueueLimit, Weights: []float64{1},
		Endpoints: []permit.EndpointRules{{Name: "i-1", Limit: 1000, PrefillSpeed: 125_000, DecodeSpeed: 100}},
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.stop:
			return
		case event := <-o.service.events.Values():
			if !o.service.refuseLate(event) {
				time.Sleep(stepTime)
				o.service.step(event)
			}
		case <-ticker.C:
			o.service.step(permit.Ticked{At: instantNow()})
		}
	}
}

// outcomes counts how requests ended.
type outcomes struct {
	granted, refused, abandoned int
	// longestWait is the longest wait for a decision.
	longestWait time.Duration
	// resent is how often an ask was sent again, and unwanted how many grants came after
	// their callers had left.
	resent, unwanted int64
}

// sendRequests sends requests at a rate for loadSpan to a slow owner, and returns how they
// ended. A granted request runs for runTime.
func sendRequests(t *testing.T, perSecond int) outcomes {
	is := is.New(t)
	o := ownerOnPlatform()
	o.record = record.New(o.common)
	o.common.Kernel = kernel.New(o.common.Log)
	o.common.Kernel.Register(kernel.Membership, o.members)
	o.common.Kernel.Register(kernel.Peer, peer.New(o.common))
	o.release = release.New(o.common, nil)
	is.NoErr(o.release.Start(t.Context()))
	o.release.Install(1, configuration.Configuration{Services: []configuration.Service{{
		Name: "pool", Kind: configuration.Model, Endpoints: []configuration.Endpoint{{Name: "i-1", Address: "engine:1", InFlightLimit: 1000}},
	}}})
	s := &serviceOwner{owner: o, service: "pool", events: ring.New[permit.Event](eventQueueSize)}
	o.services = map[string]*serviceOwner{"pool": s}
	e := NewEntry(o.common)
	e.localOwner, e.members = o, o.members
	o.deliverLocal = e.handle
	ctx, cancel := context.WithCancel(t.Context())
	slow := &slowOwner{service: s, stop: make(chan struct{})}
	go slow.run()
	go e.run(ctx)
	count := int(loadSpan.Seconds() * float64(perSecond))
	ended := make(chan ending, count)
	for i := range count {
		go func() { ended <- sendRequest(e, fmt.Sprint("ask-", i)) }()
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	var all outcomes
	for range count {
		all.add(is, <-ended)
	}
	cancel()
	close(slow.stop)
	time.Sleep(time.Second)
	all.resent = metrics.GetOrRegisterCounter("entry.asks.resent", o.common.Metrics).Count()
	all.unwanted = metrics.GetOrRegisterCounter("entry.grants.unwanted", o.common.Metrics).Count()
	return all
}

// ending is how one request ended.
type ending struct {
	waited time.Duration
	err    error
}

// sendRequest asks for a permit, as a request does whose caller leaves after patience,
// and runs the request if it is granted.
func sendRequest(e *Entry, id string) ending {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ask := permit.Ask{ID: id, Request: id, PromptTokens: 600, AnswerTokens: 2}
	times := Times{Deadline: began.Add(12 * time.Second), Goal: began.Add(goal), Patience: began.Add(patience)}
	grant, err := e.Acquire(ctx, "pool", ask, times)
	waited := time.Since(began)
	if err == nil {
		time.Sleep(runTime)
		grant.Done(permit.Usage{PromptTokens: 600, AnswerTokens: 2, FirstByte: 10 * time.Millisecond, Total: runTime})
	}
	return ending{waited: waited, err: err}
}

func (o *outcomes) add(is *is.I, e ending) {
	var refused *RefusedError
	switch {
	case e.err == nil:
		o.granted++
	case errors.As(e.err, &refused):
		o.refused++
	default:
		is.True(errors.Is(e.err, context.DeadlineExceeded))
		o.abandoned++
	}
	o.longestWait = max(o.longestWait, e.waited)
}

func TestOwnerThatKeepsUpDecidesEachRequestByItsGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := sendRequests(t, 80)
		t.Logf("%+v", ended)
		is.Equal(ended.abandoned, 0)
		is.True(ended.longestWait <= goal)
	})
}

func TestRequestsWaitUntilTheirCallersLeaveWhenTheOwnerIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ended := sendRequests(t, 300)
		t.Logf("%+v", ended)
		is.Equal(ended.abandoned, 0)
		is.True(ended.longestWait <= goal)
	})
}

func TestOwnerServesFewerRequestsTheMoreAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		below := sendRequests(t, 80)
		above := sendRequests(t, 300)
		t.Logf("80 a second: %+v; 300 a second: %+v", below, above)
		is.True(above.granted >= below.granted)
	})
}

func TestRequestWaitsUntilItsCallerLeavesWhenTheOwnerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := ownerOnPlatform()
		s := &serviceOwner{owner: o, service: "pool", events: ring.New[permit.Event](eventQueueSize)}
		o.services = map[string]*serviceOwner{"pool": s}
		e := NewEntry(o.common)
		e.localOwner, e.members = o, o.members
		ended := sendRequest(e, "ask-1")
		t.Logf("waited %v: %v", ended.waited, ended.err)
		var refused *RefusedError
		is.True(errors.As(ended.err, &refused))
		is.True(ended.waited <= goal)
	})
}
