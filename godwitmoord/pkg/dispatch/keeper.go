package dispatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	// An owner that knows all grants of the window writes down those to customers
	// that have used more than keepShare of their quotas: only of those could a
	// successor that knows nothing grant too much. Others write down all of theirs.
	// They do so every keepInterval, and as soon as
	// untoldShare of a quota is not written, but not more often than keepPause.
	keepShare    = 0.6
	keepInterval = time.Second
	keepPause    = 100 * time.Millisecond
	untoldShare  = 0.03
	// unwrittenShare is what a customer is taken to have used of whom nothing is
	// written.
	unwrittenShare = 0.5
	keptRing       = 16
	keepTimeout    = 800 * time.Millisecond
	// readTimeout bounds the wait for what an earlier owner wrote: asks wait too.
	readTimeout = 300 * time.Millisecond
	// clockError is how far the hosts' times of day may lie apart.
	clockError = 500 * time.Millisecond
	// shareInterval is how often the part of the fleet in touch is looked at,
	// shareStep the least change that matters.
	shareInterval = 250 * time.Millisecond
	shareStep     = 0.01
)

// keptStore keeps what must outlast the hosts.
type keptStore interface {
	Keep(ctx context.Context, key string, value []byte) error
	// Kept gives what was kept under all keys that begin so.
	Kept(ctx context.Context, prefix string) ([][]byte, error)
	// Attend says whether this host owns a service.
	Attend(owner bool)
}

// keptPage is what one owner granted of one service in the window.
type keptPage struct {
	Service string            `cbor:"1,keyasint"`
	Spent   []permit.Spending `cbor:"2,keyasint"`
	// Written is when, in Unix nanoseconds.
	Written int64 `cbor:"3,keyasint"`
	// Host and Incarnation are the life that granted it.
	Host        string `cbor:"4,keyasint"`
	Incarnation int64  `cbor:"5,keyasint"`
}

// grantsKey begins the keys of the pages of a service.
func grantsKey(service string) string { return "granted/" + service + "/" }

// keeper writes down what owners granted, for a time when no host remembers it.
// The zero value keeps nothing.
type keeper struct {
	owner *Owner
	store keptStore
	pages ring.Ring[keptPage]
}

// run writes pages.
func (k *keeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case page := <-k.pages.Slots():
			k.write(ctx, page)
		}
	}
}

func (k *keeper) write(ctx context.Context, page keptPage) {
	data, err := cbor.Marshal(page)
	if err != nil {
		k.owner.common.Log.Error("grants cannot be encoded", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := k.store.Keep(ctx, grantsKey(page.Service)+page.Host, data); err != nil {
		k.owner.common.Count("owner.kept.failed")
	}
}

// loop follows the part of the fleet that this host is in touch with, and the
// services that are its to decide.
func (k *keeper) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(shareInterval):
		}
		k.store.Attend(k.owner.ownsAny())
		shared := k.follow()
		for _, s := range k.owner.openSeats() {
			if s.choose() || shared {
				s.configure()
			}
		}
	}
}

// follow takes over the share of the fleet in touch, and tells whether it changed.
func (k *keeper) follow() bool {
	o := k.owner
	share := o.members.Share()
	if math.Abs(share-o.fleetShare()) < shareStep {
		return false
	}
	o.setShare(share)
	o.common.Log.Info("share of the fleet in touch", zap.Float64("share", share))
	return true
}

// fleetShare gives the part of each quota that is this host's to grant.
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

// before gives what is known of grants before a seat is opened, and which of
// them an earlier life of this host wrote: its page is about to be overwritten.
func (k *keeper) before(service string) (found permit.Before, earlier []permit.Spending) {
	if k.store == nil {
		return permit.Before{}, nil
	}
	platform := k.owner.common.Settings.Platform
	ctx, cancel := context.WithTimeout(k.owner.ctx, readTimeout)
	defer cancel()
	pages, err := k.read(ctx, service)
	if err != nil {
		k.owner.common.Log.Warn("earlier grants not known, taking quotas as used", zap.String("service", service), zap.Error(err))
		return permit.Before{Unread: true}, nil
	}
	if platform.FirstStart && len(pages) == 0 {
		// Every owner writes a page when it begins: there was none before.
		return permit.Before{First: true}, nil
	}
	found.Assumed = unwrittenShare
	for _, page := range pages {
		spent := page.inWindow(platform.QuotaWindow.Std())
		found.Spent = append(found.Spent, spent...)
		if page.Host == k.owner.common.Self.Name {
			earlier = append(earlier, spent...)
		}
	}
	k.owner.common.Log.Info("earlier grants found", zap.String("service", service), zap.Int("pages", len(pages)), zap.Int("lines", len(found.Spent)))
	return found, earlier
}

// inWindow gives the grants of a page that still count.
func (p keptPage) inWindow(window time.Duration) []permit.Spending {
	age := max(0, time.Since(time.Unix(0, p.Written))-clockError)
	var spent []permit.Spending
	for _, s := range p.Spent {
		if s.Age += age; s.Age < window {
			spent = append(spent, s)
		}
	}
	return spent
}

// read gives the pages of a service that others wrote.
func (k *keeper) read(ctx context.Context, service string) ([]keptPage, error) {
	kept, err := k.store.Kept(ctx, grantsKey(service))
	if err != nil {
		return nil, err
	}
	var pages []keptPage
	for _, data := range kept {
		var page keptPage
		if err := cbor.Unmarshal(data, &page); err != nil {
			return nil, errors.Wrap(err, "decode earlier grants")
		}
		self := k.owner.common.Self
		if page.Host != self.Name || page.Incarnation != self.Incarnation {
			pages = append(pages, page)
		}
	}
	return pages, nil
}

// keep hands what was granted to the keeper, when it is time.
func (s *seat) keep() {
	k := &s.owner.keeper
	since := time.Since(s.kept)
	if k.store == nil || since < keepPause {
		return
	}
	if since < keepInterval && s.core.Untold(keepShare) < untoldShare {
		return
	}
	s.kept = time.Now()
	if spent := s.core.Spent(keepShare); len(spent) > 0 {
		s.write(spent)
	}
}

// inherit takes over what an earlier life of this host granted, so that it stays
// on the page while it counts.
func (s *seat) inherit(earlier []permit.Spending) {
	if len(earlier) > 0 {
		s.inherited, s.inheritedAt = earlier, time.Now()
	}
}

// stillInherited gives what was taken over, as old as it is by now.
func (s *seat) stillInherited() []permit.Spending {
	page := keptPage{Spent: slices.Clone(s.inherited), Written: s.inheritedAt.Add(clockError).UnixNano()}
	return page.inWindow(s.owner.common.Settings.Platform.QuotaWindow.Std())
}

// write hands a page to the keeper.
func (s *seat) write(spent []permit.Spending) {
	k := &s.owner.keeper
	if k.store == nil {
		return
	}
	self := s.owner.common.Self
	spent = append(s.stillInherited(), spent...)
	page := keptPage{Service: s.service, Spent: spent, Written: time.Now().UnixNano(), Host: self.Name, Incarnation: self.Incarnation}
	if !k.pages.Offer(page) {
		s.owner.common.Count("owner.kept.dropped")
	}
}
