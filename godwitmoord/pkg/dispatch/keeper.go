package dispatch

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	// keepInterval is how often an owner writes down what it granted to customers
	// that have used more than keepShare of their quotas: only of those could a
	// successor that knows nothing grant too much.
	keepInterval = 500 * time.Millisecond
	keepShare    = 0.75
	// unwrittenShare is what a customer is taken to have used of whom nothing is
	// written.
	unwrittenShare = 0.6
	keptRing       = 16
	keepTimeout    = 800 * time.Millisecond
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
	Kept(ctx context.Context, key string) ([]byte, error)
}

// keptPage is what an owner granted of one service in the window.
type keptPage struct {
	Service string            `cbor:"1,keyasint"`
	Spent   []permit.Spending `cbor:"2,keyasint"`
	// Written is when, in Unix nanoseconds.
	Written int64 `cbor:"3,keyasint"`
}

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
	if err := k.store.Keep(ctx, "granted/"+page.Service, data); err != nil {
		k.owner.common.Count("owner.kept.failed")
	}
}

// loop follows the part of the fleet that this host is in touch with.
func (k *keeper) loop(ctx context.Context) {
	o := k.owner
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(shareInterval):
		}
		share := o.members.Share()
		if math.Abs(share-o.fleetShare()) < shareStep {
			continue
		}
		o.setShare(share)
		o.common.Log.Info("share of the fleet in touch", zap.Float64("share", share))
		for _, s := range o.openSeats() {
			s.configure()
		}
	}
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

// before gives what is known of grants before a seat is opened. In a process
// that has run for a while the hosts remember them.
func (k *keeper) before(service string) permit.Before {
	if k.store == nil {
		return permit.Before{}
	}
	if time.Since(k.owner.started) > k.owner.common.Settings.Platform.QuotaWindow.Std() {
		return permit.Before{}
	}
	if k.owner.common.Settings.Platform.FirstStart {
		return permit.Before{First: true}
	}
	ctx, cancel := context.WithTimeout(k.owner.ctx, keepTimeout)
	defer cancel()
	page, err := k.read(ctx, service)
	if err != nil {
		k.owner.common.Log.Warn("earlier grants not known, taking quotas as used", zap.String("service", service), zap.Error(err))
		return permit.Before{Assumed: 1}
	}
	age := max(0, time.Since(time.Unix(0, page.Written))-clockError)
	for i := range page.Spent {
		page.Spent[i].Age += age
	}
	k.owner.common.Log.Info("earlier grants found", zap.String("service", service), zap.Int("lines", len(page.Spent)), zap.Duration("age", age))
	return permit.Before{Assumed: unwrittenShare, Spent: page.Spent}
}

func (k *keeper) read(ctx context.Context, service string) (keptPage, error) {
	var page keptPage
	data, err := k.store.Kept(ctx, "granted/"+service)
	if err != nil || data == nil {
		return page, err
	}
	return page, errors.Wrap(cbor.Unmarshal(data, &page), "decode earlier grants")
}

// keep hands what was granted to the keeper, when it is time.
func (s *seat) keep() {
	k := &s.owner.keeper
	if k.store == nil || time.Since(s.kept) < keepInterval {
		return
	}
	s.kept = time.Now()
	spent := s.core.Spent(keepShare)
	if len(spent) == 0 {
		return
	}
	if !k.pages.Offer(keptPage{Service: s.service, Spent: spent, Written: time.Now().UnixNano()}) {
		s.owner.common.Count("owner.kept.dropped")
	}
}
