package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/coordination/pkg/reply"
	"godwitmoor.example/godwitmoord/pkg/boottime"
)

const (
	// initialRetryPause is the pause after the first failed call. It doubles with each
	// further failure: up to urgentRetryPause for the configuration, without which keys
	// can't be accepted, up to longRetryPause for other reads, and up to
	// relaxedRetryPause while other hosts hear the store.
	initialRetryPause = 100 * time.Millisecond
	urgentRetryPause  = 500 * time.Millisecond
	longRetryPause    = time.Second
	relaxedRetryPause = 2 * time.Second
	// maxAnswerDelay is the longest time assumed between the moment the store ends
	// a watch and the arrival of its answer here.
	maxAnswerDelay = 300 * time.Millisecond
	// unusableLogPause is the shortest time between two messages about entries that
	// cannot be used.
	unusableLogPause = time.Minute
)

// update is the result of one call of the store, a listing or a watch.
type update struct {
	changes  []keyvalue.Change
	revision int64
	// complete is true for a listing of all keys: a key that is missing from it
	// does not exist.
	complete bool
	// initial is true for a listing from which this host learns its first endpoints.
	initial bool
	// age is how long ago the changes may have been made.
	age      time.Duration
	unusable keyvalue.Unusable
}

// follower lists the keys with a prefix and then watches them. It lists them
// again if it may have missed changes.
type follower struct {
	service *Service
	prefix  string
	// wanted reports whether this host follows these keys by itself now. While it does
	// not, run waits for wakeUp.
	wanted func() bool
	// watchDuration returns how long the next watch lasts without changes.
	watchDuration func() time.Duration
	// batchDelay returns the pause after a watch that returned changes. Changes made
	// meanwhile arrive with the next watch in one answer, which saves calls.
	batchDelay func() time.Duration
	// maxPause returns the longest pause after a failed call.
	maxPause func() time.Duration
	// prompt makes the first call after a failure or a pause a listing, which answers at
	// once. A watch without changes would prove nothing until its end.
	prompt bool
	// apply processes the result of each successful call.
	apply func(update)
	// afterCall is called after each call with the boot time up to which all
	// changes have been received; after a failed call with zero.
	afterCall func(upTo time.Duration)

	// revision is that of the last result. listed is false while the keys must be
	// listed before the next watch.
	revision int64
	listed   bool
	// lost is true from the first failed call, at lostSince, until the next
	// successful one, at regainedAt.
	lost       bool
	lostSince  time.Time
	regainedAt time.Time
	pause      time.Duration
	// lastEnd is when the last successful call ended.
	lastEnd time.Time
	// unusableAt is when entries that cannot be used were logged last.
	unusableAt time.Time

	mu sync.Mutex
	// woken is closed by the next wakeUp; nil if nothing waits for one.
	woken chan struct{}
	// listingRequested is true from requestListing until the listing begins.
	// listing is true while a listing is in progress. cancel cancels the call in
	// progress.
	listingRequested bool
	listing          bool
	cancel           context.CancelFunc
}

// constant returns a function that returns the same duration on every call.
func constant(duration time.Duration) func() time.Duration {
	return func() time.Duration { return duration }
}

// requestListing cancels the watch in progress and makes the next call a listing.
// It does nothing during a listing: with repeated requests, the listing of a slow
// store would otherwise never complete.
func (f *follower) requestListing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listing {
		return
	}
	f.listingRequested = true
	if f.cancel != nil {
		f.cancel()
	}
}

// beginCall returns a context for the next call, which requestListing can cancel,
// and how long a watch may wait. The call is a listing if one was requested.
func (f *follower) beginCall(ctx context.Context) (context.Context, time.Duration) {
	wait := f.watchDuration()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listingRequested {
		f.listingRequested, f.listed = false, false
	}
	f.listing = !f.listed
	ctx, f.cancel = context.WithCancel(ctx)
	return ctx, wait
}

// endCall releases the context of the call and reports whether a listing was
// requested during the call.
func (f *follower) endCall() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel()
	f.cancel, f.listing = nil, false
	return f.listingRequested
}

// wakeUp makes a follower that waits check whether it is wanted.
func (f *follower) wakeUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.woken != nil {
		close(f.woken)
		f.woken = nil
	}
}

// wakeChannel returns a channel that the next wakeUp closes.
func (f *follower) wakeChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.woken == nil {
		f.woken = make(chan struct{})
	}
	return f.woken
}

// awaitWanted waits until the follower is wanted; false if ctx ended.
func (f *follower) awaitWanted(ctx context.Context) bool {
	for ctx.Err() == nil {
		woken := f.wakeChannel()
		if f.wanted() {
			return true
		}
		// What this host knew of the store's state is of no use later.
		f.lastEnd, f.lost = time.Time{}, false
		f.listed = f.listed && !f.prompt
		select {
		case <-ctx.Done():
		case <-woken:
		}
	}
	return false
}

