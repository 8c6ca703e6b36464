package serving

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	// stopAnswerReserve is how long before the end of a stop the requests in progress
	// have their answers.
	stopAnswerReserve = 300 * time.Millisecond
	// stoppedRetryAfter is the wait advised to a caller that this host turned away
	// because it stops: another host can take the request at once.
	stoppedRetryAfter = 100 * time.Millisecond
)

// errStopEnds is the cause with which a request's context ends when its answer is due
// because this host stops.
var errStopEnds = errors.New("the host stops before the request is done")

// stop bounds the time of the requests in progress once this host stops: each of them is
// answered before the end of the stop, when all connections are closed.
type stop struct {
	// begun ends when the stop begins, due when the answers are due.
	begun, due context.Context
	begin, end context.CancelFunc
	// answersDue is nil until a stop has begun.
	answersDue atomic.Pointer[time.Time]
}

func newStop() *stop {
	s := &stop{}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.due, s.end = context.WithCancel(context.Background())
	return s
}

// start begins a stop that cuts off the requests still in progress at end.
func (s *stop) start(end time.Time) {
	due := end.Add(-stopAnswerReserve)
	s.answersDue.Store(&due)
	time.AfterFunc(time.Until(due), s.end)
	s.begin()
}

// limit returns the earlier one of a deadline and the time at which answers are due
// because this host stops.
func (s *stop) limit(deadline time.Time) time.Time {
	if due := s.answersDue.Load(); due != nil && due.Before(deadline) {
		return *due
	}
	return deadline
}

// shortens reports whether a stop has begun that leaves less time than a deadline.
func (s *stop) shortens(deadline time.Time) bool { return s.limit(deadline).Before(deadline) }

// withDue returns a context that ends with the cause errStopEnds when answers are due
// because this host stops. After detach it goes on without that bound; cancel frees it.
func (s *stop) withDue(ctx context.Context) (bounded context.Context, detach, cancel func()) {
	bounded, cancelCause := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(s.due, func() { cancelCause(errStopEnds) })
	detach = func() { unregister() }
	return bounded, detach, func() {
		unregister()
		cancelCause(nil)
	}
}

// BeginStop bounds the requests in progress, and those that arrive from now on, by the
// end of the stop, when the connections of callers are closed. A request that waits for
// an endpoint is asked for again with the time that is left, so that its owner refuses it
// as soon as it can't be done here any more. What isn't answered shortly before the end is
// refused, or, if it may have run, reported as unknown; an answer that has begun goes on
// until the end.
func (s *Service) BeginStop(end time.Time) { s.stop.start(end) }

// deadline returns the request's deadline, or an earlier time at which its answer is due
// because this host stops.
func (r *requestRun) deadline() time.Time { return r.service.stop.limit(r.request.Deadline) }

// stopResult returns the result of a request without an answer when answers are due
// because this host stops.
func (r *requestRun) stopResult() Result {
	switch {
	case r.relay.headSent:
		return Broken{Reason: text.Stopped}
	case r.mayHaveRun:
		return r.preferErrorAnswer(Refused{Outcome: text.Unknown, Reason: text.AnswerLost})
	default:
		return Refused{Outcome: text.NotRun, Reason: text.Stopped, RetryAfter: stoppedRetryAfter}
	}
}

// lacksTime reports whether a refusal means that the request can't be done in its time.
func lacksTime(reason permit.Reason) bool {
	switch reason {
	case permit.TooLate, permit.QueueFull, permit.Crowded:
		return true
	default:
		return false
	}
}
