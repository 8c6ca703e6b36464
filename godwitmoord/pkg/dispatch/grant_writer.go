package dispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	// An owner that has the complete grants of the window persists only those of
	// customers that have used more than persistThreshold of their quotas: for other
	// customers a successor without this information could not exceed the quota.
	// An owner with incomplete grants persists all of its own. Either writes every
	// writeInterval, and earlier when maxUnwrittenShare of a quota is granted but not
	// yet written, but waits at least minWritePause between two writes.
	persistThreshold  = 0.6
	writeInterval     = time.Second
	minWritePause     = 100 * time.Millisecond
	maxUnwrittenShare = 0.03
	// assumedUsedShare is the share of its quota that a customer without persisted
	// grants is assumed to have used.
	assumedUsedShare = 0.5
	pageQueueSize    = 16
	writeTimeout     = 800 * time.Millisecond
	// readTimeout bounds the read of persisted grants, because asks wait for it.
	readTimeout = 300 * time.Millisecond
	// maxClockDifference is the largest assumed difference between the wall clocks of
	// two hosts.
	maxClockDifference = 500 * time.Millisecond
	// shareInterval is how often the reachable share of the fleet is read, and
	// minShareChange is the smallest change of it that is applied.
	shareInterval  = 250 * time.Millisecond
	minShareChange = 0.01
)

// grantStore holds data that must survive the loss of all hosts.
type grantStore interface {
	// Put writes a value and overwrites the one stored under the key.
	Put(ctx context.Context, key string, value []byte) error
	// List returns the values of all keys with the prefix.
	List(ctx context.Context, prefix string) ([][]byte, error)
	// RestoredAt returns when this host saw the store come back from an earlier copy, zero
	// if that was before it first heard of the store, and whether the store ever did.
	RestoredAt() (at time.Time, ever bool)
}

// errPagesLost reports that the store was restored from a copy within the quota window, so
// that pages may be missing from it or older than they were.
var errPagesLost = errors.New("the store came back from an earlier copy, which may lack pages")

// grantPage holds the grants that one owner made for one service in the quota window.
type grantPage struct {
	Service string              `cbor:"1,keyasint"`
	Usage   []permit.QuotaUsage `cbor:"2,keyasint"`
	// Written is the time of writing in Unix nanoseconds.
	Written int64 `cbor:"3,keyasint"`
	// Host and Incarnation identify the owner process that made the grants.
	Host        string `cbor:"4,keyasint"`
	Incarnation int64  `cbor:"5,keyasint"`
	// Held are the parts of prompts that the owner holds.
	Held []permit.HeldParts `cbor:"6,keyasint,omitempty"`
	// Number rises with each page of the process for the service.
	Number int64 `cbor:"7,keyasint,omitempty"`
}

// grantsKey returns the key prefix of the pages of a service.
func grantsKey(service string) string { return "granted/" + service + "/" }

// grantWriter writes the grants of this host's services to the store, so that they
// survive the loss of all hosts that hold them in memory. The zero value persists
// nothing.
type grantWriter struct {
	owner *Owner
	store grantStore
	pages ring.Ring[grantPage]
}

// run writes queued pages to the store.
func (w *grantWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case page := <-w.pages.Values():
			w.writePage(ctx, page)
		}
	}
}

func (w *grantWriter) writePage(ctx context.Context, page grantPage) {
	data, err := cbor.Marshal(page)
	if err != nil {
		w.owner.common.Log.Error("grants cannot be encoded", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := w.store.Put(ctx, grantsKey(page.Service)+page.Host, data); err != nil {
		w.owner.common.Count("owner.kept.failed")
	}
}

// loop tracks which services this host owns and which share of the fleet it can
// reach, and reconfigures the services when either changes.
func (w *grantWriter) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(shareInterval):
		}
		w.owner.keepKnownGrants()
		shareChanged := w.updateShare()
		for _, s := range w.owner.activeServices() {
			if s.updateOwnership() || shareChanged {
				s.configure()
			}
		}
	}
}

