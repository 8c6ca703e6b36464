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
	// firstPause is the wait after a failed call; it doubles up to the follower's
	// own bound, longPause for those that can wait.
	firstPause = 100 * time.Millisecond
	longPause  = time.Second
	// answerSlack is how long before its arrival a watch's answer may have been
	// made.
	answerSlack = 300 * time.Millisecond
)

// news is what one call of the store brought.
type news struct {
	changes  []keyvalue.Change
	revision int64
	// whole is set when all keys were listed, so that what is missing is gone.
	whole bool
}

// follower lists the keys below a prefix and then watches them, and lists them
// again where changes were missed.
type follower struct {
	service *Service
	prefix  string
	// wait gives how long the next watch lasts without changes.
	wait func() time.Duration
	// gather is the pause after changes, in which further ones come together: each
	// return of a watch is a call.
	gather func() time.Duration
	// longest bounds the pause between failed calls.
	longest time.Duration
	take    func(news)
	// done is called after each call, with the boot time up to which the store is
	// known to have brought all news; a failed one calls it with zero.
	done func(upTo time.Duration)

	revision int64
	known    bool
	// lost is set from a failed call until one succeeds, at regained.
	lost     bool
	since    time.Time
	regained time.Time
	pause    time.Duration

	mu sync.Mutex
	// again is set when a look was asked for. listing is set while a listing is
	// under way, and cut ends the call under way.
	again   bool
	listing bool
	cut     context.CancelFunc
}

// always gives a wait that never changes.
func always(wait time.Duration) func() time.Duration {
	return func() time.Duration { return wait }
}

// look ends the watch under way and lists anew. A listing that is under way will
// do: a slow store must get to its end.
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

// begin readies a call that look can end, and gives how long it may wait; a
// listing if a look was asked for meanwhile.
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

// end tells whether a look ended the call.
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
			// The listing comes next.
		case errors.As(err, &compacted):
			f.service.common.Log.Info("store changes were dropped, listing again", zap.String("prefix", f.prefix), zap.Int64("revision", f.revision))
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

// provenUpTo gives until when nothing newer than n had come. A watch that ends
// without changes after its whole wait proves that to near its end.
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

func (f *follower) rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *follower) succeed() {
	if f.lost {
		f.regained = time.Now()
		f.service.common.Log.Info("store regained", zap.String("prefix", f.prefix), zap.Duration("after", time.Since(f.since)))
	}
	f.lost, f.pause = false, 0
}
