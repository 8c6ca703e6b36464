package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"golang.org/x/sync/singleflight"
)

const (
	// sessionMaxAge is how long a host writes new claims under the same session.
	// sessionTTL is how long the key-value service keeps the session's key. The
	// service creates a claim only while that key exists, so a delayed write takes
	// effect at most sessionTTL after the host created the session.
	sessionMaxAge = time.Hour
	sessionTTL    = 2 * time.Hour
	// claimTTLMargin is how much longer than the retention a claim is stored. The
	// latest possible second write of a key, whose age was checked at the end of
	// the retention and which takes effect a sessionTTL later, must still find
	// the first claim. The lease of the first claim may have been up to
	// sessionMaxAge+sessionTTL old when the claim was written. The rest covers
	// clocks that differ by hours.
	claimTTLMargin = 12 * time.Hour

	sessionTimeout = 6 * time.Second

	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Store reads and writes claims for one incarnation of one host. KeyValue and Host
// must be set; the rest of the zero value works. It is safe for concurrent use.
//
// The key-value service deletes claims some time after the retention, and a host
// may be paused for longer than that. The host therefore creates a session, a key
// on a lease of fixed length, before it checks the age of a request key, and the
// service creates a claim only while the session's key exists. A host that
// resumes after its session has expired cannot create the claim; it creates a new
// session and checks the age again.
type Store struct {
	KeyValue keyvalue.Store
	Host     host.Identity

	sessionCreation singleflight.Group
	mu              sync.Mutex
	session         session
	sessionCount    int
}

// session holds the lease-guarded key that must exist when a claim is created,
// and the lease that the claims are written with. retention is the longest
// retention that the claims' lease covers.
type session struct {
	key        string
	claimLease keyvalue.Lease
	createdAt  time.Time
	retention  time.Duration
}

// Read reads the claim of a key without creating one. An attempt whose own earlier
// claim is stored gets Held.
func (s *Store) Read(ctx context.Context, request Request, retention time.Duration) (Result, error) {
	if err := request.Key.checkAge(time.Now(), retention); err != nil {
		return nil, err
	}
	entry, err := s.KeyValue.Read(ctx, request.Key.path())
	if err != nil {
		return nil, err
	}
	if !entry.Found() {
		return Vacant{}, nil
	}
	return resultFromEntry(entry, request)
}

// Claim creates a claim in state sent, or returns the result of the existing claim.
// It repeats the same conditional write until the service replies or ctx ends; if
// the reply to a successful write was lost, the next try finds that claim and
// returns Held. After an error the request must not be sent unless a later call
// returns Held; Withdraw makes sure that it never runs.
func (s *Store) Claim(ctx context.Context, request Request, retention time.Duration) (Result, error) {
	return s.create(ctx, request, Sent, retention)
}

// Withdraw makes sure that a request which this attempt has not sent will not run
// on any host, and returns NotRun. If another attempt holds the claim, Withdraw
// returns the result of that claim instead.
func (s *Store) Withdraw(ctx context.Context, request Request, retention time.Duration) (Result, error) {
	result, err := s.create(ctx, request, Withdrawn, retention)
	if err != nil {
		return nil, err
	}
	held, isHeld := result.(Held)
	if !isHeld {
		return result, nil
	}
	return s.Release(ctx, held.Holding)
}

// Release withdraws a held claim of which the host has sent no byte.
func (s *Store) Release(ctx context.Context, holding Holding) (Result, error) {
	return s.transition(ctx, holding, record{State: Withdrawn})
}

// Complete stores the complete answer of a held claim.
func (s *Store) Complete(ctx context.Context, holding Holding, answer Answer) error {
	_, err := s.transition(ctx, holding, record{State: Done, Answer: &answer})
	return err
}

// MarkLost records that the request of a held claim was sent and that its outcome
// is unknown.
func (s *Store) MarkLost(ctx context.Context, holding Holding) error {
	_, err := s.transition(ctx, holding, record{State: Lost})
	return err
}

func (s *Store) create(ctx context.Context, request Request, state State, retention time.Duration) (Result, error) {
	value, err := s.encode(request, record{State: state})
	if err != nil {
		return nil, err
	}
	var result Result
	err = retryUntilReply(ctx, func() error {
		result, err = s.tryCreate(ctx, request, value, state, retention)
		return err
	})
	return result, err
}

func (s *Store) tryCreate(ctx context.Context, request Request, value []byte, state State, retention time.Duration) (Result, error) {
	// The session must be created before the age is checked. If the host pauses
	// after this line, the session expires and the write fails; in the other order
	// a paused host could claim a key that has expired meanwhile.
	current, err := s.currentSession(ctx, retention)
	if err != nil {
		return nil, err
	}
	if err := request.Key.checkAge(time.Now(), retention); err != nil {
		return nil, err
	}
	outcome, err := s.KeyValue.Create(ctx, keyvalue.Creation{
		Key:   request.Key.path(),
		Value: value,
		Lease: current.claimLease,
		Guard: current.key,
	})
	if errors.HasType(err, (*keyvalue.LeaseExpiredError)(nil)) || outcome.GuardLost {
		s.discardSession(current)
		return nil, &sessionExpiredError{Session: current.key}
	}
	if err != nil {
		return nil, err
	}
	if !outcome.Applied {
		return resultFromEntry(outcome.Current, request)
	}
	if state == Withdrawn {
		return NotRun{}, nil
	}
	return Held{Holding: Holding{request: request, revision: outcome.Revision}}, nil
}

// transition changes a held claim from sent to another state. Only the holder
// changes it, so a swap that is not applied has found the effect of an earlier
// change by the same holder, for instance of a try whose reply was lost.
func (s *Store) transition(ctx context.Context, holding Holding, next record) (Result, error) {
	value, err := s.encode(holding.request, next)
	if err != nil {
		return nil, err
	}
	var result Result
	err = retryUntilReply(ctx, func() error {
		current, err := s.currentSession(ctx, 0)
		if err != nil {
			return err
		}
		outcome, err := s.KeyValue.Swap(ctx, holding.request.Key.path(), value, holding.revision, current.claimLease)
		if errors.HasType(err, (*keyvalue.LeaseExpiredError)(nil)) {
			s.discardSession(current)
			return &sessionExpiredError{Session: current.key}
		}
		if err != nil {
			return err
		}
		if outcome.Applied {
			result = next.resultFor(Request{}, 0)
			return nil
		}
		result, err = resultFromEntry(outcome.Current, holding.request)
		return err
	})
	return result, err
}

func (s *Store) encode(request Request, r record) ([]byte, error) {
	r.Holder = s.Host
	r.Attempt = request.Attempt
	r.Fingerprint = request.Fingerprint
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode claim")
}

func resultFromEntry(entry keyvalue.Entry, request Request) (Result, error) {
	if !entry.Found() {
		return Unknown{Reason: "the claim no longer exists"}, nil
	}
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Unknown{Reason: "the stored claim cannot be decoded"}, nil
	}
	return r.resultFor(request, entry.Revision), nil
}