// updateShare updates the share of the fleet that this host can reach, and reports
// whether it changed.
func (w *grantWriter) updateShare() bool {
	o := w.owner
	share := o.members.ReachableShare()
	if math.Abs(share-o.fleetShare()) < minShareChange {
		return false
	}
	o.setShare(share)
	o.common.Log.Info("share of the fleet in touch", zap.Float64("share", share))
	return true
}

// fleetShare returns the share of the fleet that this host can reach, which is also
// the share of each quota that it may grant. It is 1 before the first measurement.
func (o *Owner) fleetShare() float64 {
	o.shareMu.Lock()
	defer o.shareMu.Unlock()
	if o.share == 0 {
		return 1
	}
	return o.share
}

func (o *Owner) setShare(share float64) {
	o.shareMu.Lock()
	defer o.shareMu.Unlock()
	o.share = share
}

// persisted is what the pages of a service say.
type persisted struct {
	grants permit.EarlierGrants
	// held are the parts of prompts that owners hold.
	held []permit.HeldParts
}

// readEarlierGrants reads what earlier owners of a service persisted, and adds what other
// hosts reported of their grants. Without an answer of the store that is enough if they
// reported all.
func (w *grantWriter) readEarlierGrants(service string) persisted {
	if w.store == nil {
		return persisted{}
	}
	platform := w.owner.common.Settings.Platform
	ctx, cancel := context.WithTimeout(w.owner.ctx, readTimeout)
	defer cancel()
	known, window := w.owner.knownGrants(service), platform.QuotaWindow.Std()
	pages, err := w.readPages(ctx, service)
	if err == nil && w.mayLackPages(window) {
		err = errPagesLost
	}
	if err != nil && !known.isComplete() {
		w.owner.common.Log.Warn("earlier grants not known, taking quotas as used", zap.String("service", service), zap.Error(err))
		if len(pages) > 0 {
			known.learn(reportsOf(pages, window), false, window)
		}
		return persisted{grants: permit.EarlierGrants{Unread: true}, held: heldOf(pages)}
	}
	if err == nil && platform.FirstStart && len(pages) == 0 && known.isEmpty() && !w.wasRestored() {
		// Every owner writes a page when it starts, so without pages there was no
		// earlier owner.
		known.learn(nil, true, window)
		return persisted{grants: permit.EarlierGrants{NoEarlierOwner: true}}
	}
	found := persisted{grants: permit.EarlierGrants{Assumed: assumedUsedShare}, held: heldOf(pages)}
	known.learn(reportsOf(pages, window), err == nil, window)
	ofSelf, ofOthers := known.usage(w.owner.common.Self.Name, window)
	found.grants.QuotaUsed = slices.Concat(ofOthers, ofSelf)
	w.owner.common.Log.Info("earlier grants found", zap.String("service", service), zap.Int("pages", len(pages)), zap.Bool("store-read", err == nil),
		zap.Int("lines", len(found.grants.QuotaUsed)), zap.Int("held-parts", len(found.held)))
	return found
}

// reportsOf returns what pages say of their writers' grants.
func reportsOf(pages []grantPage, window time.Duration) []knownReport {
	var reports []knownReport
	for _, page := range pages {
		reports = append(reports, page.known(window))
	}
	return reports
}

// heldOf returns the parts of prompts that the writers of pages still hold.
func heldOf(pages []grantPage) []permit.HeldParts {
	var held []permit.HeldParts
	for _, page := range pages {
		held = append(held, page.heldNow()...)
	}
	return held
}

// mayLackPages reports whether grants of the window may have been on pages that a restore
// of the store lost.
func (w *grantWriter) mayLackPages(window time.Duration) bool {
	at, _ := w.store.RestoredAt()
	return !at.IsZero() && time.Since(at) < window
}

