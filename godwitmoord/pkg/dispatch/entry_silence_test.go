package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

// silentOwner returns an entry whose owner receives every message and decides none, and
// the owner's queue.
func silentOwner(ctx context.Context) (*Entry, *serviceOwner) {
	o := ownerOnPlatform()
	o.release = release.New(o.common, nil)
	s := &serviceOwner{owner: o, service: "pool", events: ring.New[permit.Event](64)}
	o.services = map[string]*serviceOwner{"pool": s}
	e := NewEntry(o.common)
	e.localOwner, e.members, e.ctx = o, o.members, ctx
	return e, s
}

// askOnce asks for a permit for a request whose caller gives up after patience, and
// returns how long the entry held the request.
func askOnce(t *testing.T, e *Entry, patience, deadline time.Duration) (held time.Duration) {
	t.Helper()
	asked := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	_, err := e.Acquire(ctx, "pool", permit.Ask{ID: "ask-1"}, Times{
		Deadline: asked.Add(deadline), Goal: asked.Add(500 * time.Millisecond), Patience: asked.Add(patience),
	})
	if err == nil {
		t.Fatal("an owner that decides nothing granted a permit")
	}
	return time.Since(asked)
}

func TestEntryWithoutADecisionHoldsARequestUntilItsCallerHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, _ := silentOwner(t.Context())
		go e.run(t.Context())
		const patience = 4 * time.Second
		held := askOnce(t, e, patience, 12*time.Second)
		t.Logf("held for %v of a patience of %v", held, patience)
		is.True(held <= patience*3/4) // held for so long, a request is lost for its caller and charged in full
	})
}

func TestAskThatALateOwnerHasReceivedIsSentToItAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, s := silentOwner(t.Context())
		go e.run(t.Context())
		askOnce(t, e, 4*time.Second, 12*time.Second)
		asks := 0
		for _, event := range s.events.Drain(nil, 64) {
			if _, isAsk := event.(permit.Asked); isAsk {
				asks++
			}
		}
		t.Logf("the owner received the ask %d times", asks)
		is.Equal(asks, 1) // it has the ask, so each further one only makes it later
	})
}
