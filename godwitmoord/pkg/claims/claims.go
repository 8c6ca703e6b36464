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
	queueSize = 4096
	writers   = 8
	// taskTimeout bounds one try of a queued write. A write that fails is queued
	// again.
	taskTimeout = 10 * time.Second
)

// task is a write that no request waits for.
type task interface{ isTask() }

type (
	completeTask struct {
		holding claim.Holding
		answer  claim.Answer
	}
	markLostTask struct{ holding claim.Holding }
	releaseTask  struct{ holding claim.Holding }
	withdrawTask struct {
		request   claim.Request
		retention time.Duration
	}
)

func (completeTask) isTask() {}
func (markLostTask) isTask() {}
func (releaseTask) isTask()  {}
func (withdrawTask) isTask() {}

// Service reads and writes claims in the name of this host.
type Service struct {
	*claim.Store
	common *common.Common
	tasks  ring.Ring[task]
	// pending counts the queued writes that are not finished.
	pending sync.WaitGroup
}

// New returns the service, which writes nothing in the background before Start.
func New(c *common.Common, store keyvalue.Store) *Service {
	return &Service{
		Store:  &claim.Store{KeyValue: store, Host: c.Self},
		common: c,
		tasks:  ring.New[task](queueSize),
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
	done := make(chan struct{})
	w := &pendingWaiter{service: s, done: done}
	go w.run()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pendingWaiter closes done when no queued write is left.
type pendingWaiter struct {
	service *Service
	done    chan struct{}
}

func (w *pendingWaiter) run() {
	w.service.pending.Wait()
	close(w.done)
}

// CompleteLater queues a write that stores the answer with a claim of this host.
func (s *Service) CompleteLater(h claim.Holding, a claim.Answer) { s.enqueue(completeTask{h, a}) }

// MarkLostLater queues a write that marks the outcome of a claim of this host as
// unknown.
func (s *Service) MarkLostLater(h claim.Holding) { s.enqueue(markLostTask{h}) }

// ReleaseLater queues a write that marks a claim of this host as withdrawn, because
// its request was never sent.
func (s *Service) ReleaseLater(h claim.Holding) { s.enqueue(releaseTask{h}) }

// WithdrawLater is ReleaseLater for a request for which this host has no Holding. It
// creates a withdrawn claim, kept for at least retention, so that the request cannot
// run. If the attempt's own claim is stored after all, it withdraws that one; a claim
// of another attempt stays as it is.
func (s *Service) WithdrawLater(request claim.Request, retention time.Duration) {
	s.enqueue(withdrawTask{request, retention})
}

// enqueue adds a write. If the queue is full, the write is dropped and counted, also
// if it was queued again after a failure.
func (s *Service) enqueue(t task) {
	s.pending.Add(1)
	if !s.tasks.Offer(t) {
		s.pending.Done()
		s.common.Count("claims.errand.dropped")
	}
}

// run makes queued writes. It queues a failed one again.
func (s *Service) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-s.tasks.Values():
			if err := s.execute(ctx, t); err != nil {
				s.common.Log.Warn("claim not written yet", zap.Error(err))
				s.enqueue(t)
			}
			s.pending.Done()
		}
	}
}

// execute makes one write.
func (s *Service) execute(ctx context.Context, t task) error {
	ctx, cancel := context.WithTimeout(ctx, taskTimeout)
	defer cancel()
	switch t := t.(type) {
	case completeTask:
		return ignorePermanent(s.Complete(ctx, t.holding, t.answer))
	case markLostTask:
		return ignorePermanent(s.MarkLost(ctx, t.holding))
	case releaseTask:
		_, err := s.Release(ctx, t.holding)
		return ignorePermanent(err)
	case withdrawTask:
		_, err := s.Withdraw(ctx, t.request, t.retention)
		return ignorePermanent(err)
	}
	return nil
}

// ignorePermanent returns nil for errors after which a write is not tried again: the
// key is too old, malformed, or created too far in the future. A key that is too old
// needs no withdrawal, as no host can send its request any more.
func ignorePermanent(err error) error {
	if errors.HasType(err, (*claim.ExpiredKeyError)(nil)) || errors.HasType(err, (*claim.MalformedKeyError)(nil)) {
		return nil
	}
	return err
}
