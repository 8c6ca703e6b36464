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
	// sessionUse is how long a host writes new claims under the same session.
	// sessionLife is how long the key-value service keeps the session's key. The
	// service writes a claim only while that key exists, so a delayed write takes
	// effect at most sessionLife after the host took the session.
	sessionUse  = time.Hour
	sessionLife = 2 * time.Hour
	// claimSlack is how much longer than the retention a claim is stored. The
	// latest possible second write of a key, whose age was checked at the end of
	// the retention and which takes effect a sessionLife later, must still find
	// the first claim. The lease of the first claim may have been up to
	// sessionUse+sessionLife old when the claim was written. The rest covers
	// clocks that differ by hours.
	claimSlack = 12 * time.Hour

	sessionTimeout = 6 * time.Second

	firstPause = 20 * time.Millisecond
	longPause  = 500 * time.Millisecond
)

// Book reads and writes claims for one incarnation of one host. Store and Host
// must be set; the rest of the zero value works. It is safe for concurrent use.
//
// The key-value service deletes claims some time after the retention, and a host
// may be paused for longer than that. The host therefore creates a session, a key
// on a lease of fixed length, before it checks the age of a request key, and the
// service creates a claim only while the session's key exists. A host that
// resumes after its session has expired cannot create the claim; it takes a new
// session and checks the age again.
type Book struct {
	Store keyvalue.Store
	Host  host.Identity

	taking  singleflight.Group
	mu      sync.Mutex
	session session
	counter int
}

// session holds the lease-guarded key that must exist when a claim is created,
// and the lease that the claims are written with. retention is the longest
// retention that the claims' lease covers.
type session struct {
	key    string
	claims keyvalue.Lease
	taken  time.Time
	kept   time.Duration
}

// Look reads the claim of a key without creating one. An application whose own
// earlier claim is stored gets Held.
func (b *Book) Look(ctx context.Context, application Application, retention time.Duration) (Verdict, error) {
	if err := application.Key.checkAge(time.Now(), retention); err != nil {
		return nil, err
	}
	entry, err := b.Store.Read(ctx, application.Key.path())
	if err != nil {
		return nil, err
	}
	if !entry.Found() {
		return Vacant{}, nil
	}
	return judge(entry, application)
}

// Claim creates a claim in state sent for the application, or returns what the
// existing claim means for it. It repeats the same conditional write until the
// service replies or ctx ends; if the reply to a successful write was lost, the
// next try finds that claim and returns Held. After an error the request must not
// be sent unless a later call returns Held; Withdraw makes sure that it never runs.
func (b *Book) Claim(ctx context.Context, application Application, retention time.Duration) (Verdict, error) {
	return b.create(ctx, application, Sent, retention)
}

// Withdraw makes sure that a request which this application has not sent will
// not run on any host, and returns NotRun. If another attempt holds the claim,
// Withdraw returns the result of that claim instead.
func (b *Book) Withdraw(ctx context.Context, application Application, retention time.Duration) (Verdict, error) {
	verdict, err := b.create(ctx, application, Withdrawn, retention)
	if err != nil {
		return nil, err
	}
	held, ours := verdict.(Held)
	if !ours {
		return verdict, nil
	}
	return b.Release(ctx, held.Holding)
}

// Release withdraws a held claim of which the host has sent no byte.
func (b *Book) Release(ctx context.Context, holding Holding) (Verdict, error) {
	return b.move(ctx, holding, record{State: Withdrawn})
}

// Settle stores the complete answer of a held claim.
func (b *Book) Settle(ctx context.Context, holding Holding, answer Answer) error {
	_, err := b.move(ctx, holding, record{State: Done, Answer: &answer})
	return err
}

// Lose records that the request of a held claim was sent and that its outcome is
// unknown.
func (b *Book) Lose(ctx context.Context, holding Holding) error {
	_, err := b.move(ctx, holding, record{State: Lost})
	return err
}

func (b *Book) create(ctx context.Context, application Application, state State, retention time.Duration) (Verdict, error) {
	value, err := b.encode(application, record{State: state})
	if err != nil {
		return nil, err
	}
	var verdict Verdict
	err = insist(ctx, func() error {
		verdict, err = b.tryCreate(ctx, application, value, state, retention)
		return err
	})
	return verdict, err
}

