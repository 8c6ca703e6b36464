package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
)

// heldReadInterval is how often held parts are read from the store while owners cannot
// tell all entries.
const heldReadInterval = time.Second

// heldReader reads from the store which parts of prompts other owners hold, while this
// host cannot reach all others: owners on both sides of a split learn from each other.
type heldReader struct{ writer *grantWriter }

func (r *heldReader) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heldReadInterval):
		}
		if r.writer.owner.fleetShare() == 1 {
			continue
		}
		for _, s := range r.writer.owner.activeServices() {
			r.read(ctx, s)
		}
	}
}

func (r *heldReader) read(ctx context.Context, s *serviceOwner) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	pages, err := r.writer.readPages(ctx, s.service)
	if err != nil {
		r.writer.owner.common.Log.Info("held parts of other owners not read", zap.String("service", s.service), zap.Error(err))
		return
	}
	var held []permit.HeldParts
	for _, page := range pages {
		held = append(held, page.heldNow()...)
	}
	if len(held) > 0 {
		s.offer(permit.Warned{At: instantNow(), Held: held})
	}
}
