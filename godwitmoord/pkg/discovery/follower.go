package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/boottime"
)

const (
	// firstPause is the pause after the first failed call. It doubles with each
	// further failure up to the follower's own limit, which is longPause for reads
	// that are not urgent.
	firstPause = 100 * time.Millisecond
	longPause  = time.Second
	// answerSlack is the longest time assumed between the moment the store ends a
	// watch and the arrival of its answer here.
	answerSlack = 300 * time.Millisecond
)

// news is the result of one call of the store, a listing or a watch.
type news struct {
	changes  []keyvalue.Change
	revision int64
	// whole is true for a listing of all keys: a key that is missing from it does
	// not exist.
	whole bool
}

// follower lists the keys with a prefix and then watches them. It lists them
// again if it may have missed changes.
type follower struct {
	service *Service
	prefix  string
	// wait returns how long the next watch lasts without changes.
	wait func() time.Duration
	// gather returns the pause after a watch that returned changes. Changes made
	// meanwhile arrive with the next watch in one answer, which saves calls.
	gather func() time.Duration
	// longest limits the pause after a failed call.
	longest time.Duration
	// take processes the result of each successful call.
	take func(news)
	// done is called after each call with the boot time up to which all changes
	// have been received; after a failed call with zero.
	done func(upTo time.Duration)

	// revision is that of the last result. known is false while the keys must be
	// listed before the next watch.
	revision int64
	known    bool
	// lost is true from a failed call, the first at since, until the next
	// successful one, at regained.
	lost     bool
	since    time.Time
	regained time.Time
	pause    time.Duration

	mu sync.Mutex
	// again is true when look requested a listing that has not begun. listing is
	// true while a listing is in progress. cut cancels the call in progress.
	again   bool
	listing bool
	cut     context.CancelFunc
}

// always returns a function that returns the same duration on every call.
func always(wait time.Duration) func() time.Duration {
	return func() time.Duration { return wait }
}

// look cancels the watch in progress and requests a new listing. It does not
// cancel a listing in progress, which serves the purpose too: cancelled again and
// again, the listing of a slow store would never complete.
func (f *follower) look() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listing {
		return
	}
	f.again = true
	if f.cut != nil {
		f.cut()
	}
}

// begin returns a context for the next call that look can cancel, and how long a
// watch may wait. The next call is a listing if look was called meanwhile.
func (f *follower) begin(ctx context.Context) (context.Context, time.Duration) {
	wait := f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.again {
		f.again, f.known = false, false
	}
	f.listing = !f.known
	ctx, f.cut = context.WithCancel(ctx)
	return ctx, wait
}

// end releases the context of the call and reports whether look requested a
// listing during the call.
func (f *follower) end() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut()
	f.cut, f.listing = nil, false
	return f.again
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		asked := boottime.Now()
		calling, wait := f.begin(ctx)
		n, err := f.call(calling, wait)
		looked := f.end()
		var compacted *keyvalue.CompactedError
		switch {
		case err != nil && looked:
			// look cancelled the call; the next one is the listing.
		case errors.As(err, &compacted):
			f.service.common.Log.Info("store no longer holds the changes after this revision, listing again", zap.String("prefix", f.prefix), zap.Int64("revision", f.revision))
			f.known = false
		case err != nil:
			f.fail(ctx, err)
		default:
			upTo := provenUpTo(asked, wait, n)
			f.take(n)
			f.revision, f.known = n.revision, true
			f.succeed()
			f.done(upTo)
			if !n.whole && len(n.changes) > 0 {
				f.rest(ctx, f.gather())
			}
		}
	}
}

// provenUpTo returns the boot time up to which no change newer than n existed. In
// general that is when the call began. A watch that ran for its whole time without
// changes proves it almost up to its end.
func provenUpTo(asked, wait time.Duration, n news) time.Duration {
	waited := !n.whole && len(n.changes) == 0 && boottime.Now()-asked >= wait
	if waited {
		return asked + wait - answerSlack
	}
	return asked
}

func (f *follower) call(ctx context.Context, wait time.Duration) (news, error) {
	if f.known {
		changes, err := f.service.store.Watch(ctx, f.prefix, f.revision, wait)
		return news{changes: changes.Changes, revision: changes.Revision}, err
	}
	listing, err := f.service.store.List(ctx, f.prefix)
	n := news{revision: listing.Revision, whole: true}
	for _, e := range listing.Entries {
		n.changes = append(n.changes, keyvalue.Change{Entry: e})
	}
	return n, err
}

// fail records a failed call and waits before the next attempt.
func (f *follower) fail(ctx context.Context, err error) {
	if !f.lost {
		f.lost, f.since = true, time.Now()
		f.service.common.Log.Warn("store lost", zap.String("prefix", f.prefix), zap.Error(err))
	}
	f.service.common.Count("store.failed")
	f.done(0)
	f.pause = min(max(2*f.pause, firstPause), f.longest)
	f.rest(ctx, f.pause)
}

// rest waits for d or until ctx ends.
func (f *follower) rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// succeed records a successful call.
func (f *follower) succeed() {
	if f.lost {
		f.regained = time.Now()
		f.service.common.Log.Info("store regained", zap.String("prefix", f.prefix), zap.Duration("after", time.Since(f.since)))
	}
	f.lost, f.pause = false, 0
}
