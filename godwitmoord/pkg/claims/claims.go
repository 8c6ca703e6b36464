// Package claims gives access to the claims (idempotency records) in the key-value
// store. Writes that no request waits for are queued and made in the background.
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
	// tryFor bounds one try of a queued write. A write that fails is queued again.
	tryFor = 10 * time.Second
)

// errand is a write that no request waits for: settle, lose, release or withdraw.
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

// Service reads and writes claims in the name of this host.
type Service struct {
	*claim.Book
	common *common.Common
	ring   ring.Ring[errand]
	// open counts the queued writes that are not finished.
	open sync.WaitGroup
}

// New returns the service, which writes nothing in the background before Start.
func New(c *common.Common, store keyvalue.Store) *Service {
	return &Service{
		Book:   &claim.Book{Store: store, Host: c.Self},
		common: c,
		ring:   ring.New[errand](ringSize),
	}
}

// Start begins to make the queued writes.
func (s *Service) Start(ctx context.Context) error {
	for range writers {
		go s.run(ctx)
	}
	return nil
}

// Stop waits until all queued writes are made or ctx ends.
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

// waiting closes done when no queued write is left.
type waiting struct {
	service *Service
	done    chan struct{}
}

func (w *waiting) run() {
	w.service.open.Wait()
	close(w.done)
}

// SettleLater queues a write that stores the answer with a claim of this host.
func (s *Service) SettleLater(h claim.Holding, a claim.Answer) { s.queue(settle{h, a}) }

// LoseLater queues a write that marks the outcome of a claim of this host as
// unknown.
func (s *Service) LoseLater(h claim.Holding) { s.queue(lose{h}) }

// ReleaseLater queues a write that marks a claim of this host as withdrawn, because
// its request was never sent.
func (s *Service) ReleaseLater(h claim.Holding) { s.queue(release{h}) }

// WithdrawLater queues a write that makes sure that a request which this host never
// sent cannot run: it leaves a withdrawn claim for the request's key.
func (s *Service) WithdrawLater(a claim.Application, retention time.Duration) {
	s.queue(withdraw{a, retention})
}

// queue adds a write. If the queue is full, the write is dropped and counted.
func (s *Service) queue(e errand) {
	s.open.Add(1)
	if !s.ring.Offer(e) {
		s.open.Done()
		s.common.Count("claims.errand.dropped")
	}
}

// run makes queued writes, and queues those that failed again.
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

// carryOut makes one write.
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

// retriable returns nil for errors that remain however often the write is tried,
// such as that of a key that is too old to be withdrawn. Such a key needs no
// withdrawal, as no host can send its request any more.
func retriable(err error) error {
	if errors.HasType(err, (*claim.ExpiredKeyError)(nil)) || errors.HasType(err, (*claim.MalformedKeyError)(nil)) {
		return nil
	}
	return err
}