// wasRestored reports whether the store was ever restored. That it holds no pages then
// doesn't show that there was no owner.
func (w *grantWriter) wasRestored() bool {
	_, ever := w.store.RestoredAt()
	return ever
}

// pageRestorer makes the owners of this host write their pages again after a restore of the
// store, which lost those written since the copy was taken.
type pageRestorer struct{ owner *Owner }

func (r *pageRestorer) run(restores <-chan []byte) {
	for range restores {
		for _, s := range r.owner.activeServices() {
			s.pageLost.Store(true)
		}
	}
}

// known returns what the page says of its writer's grants.
func (p grantPage) known(window time.Duration) knownReport {
	return knownReport{
		process: host.Identity{Name: p.Host, Incarnation: p.Incarnation}, number: p.Number, usage: p.inWindow(window), at: time.Now(),
	}
}

// heldNow returns the parts of prompts that the writer of the page still holds.
func (p grantPage) heldNow() []permit.HeldParts {
	age := max(0, time.Since(time.Unix(0, p.Written)))
	var held []permit.HeldParts
	for _, h := range p.Held {
		if h.Left -= age; h.Left > 0 {
			held = append(held, h)
		}
	}
	return held
}

// inWindow returns the grants of a page that are still inside the quota window.
func (p grantPage) inWindow(window time.Duration) []permit.QuotaUsage {
	age := max(0, time.Since(time.Unix(0, p.Written))-maxClockDifference)
	var usage []permit.QuotaUsage
	for _, s := range p.Usage {
		if s.Age += age; s.Age < window {
			usage = append(usage, s)
		}
	}
	return usage
}

// readPages returns the pages of a service that other processes wrote, including
// earlier incarnations of this host.
func (w *grantWriter) readPages(ctx context.Context, service string) ([]grantPage, error) {
	values, err := w.store.List(ctx, grantsKey(service))
	if err != nil {
		return nil, err
	}
	var pages []grantPage
	for _, data := range values {
		var page grantPage
		if err := cbor.Unmarshal(data, &page); err != nil {
			return nil, errors.Wrap(err, "decode persisted grants")
		}
		self := w.owner.common.Self
		if page.Host != self.Name || page.Incarnation != self.Incarnation {
			pages = append(pages, page)
		}
	}
	return pages, nil
}

// persistGrants queues the grants for writing when a write is due.
func (s *serviceOwner) persistGrants() {
	w := &s.owner.grantWriter
	since := time.Since(s.lastWrite)
	if w.store == nil || since < minWritePause {
		return
	}
	lost := s.pageLost.Swap(false)
	if !lost && since < writeInterval && s.core.UnwrittenShare(persistThreshold) < maxUnwrittenShare {
		return
	}
	s.lastWrite = time.Now()
	usage := s.core.QuotaUsed(persistThreshold)
	s.pageNumber++
	s.shareGrants(usage)
	if len(usage) > 0 || lost {
		s.queuePage(usage)
	}
}

// inherited returns the grants of earlier incarnations of this host, which stay on its page
// until they leave the quota window.
func (s *serviceOwner) inherited() []permit.QuotaUsage {
	ofSelf, _ := s.owner.knownGrants(s.service).usage(s.owner.common.Self.Name, s.quotaWindow())
	return ofSelf
}

// queuePage queues a page that holds the inherited grants and the given ones.
func (s *serviceOwner) queuePage(usage []permit.QuotaUsage) {
	w := &s.owner.grantWriter
	if w.store == nil {
		return
	}
	self := s.owner.common.Self
	usage = append(s.inherited(), usage...)
	page := grantPage{
		Service: s.service, Usage: usage, Written: time.Now().UnixNano(), Host: self.Name, Incarnation: self.Incarnation, Number: s.pageNumber,
		Held: s.core.HeldParts(),
	}
	if !w.pages.Offer(page) {
		s.owner.common.Count("owner.kept.dropped")
	}
}
