package discovery

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/coordination/pkg/reply"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/notice"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// scriptedStore is a store whose answers the test scripts.
type scriptedStore struct {
	lists   int
	watches int
	// listTime is how long a listing takes.
	listTime time.Duration
	// watch returns the answer to the watch with the given number. A watch lasts
	// its whole time if watch is nil or returns neither changes nor an error.
	watch func(number int) (keyvalue.Changes, error)
}

func (s *scriptedStore) List(ctx context.Context, _ string) (keyvalue.Listing, error) {
	s.lists++
	select {
	case <-ctx.Done():
		return keyvalue.Listing{}, ctx.Err()
	case <-time.After(s.listTime):
		return keyvalue.Listing{Revision: 10}, nil
	}
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (keyvalue.Changes, error) {
	s.watches++
	if s.watch != nil {
		if changes, err := s.watch(s.watches); err != nil || len(changes.Changes) > 0 {
			return changes, err
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return keyvalue.Changes{Revision: after}, ctx.Err()
}

func (s *scriptedStore) Put(context.Context, string, []byte, int64) (keyvalue.Outcome, error) {
	return keyvalue.Outcome{Applied: true}, nil
}

// advance advances the fake clock by d and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// newFollower returns a follower of the store that ignores what it reads.
func newFollower(store *scriptedStore, watch, batch time.Duration) *follower {
	c := &common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		Settings: settings.Settings{Platform: &settings.Platform{LeavingBound: document.Duration(2 * time.Second)}},
	}
	s := New(c, notice.New(c), store, nil)
	s.members = membership.New(c)
	return &follower{
		service: s, wanted: func() bool { return true }, watchDuration: constant(watch), batchDelay: constant(batch), maxPause: constant(time.Second),
		apply: func(update) {}, afterCall: func(time.Duration) {},
	}
}

// runFollower runs a follower for span on a fake clock. It returns the updates that
// the follower applied and when it regained the store.
func runFollower(t *testing.T, store *scriptedStore, span time.Duration) (updates []update, regained time.Time) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower(store, time.Second, 250*time.Millisecond)
		f.apply = func(u update) { updates = append(updates, u) }
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		f.run(ctx)
		regained = f.regainedAt
	})
	return updates, regained
}

func TestChangesInOneBatchCostOneCall(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{watch: func(int) (keyvalue.Changes, error) {
		return keyvalue.Changes{Changes: []keyvalue.Change{{}}, Revision: 11}, nil
	}}
	runFollower(t, store, 2*time.Second)
	is.True(store.watches <= 1+int(2*time.Second/(250*time.Millisecond))) // the pause limits the calls, not the number of changes
	is.Equal(store.lists, 1)
}

func TestChangesTooLargeForOneReplyAreListedInstead(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{watch: func(int) (keyvalue.Changes, error) {
		tooLarge := &keyvalue.UnreachableError{Operation: "watch", Cause: &reply.TooLargeError{Limit: 1}}
		return keyvalue.Changes{}, tooLarge
	}}
	updates, _ := runFollower(t, store, 4*time.Second)
	is.True(store.lists > 1)
	is.True(len(updates) > 1)
}

func TestDroppedChangesAreListedAgain(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{watch: func(number int) (keyvalue.Changes, error) {
		if number == 2 {
			return keyvalue.Changes{}, &keyvalue.CompactedError{After: 10}
		}
		return keyvalue.Changes{}, nil
	}}
	updates, _ := runFollower(t, store, 4*time.Second)
	is.Equal(store.lists, 2)
	listings := 0
	for _, n := range updates {
		if n.complete {
			listings++
		}
	}
	is.Equal(listings, 2) // so that keys missing from the second listing are removed
}

func TestRequestedListingCancelsALongWatch(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{}
	synctest.Test(t, func(t *testing.T) {
		lastProof := time.Duration(0)
		f := newFollower(store, listenerWatchDuration, 0)
		f.afterCall = func(upTo time.Duration) { lastProof = upTo }
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go f.run(ctx)
		advance(3 * time.Second)
		before := lastProof
		f.requestListing()
		synctest.Wait()
		is.Equal(store.lists, 2)   // at the start and as requested
		is.Equal(store.watches, 2) // the first, and the one after the second listing
		is.True(lastProof >= before)
		advance(6 * time.Second)
		is.Equal(store.lists, 2)
		is.Equal(store.watches, 2)
	})
}

// Guards against listings of a slow store that never complete because each request
// for a listing cancels the one in progress.
func TestRequestedListingDoesNotCancelOneInProgress(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{listTime: 900 * time.Millisecond}
	synctest.Test(t, func(t *testing.T) {
		listed := 0
		f := newFollower(store, listenerWatchDuration, 0)
		f.apply = func(update) { listed++ }
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		go f.run(ctx)
		for range 8 {
			advance(minReadPause)
			f.requestListing()
		}
		is.True(listed >= 2)
	})
}

func TestListenerUsesLongWatchesAndFollowerNone(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{}
	synctest.Test(t, func(t *testing.T) {
		f := newFollower(store, 0, 0)
		s := f.service
		f.wanted, f.watchDuration, f.batchDelay = s.readsEndpoints, s.endpointsWatchDuration, s.endpointsBatchDelay
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		setDuty := func(d duty) {
			s.currentDuty.Store(uint32(d))
			f.wakeUp()
			synctest.Wait()
		}
		go f.run(ctx)
		advance(9 * time.Second)
		is.Equal(store.lists, 0) // a follower calls nothing
		setDuty(listens)
		advance(9 * time.Second)
		is.Equal(store.watches, 1)
		setDuty(proves)
		advance(7 * time.Second)
		is.True(store.watches >= 3)
		is.Equal(store.lists, 1) // it knows all changes up to its last watch
		setDuty(follows)
		advance(3 * time.Second) // until the watch under way has ended
		before := store.watches
		advance(9 * time.Second)
		is.Equal(store.watches, before)
	})
}

func TestFailingStoreIsCalledLessOften(t *testing.T) {
	is := is.New(t)
	down := errors.New("turned away")
	store := &scriptedStore{watch: func(number int) (keyvalue.Changes, error) {
		if number < 6 {
			return keyvalue.Changes{}, down
		}
		return keyvalue.Changes{}, nil
	}}
	_, regained := runFollower(t, store, 10*time.Second)
	is.True(!regained.IsZero())
	is.Equal(store.lists, 1)     // a failed watch alone needs no new listing
	is.True(store.watches <= 15) // five that failed, then one a second
}