func (b *Book) tryCreate(ctx context.Context, application Application, value []byte, state State, retention time.Duration) (Verdict, error) {
	// The session must be taken before the age is checked. If the host pauses
	// after this line, the session expires and the write fails; in the other order
	// a paused host could claim a key that has expired meanwhile.
	current, err := b.currentSession(ctx, retention)
	if err != nil {
		return nil, err
	}
	if err := application.Key.checkAge(time.Now(), retention); err != nil {
		return nil, err
	}
	outcome, err := b.Store.Create(ctx, keyvalue.Creation{
		Key:   application.Key.path(),
		Value: value,
		Lease: current.claims,
		Guard: current.key,
	})
	if errors.HasType(err, (*keyvalue.LeaseExpiredError)(nil)) || outcome.GuardLost {
		b.endSession(current)
		return nil, &sessionEndedError{Session: current.key}
	}
	if err != nil {
		return nil, err
	}
	if !outcome.Applied {
		return judge(outcome.Current, application)
	}
	if state == Withdrawn {
		return NotRun{}, nil
	}
	return Held{Holding: Holding{application: application, revision: outcome.Revision}}, nil
}

// move changes a held claim from sent to another state. Only the holder changes
// it, so a swap that is not applied has found the effect of an earlier change by
// the same holder, for instance of a try whose reply was lost.
func (b *Book) move(ctx context.Context, holding Holding, next record) (Verdict, error) {
	value, err := b.encode(holding.application, next)
	if err != nil {
		return nil, err
	}
	var verdict Verdict
	err = insist(ctx, func() error {
		current, err := b.currentSession(ctx, 0)
		if err != nil {
			return err
		}
		outcome, err := b.Store.Swap(ctx, holding.application.Key.path(), value, holding.revision, current.claims)
		if errors.HasType(err, (*keyvalue.LeaseExpiredError)(nil)) {
			b.endSession(current)
			return &sessionEndedError{Session: current.key}
		}
		if err != nil {
			return err
		}
		if outcome.Applied {
			verdict = next.verdictFor(Application{}, 0)
			return nil
		}
		verdict, err = judge(outcome.Current, holding.application)
		return err
	})
	return verdict, err
}

func (b *Book) encode(application Application, r record) ([]byte, error) {
	r.Holder = b.Host
	r.Attempt = application.Attempt
	r.Fingerprint = application.Fingerprint
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode claim")
}

func judge(entry keyvalue.Entry, application Application) (Verdict, error) {
	if !entry.Found() {
		return Unknown{Reason: "the claim no longer exists"}, nil
	}
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Unknown{Reason: "the stored claim cannot be decoded"}, nil
	}
	return r.verdictFor(application, entry.Revision), nil
}

// currentSession returns the current session, or takes a new one if that is too
// old or its claims' lease is too short for the retention. A retention of zero
// accepts any length. Concurrent callers share one new session, and each waits no
// longer than its own ctx.
func (b *Book) currentSession(ctx context.Context, retention time.Duration) (session, error) {
	if current, fresh := b.freshSession(retention); fresh {
		return current, nil
	}
	taken := b.taking.DoChan("session", func() (any, error) { return b.takeSession(retention) })
	select {
	case <-ctx.Done():
		return session{}, &keyvalue.UnreachableError{Operation: "taking a session", Cause: ctx.Err()}
	case result := <-taken:
		current, _ := result.Val.(session)
		return current, result.Err
	}
}

func (b *Book) freshSession(retention time.Duration) (session, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.session.key != "" && time.Since(b.session.taken) < sessionUse
	return b.session, used && retention <= b.session.kept
}

func (b *Book) takeSession(retention time.Duration) (session, error) {
	ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout)
	defer cancel()
	b.mu.Lock()
	b.counter++
	next := session{
		key:   fmt.Sprintf("godwitmoor/sessions/%s/%d/%d", b.Host.Name, b.Host.Incarnation, b.counter),
		taken: time.Now(),
		kept:  max(retention, b.session.kept),
	}
	b.mu.Unlock()
	own, err := b.Store.Grant(ctx, sessionLife)
	if err != nil {
		return session{}, err
	}
	next.claims, err = b.Store.Grant(ctx, next.kept+claimSlack)
	if err != nil {
		return session{}, err
	}
	_, err = b.Store.Create(ctx, keyvalue.Creation{Key: next.key, Value: []byte(b.Host.Name), Lease: own})
	if err != nil {
		return session{}, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.session = next
	return next, nil
}

func (b *Book) endSession(ended session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.session.key == ended.key {
		b.session.key = ""
	}
}

// sessionEndedError reports a write that the service rejected because its session
// or its lease had expired.
type sessionEndedError struct{ Session string }

func (e *sessionEndedError) Error() string {
	return fmt.Sprintf("session %s has expired; repeat the write with a new session", e.Session)
}

// insist repeats a call, with growing pauses, while the service does not reply or
// the session has expired, and until ctx ends.
func insist(ctx context.Context, call func() error) error {
	for pause := firstPause; ; pause = min(2*pause, longPause) {
		err := call()
		again := errors.HasType(err, (*keyvalue.UnreachableError)(nil)) || errors.HasType(err, (*sessionEndedError)(nil))
		if !again {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}