// currentSession returns the current session, or creates a new one if the current
// one is too old or its claims' lease is too short for the retention. A retention
// of zero accepts any length. Concurrent callers share one new session, and each
// waits no longer than its own ctx.
func (s *Store) currentSession(ctx context.Context, retention time.Duration) (session, error) {
	if current, usable := s.usableSession(retention); usable {
		return current, nil
	}
	created := s.sessionCreation.DoChan("session", func() (any, error) { return s.createSession(retention) })
	select {
	case <-ctx.Done():
		return session{}, &keyvalue.UnreachableError{Operation: "the creation of a session", Cause: ctx.Err()}
	case creation := <-created:
		current, _ := creation.Val.(session)
		return current, creation.Err
	}
}

func (s *Store) usableSession(retention time.Duration) (session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.session.key != "" && time.Since(s.session.createdAt) < sessionMaxAge
	return s.session, recent && retention <= s.session.retention
}

func (s *Store) createSession(retention time.Duration) (session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout)
	defer cancel()
	s.mu.Lock()
	s.sessionCount++
	next := session{
		key:       fmt.Sprintf("godwitmoor/sessions/%s/%d/%d", s.Host.Name, s.Host.Incarnation, s.sessionCount),
		createdAt: time.Now(),
		retention: max(retention, s.session.retention),
	}
	s.mu.Unlock()
	sessionLease, err := s.KeyValue.Grant(ctx, sessionTTL)
	if err != nil {
		return session{}, err
	}
	next.claimLease, err = s.KeyValue.Grant(ctx, next.retention+claimTTLMargin)
	if err != nil {
		return session{}, err
	}
	_, err = s.KeyValue.Create(ctx, keyvalue.Creation{Key: next.key, Value: []byte(s.Host.Name), Lease: sessionLease})
	if err != nil {
		return session{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.session = next
	return next, nil
}

func (s *Store) discardSession(ended session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session.key == ended.key {
		s.session.key = ""
	}
}

// sessionExpiredError reports a write that the service rejected because its
// session or its lease had expired.
type sessionExpiredError struct{ Session string }

func (e *sessionExpiredError) Error() string {
	return fmt.Sprintf("session %s has expired; repeat the write with a new session", e.Session)
}

// retryUntilReply repeats a call, with increasing pauses, while the service does
// not reply or the session has expired, until ctx ends.
func retryUntilReply(ctx context.Context, call func() error) error {
	for pause := initialBackoff; ; pause = min(2*pause, maxBackoff) {
		err := call()
		retryable := errors.HasType(err, (*keyvalue.UnreachableError)(nil)) || errors.HasType(err, (*sessionExpiredError)(nil))
		if !retryable {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}
