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
	// An owner that has the complete grants of the window persists only those of
	// customers that have used more than keepShare of their quotas: for other
	// customers a successor without this information could not exceed the quota.
	// An owner with incomplete grants persists all of its own. Either writes every
	// keepInterval, and earlier when untoldShare of a quota is granted but not yet
	// written, but waits at least keepPause between two writes.
	keepShare    = 0.6
	keepInterval = time.Second
	keepPause    = 100 * time.Millisecond
	untoldShare  = 0.03
	// unwrittenShare is the share of its quota that a customer without persisted
	// grants is assumed to have used.
	unwrittenShare = 0.5
	keptRing       = 16
	keepTimeout    = 800 * time.Millisecond
	// readTimeout bounds the read of persisted grants, because asks wait for it.
	readTimeout = 300 * time.Millisecond
	// clockError is the largest assumed difference between the wall clocks of two
	// hosts.
	clockError = 500 * time.Millisecond
	// shareInterval is how often the reachable share of the fleet is read, and
	// shareStep is the smallest change of it that is applied.
	shareInterval = 250 * time.Millisecond
	shareStep     = 0.01
)

// keptStore holds data that must survive the loss of all hosts.
type keptStore interface {
	// Keep writes a value and overwrites the one stored under the key.
	Keep(ctx context.Context, key string, value []byte) error
	// Kept returns the values of all keys with the prefix.
	Kept(ctx context.Context, prefix string) ([][]byte, error)
	// Attend sets whether this host owns any service.
	Attend(owner bool)
}

// keptPage holds the grants that one owner made for one service in the quota window.
type keptPage struct {
	Service string            `cbor:"1,keyasint"`
	Spent   []permit.Spending `cbor:"2,keyasint"`
	// Written is the time of writing in Unix nanoseconds.
	Written int64 `cbor:"3,keyasint"`
	// Host and Incarnation identify the owner process that made the grants.
	Host        string `cbor:"4,keyasint"`
	Incarnation int64  `cbor:"5,keyasint"`
}

// grantsKey returns the key prefix of the pages of a service.
func grantsKey(service string) string { return "granted/" + service + "/" }

// keeper writes the grants of this host's services to the store, so that they
// survive the loss of all hosts that hold them in memory. The zero value persists
// nothing.
type keeper struct {
	owner *Owner
	store keptStore
	pages ring.Ring[keptPage]
}

// run writes queued pages to the store.
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

// loop tracks which services this host owns and which share of the fleet it can
// reach, and reconfigures the services when either changes.
func (k *keeper) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(shareInterval):
		}
		k.store.Attend(k.owner.ownsAny())
		shared := k.follow()
		for _, s := range k.owner.activeServices() {
			if s.updateOwnership() || shared {
				s.configure()
			}
		}
	}
}

// follow updates the share of the fleet that this host can reach, and reports
// whether it changed.
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

// before reads the persisted grants of earlier owners of a service. It also returns
// separately those written by an earlier incarnation of this host, because this
// host is about to overwrite that page.
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
		// Every owner writes a page when it starts, so without pages there was no
		// earlier owner.
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

// inWindow returns the grants of a page that are still inside the quota window.
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

// read returns the pages of a service that other processes wrote, including earlier
// incarnations of this host.
func (k *keeper) read(ctx context.Context, service string) ([]keptPage, error) {
	kept, err := k.store.Kept(ctx, grantsKey(service))
	if err != nil {
		return nil, err
	}
	var pages []keptPage
	for _, data := range kept {
		var page keptPage
		if err := cbor.Unmarshal(data, &page); err != nil {
			return nil, errors.Wrap(err, "decode persisted grants")
		}
		self := k.owner.common.Self
		if page.Host != self.Name || page.Incarnation != self.Incarnation {
			pages = append(pages, page)
		}
	}
	return pages, nil
}

// persistGrants queues the grants for writing when a write is due.
func (s *serviceOwner) persistGrants() {
	k := &s.owner.keeper
	since := time.Since(s.lastWrite)
	if k.store == nil || since < keepPause {
		return
	}
	if since < keepInterval && s.core.Untold(keepShare) < untoldShare {
		return
	}
	s.lastWrite = time.Now()
	if spent := s.core.Spent(keepShare); len(spent) > 0 {
		s.queuePage(spent)
	}
}

// setInherited stores the grants of an earlier incarnation of this host, so that they
// stay on the page until they leave the quota window.
func (s *serviceOwner) setInherited(earlier []permit.Spending) {
	if len(earlier) > 0 {
		s.inherited, s.inheritedAt = earlier, time.Now()
	}
}

// inheritedInWindow returns the inherited grants that are still in the quota window,
// with their present ages.
func (s *serviceOwner) inheritedInWindow() []permit.Spending {
	page := keptPage{Spent: slices.Clone(s.inherited), Written: s.inheritedAt.Add(clockError).UnixNano()}
	return page.inWindow(s.owner.common.Settings.Platform.QuotaWindow.Std())
}

// queuePage queues a page that holds the inherited grants and the given ones.
func (s *serviceOwner) queuePage(spent []permit.Spending) {
	k := &s.owner.keeper
	if k.store == nil {
		return
	}
	self := s.owner.common.Self
	spent = append(s.inheritedInWindow(), spent...)
	page := keptPage{Service: s.service, Spent: spent, Written: time.Now().UnixNano(), Host: self.Name, Incarnation: self.Incarnation}
	if !k.pages.Offer(page) {
		s.owner.common.Count("owner.kept.dropped")
	}
}
