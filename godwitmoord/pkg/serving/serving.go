package serving

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/godwitmoord/pkg/claims"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/release"
)

const (
	// maxAttempts bounds the endpoints that one request is sent to, unless the
	// request sets a limit of its own.
	maxAttempts = 4
	// sweepInterval is how often idle connections are checked for expiry.
	sweepInterval = 2 * time.Second
	// minDataTimeout is how long an attempt waits for data at least, however little
	// time the request has left, unless the service's timeout is shorter.
	minDataTimeout = 500 * time.Millisecond
)

// Service processes the requests that arrive at this host.
type Service struct {
	common  *common.Common
	sender  attempt.Sender
	release *release.Service
	entry   *dispatch.Entry
	claims  *claims.Service
	members *membership.Service
	record  *record.Service
	// endpoints is nil where endpoints report that they are leaving in other ways.
	endpoints endpointStates
	stop      *stop
}

// New returns the service, which must be started before it serves requests.
func New(c *common.Common) *Service {
	s := &Service{common: c, stop: newStop()}
	s.sender.Dialect = c.Dialect
	return s
}

// Start looks up the services that requests need and begins to close idle
// connections.
func (s *Service) Start(ctx context.Context) error {
	go s.run(ctx)
	var err error
	if s.release, err = kernel.Lookup[*release.Service](s.common.Kernel, kernel.Release); err != nil {
		return err
	}
	if s.entry, err = kernel.Lookup[*dispatch.Entry](s.common.Kernel, kernel.Dispatch); err != nil {
		return err
	}
	if s.common.Settings.Platform == nil {
		// Callers of the platform send no idempotency keys, so no claims are made.
		s.claims, err = kernel.Lookup[*claims.Service](s.common.Kernel, kernel.Claims)
	}
	if s.common.Settings.Platform != nil {
		s.endpoints, err = kernel.Lookup[endpointStates](s.common.Kernel, kernel.Discovery)
	}
	if err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[*membership.Service](s.common.Kernel, kernel.Membership); err != nil {
		return err
	}
	s.record, err = kernel.Lookup[*record.Service](s.common.Kernel, kernel.Record)
	return err
}

// run periodically closes the connections that were idle for too
// long.
func (s *Service) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval):
			s.sender.CloseExpired()
		}
	}
}

// Stop does nothing: the front, which accepts requests, waits for their end.
func (s *Service) Stop(context.Context) error { return nil }

// Serve processes a request and returns its result. When Serve returns, the whole
// answer, or the beginning of a broken one, has been sent to the caller. A Refused
// result still has to be sent by the function that called Serve.
func (s *Service) Serve(ctx context.Context, r Request, c Caller) Result {
	run := &requestRun{service: s, request: r}
	run.relay = relay{caller: c, streams: r.Streams && r.Method != http.MethodHead, resumesByID: r.Resumable, hasFinalEvent: !r.Keyless, account: s.common.Budget}
	defer run.relay.release()
	run.relay.position.lastEvent = r.LastEvent
	var result Result
	switch {
	case r.Keyless:
		deadlineCtx, cancel := context.WithDeadlineCause(ctx, r.Deadline, errDeadlinePassed)
		defer cancel()
		result = run.serveBeforeStopEnds(deadlineCtx)
	case r.Idempotent:
		result = run.serveBeforeStopEnds(ctx)
	default:
		run.relay.storeLimit = r.Claims.StoredAnswerLimit
		run.relay.readsToEnd = true
		result = run.serveWithClaim(ctx)
	}
	s.recordResult(run, result)
	return result
}

// errDeadlinePassed is the cause with which a request's context ends at its
// deadline.
var errDeadlinePassed = errors.New("the deadline has passed")
