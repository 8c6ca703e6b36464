package serving

import (
	"context"
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
	// maxAttempts bounds the endpoints that one request is sent to.
	maxAttempts = 4
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = 2 * time.Second
	// leastSilence is how long every endpoint may be silent.
	leastSilence = 500 * time.Millisecond
)

// Service serves requests.
type Service struct {
	common  *common.Common
	sender  attempt.Sender
	release *release.Service
	entry   *dispatch.Entry
	claims  *claims.Service
	members *membership.Service
	record  *record.Service
}

// New makes the service.
func New(c *common.Common) *Service {
	s := &Service{common: c}
	s.sender.Dialect = c.Dialect
	return s
}

// Start finds the services that a request needs.
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
		// The platform's callers bring no keys to claim.
		s.claims, err = kernel.Lookup[*claims.Service](s.common.Kernel, kernel.Claims)
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

// run closes connections to endpoints that were idle for too long.
func (s *Service) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval):
			s.sender.Sweep()
		}
	}
}

// Stop has nothing to end: requests end with the front.
func (s *Service) Stop(context.Context) error { return nil }

// Serve takes a request to its outcome. The caller has got the answer, or the
// beginning of it, when Serve returns; a Refused ending is still to be told.
func (s *Service) Serve(ctx context.Context, r Request, c Caller) Ending {
	j := &journey{service: s, request: r}
	j.relay = relay{caller: c, streams: r.Streams, marked: !r.Keyless, lastEvent: r.LastEvent}
	var ending Ending
	switch {
	case r.Keyless:
		bounded, cancel := context.WithDeadlineCause(ctx, r.Deadline, errDeadline)
		defer cancel()
		ending = j.direct(bounded)
	case r.Idempotent:
		ending = j.direct(ctx)
	default:
		j.relay.keepLimit = r.Claims.StoredAnswerLimit
		j.relay.detached = true
		ending = j.once(ctx)
	}
	s.finish(j, ending)
	return ending
}

// errDeadline ends a request whose time is over.
var errDeadline = errors.New("the deadline has passed")