// run calls the store again and again while it is wanted, until ctx ends.
func (f *follower) run(ctx context.Context) {
	for f.awaitWanted(ctx) {
		started := boottime.Now()
		callCtx, wait := f.beginCall(ctx)
		u, err := f.call(callCtx, wait)
		cancelled := f.endCall()
		var compacted *keyvalue.CompactedError
		switch {
		case err != nil && cancelled:
			// requestListing cancelled the call; the next one is the listing.
		case errors.As(err, &compacted):
			f.service.common.Log.Info("store no longer holds the changes after this revision, listing again", zap.String("prefix", f.prefix), zap.Int64("revision", f.revision))
			f.listed = false
		case err != nil:
			// A listing holds less than many changes of the same keys.
			f.listed = f.listed && !f.prompt && !errors.HasType(err, (*reply.TooLargeError)(nil))
			f.handleFailure(ctx, err)
		default:
			upTo := provenUpTo(started, wait, u)
			f.noteRestore(u)
			u.age = f.changesAge(boottime.Now()-started, u)
			f.lastEnd = time.Now()
			f.apply(u)
			f.reportUnusable(u)
			f.revision, f.listed = u.revision, true
			f.handleSuccess()
			f.afterCall(upTo)
			if !u.complete && len(u.changes) > 0 {
				sleep(ctx, f.batchDelay())
			}
		}
	}
}

// provenUpTo returns the boot time up to which no change newer than u existed. In
// general that is when the call began. A watch that ran for its whole time without
// changes proves it almost up to its end.
func provenUpTo(started, wait time.Duration, u update) time.Duration {
	waited := !u.complete && len(u.changes) == 0 && boottime.Now()-started >= wait
	if waited {
		return started + wait - maxAnswerDelay
	}
	return started
}

// changesAge returns how long ago the changes may have been made that a call of the given
// length returned: during a watch that waited for them, and otherwise since the call
// before, of which the pause between two watches is the usual part. A host that begins to
// read has learned of changes from others, as long as one that reads answered it. After an
// outage of the store it is zero: what lapsed in the outage may still come back.
func (f *follower) changesAge(took time.Duration, u update) time.Duration {
	if f.lost || (!u.complete && took > maxAnswerDelay) {
		return 0
	}
	if f.lastEnd.IsZero() {
		return f.service.sinceLastReader()
	}
	return min(time.Since(f.lastEnd), f.service.budget().longPause())
}

// call lists the keys, or watches them if they were listed before.
func (f *follower) call(ctx context.Context, wait time.Duration) (update, error) {
	if f.listed {
		changes, err := f.service.store.Watch(ctx, f.prefix, f.revision, wait)
		return update{changes: changes.Changes, revision: changes.Revision, unusable: changes.Unusable}, err
	}
	listing, err := f.service.store.List(ctx, f.prefix)
	u := update{revision: listing.Revision, complete: true, unusable: listing.Unusable}
	for _, e := range listing.Entries {
		u.changes = append(u.changes, keyvalue.Change{Entry: e})
	}
	return u, err
}

// reportUnusable counts the entries that cannot be used, and logs one of them now and
// then.
func (f *follower) reportUnusable(u update) {
	if u.unusable.Count == 0 {
		return
	}
	metrics.GetOrRegisterCounter("store.unusable", f.service.common.Metrics).Inc(int64(u.unusable.Count))
	if !f.unusableAt.IsZero() && time.Since(f.unusableAt) < unusableLogPause {
		return
	}
	f.unusableAt = time.Now()
	f.service.common.Log.Warn("entries not used", zap.String("prefix", f.prefix), zap.Int("entries", u.unusable.Count),
		zap.Bool("listing", u.complete), zap.NamedError("first", u.unusable.First))
}

// handleFailure records a failed call and waits before the next attempt.
func (f *follower) handleFailure(ctx context.Context, err error) {
	if !f.lost {
		f.lost, f.lostSince = true, time.Now()
		f.service.common.Log.Warn("store lost", zap.String("prefix", f.prefix), zap.Error(err))
	}
	f.service.common.Count("store.failed")
	f.afterCall(0)
	f.pause = min(max(2*f.pause, initialRetryPause), f.maxPause())
	sleep(ctx, f.pause)
}

// noteRestore treats a restore of the store as an outage, also if no call failed: entries
// that the copy lacks are written again within the same time.
func (f *follower) noteRestore(u update) {
	if f.lost || f.revision == 0 || keyvalue.EraOf(u.revision) <= keyvalue.EraOf(f.revision) {
		return
	}
	f.lost, f.lostSince = true, time.Now()
}

// handleSuccess records a successful call.
func (f *follower) handleSuccess() {
	if f.lost {
		f.regainedAt = time.Now()
		f.service.common.Log.Info("store regained", zap.String("prefix", f.prefix), zap.Duration("after", time.Since(f.lostSince)))
	}
	f.lost, f.pause = false, 0
}
