// Package claims holds this host's book of claims and finishes, behind the
// requests, what has to be written but nobody waits for.
package claims

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/claim"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	ringSize = 4096
	writers  = 8
	// tryFor bounds one round of writing; what is left then is queued again.
	tryFor = 10 * time.Second
)

// errand is a write that nobody waits for. It is one of settle, lose, release
// and withdraw.
type errand interface{ errand() }

type (
	settle struct {
		holding claim.Holding
		answer  claim.Answer
	}
	lose     struct{ holding claim.Holding }
	release  struct{ holding claim.Holding }
	withdraw struct {
		application claim.Application
		retention   time.Duration
	}
)

func (settle) errand()   {}
func (lose) errand()     {}
func (release) errand()  {}
func (withdraw) errand() {}

// Service is the host's book of claims.
type Service struct {
	*claim.Book
	common *common.Common
	ring   ring.Ring[errand]
	open   sync.WaitGroup
}

// New makes the service.
func New(c *common.Common, store keyvalue.Store) *Service {
	return &Service{
		Book:   &claim.Book{Store: store, Host: c.Self},
		common: c,
		ring:   ring.New[errand](ringSize),
	}
}

// Start begins to write.
func (s *Service) Start(ctx context.Context) error {
	for range writers {
		go s.run(ctx)
	}
	return nil
}

// Stop waits until everything is written or ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	written := make(chan struct{})
	w := &waiting{service: s, done: written}
	go w.run()
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type waiting struct {
	service *Service
	done    chan struct{}
}

func (w *waiting) run() {
	w.service.open.Wait()
	close(w.done)
}

// SettleLater stores the answer of a claim of ours.
func (s *Service) SettleLater(h claim.Holding, a claim.Answer) { s.queue(settle{h, a}) }

// LoseLater stores that the outcome of a claim of ours is unknown.
func (s *Service) LoseLater(h claim.Holding) { s.queue(lose{h}) }

// ReleaseLater gives up a claim of ours that was never sent.
func (s *Service) ReleaseLater(h claim.Holding) { s.queue(release{h}) }

// WithdrawLater leaves a withdrawn claim for a request that was never sent.
func (s *Service) WithdrawLater(a claim.Application, retention time.Duration) {
	s.queue(withdraw{a, retention})
}

func (s *Service) queue(e errand) {
	s.open.Add(1)
	if !s.ring.Offer(e) {
		s.open.Done()
		s.common.Count("claims.errand.dropped")
	}
}

func (s *Service) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.ring.Slots():
			if err := s.carryOut(ctx, e); err != nil {
				s.common.Log.Warn("claim not written yet", zap.Error(err))
				s.queue(e)
			}
			s.open.Done()
		}
	}
}

func (s *Service) carryOut(ctx context.Context, e errand) error {
	ctx, cancel := context.WithTimeout(ctx, tryFor)
	defer cancel()
	switch e := e.(type) {
	case settle:
		return retriable(s.Settle(ctx, e.holding, e.answer))
	case lose:
		return retriable(s.Lose(ctx, e.holding))
	case release:
		_, err := s.Release(ctx, e.holding)
		return retriable(err)
	case withdraw:
		_, err := s.Withdraw(ctx, e.application, e.retention)
		return retriable(err)
	}
	return nil
}

// retriable drops the errors that time does not mend, such as a key that has
// grown too old to be withdrawn: nobody can send it any more.
func retriable(err error) error {
	if errors.HasType(err, (*claim.ExpiredKeyError)(nil)) || errors.HasType(err, (*claim.MalformedKeyError)(nil)) {
		return nil
	}
	return err
}
