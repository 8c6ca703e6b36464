package discovery

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/notice"
)

// lapsingStore is a store with one endpoint that is silent for outage after the listing.
// The entry of the endpoint has lapsed in the meantime.
type lapsingStore struct {
	scriptedStore
	outage time.Duration
	start  time.Time
}

func (s *lapsingStore) List(context.Context, string) (keyvalue.Listing, error) {
	s.start = time.Now()
	return keyvalue.Listing{Entries: []keyvalue.Entry{present("i-1", 5).Entry}, Revision: 5}, nil
}

func (s *lapsingStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (keyvalue.Changes, error) {
	if time.Since(s.start) < s.outage {
		return keyvalue.Changes{}, errors.New("the store is down")
	}
	if after < 6 {
		return keyvalue.Changes{Changes: []keyvalue.Change{removed(6)}, Revision: 6}, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return keyvalue.Changes{Revision: after}, ctx.Err()
}

func TestEndpointThatLapsedInAnOutageIsDroppedAsTheStoreReturns(t *testing.T) {
	for _, d := range []duty{proves, listens} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newLoneHostWithEndpoints()
			s.currentDuty.Store(uint32(d))
			s.store = &lapsingStore{outage: 5 * time.Second}
			s.endpoints = &follower{
				service: s, prefix: "endpoints/", wanted: s.readsEndpoints, watchDuration: s.endpointsWatchDuration, batchDelay: s.endpointsBatchDelay,
				maxPause: constant(longRetryPause), apply: s.applyEndpoints, afterCall: s.recordSync,
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go s.endpoints.run(ctx)
			go s.loop(ctx)
			time.Sleep(5 * time.Second)
			for len(s.presentNames()) > 0 {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(s.budget().grace() / 2)
			is.True(!s.release.HasLeft("i-1")) // its entry is back about two seconds after the store
			time.Sleep(s.budget().bound)
			is.True(s.release.HasLeft("i-1"))
		})
	}
}

func TestRestartedHostRefusesTombstonesThatTheOthersKeep(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		is := is.New(t)
		held, restarted := newLoneHostWithEndpoints(), newLoneHostWithEndpoints()
		held.applyEndpoints(update{changes: []keyvalue.Change{present("i-1", 5)}, revision: 5, complete: true})
		held.applyEndpoints(update{changes: []keyvalue.Change{removed(6)}, revision: 6})
		restarted.applyEndpoints(update{revision: 7, complete: true})
		tombstones := &recordedNotices{}
		held.notices = tombstones
		held.share(removed(6), update{})
		is.True(restarted.acceptChange(tombstones.last)) // or the boards differ for removalLife
	})
}

// recordedNotices holds the last notice that was published.
type recordedNotices struct {
	notices
	last notice.Notice
}

func (r *recordedNotices) Publish(n notice.Notice) { r.last = n }

func TestLeavingFoundByAListingIsNotSentToOthers(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		is := is.New(t)
		inTouch, turnedAway := newLoneHostWithEndpoints(), newLoneHostWithEndpoints()
		start := update{changes: []keyvalue.Change{present("i-1", 5)}, revision: 5, complete: true}
		inTouch.applyEndpoints(start)
		turnedAway.applyEndpoints(start)
		turnedAway.endpoints.lost = true
		passOn(inTouch, turnedAway, update{revision: 7, complete: true}) // the store no longer holds the removal
		is.Equal(len(turnedAway.table.PresentNames()), 0)
	})
}

// presentNames returns the endpoints that have an entry, while other goroutines run.
func (s *Service) presentNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.PresentNames()
}
