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
	// sessionUse is how long a session is used for new claims, sessionLife how
	// long the service keeps it. A claim is written only while its session is
	// there, so no write takes effect later than sessionLife after it was meant.
	sessionUse  = time.Hour
	sessionLife = 2 * time.Hour
	// claimSlack is how much longer than the retention a claim is kept: the
	// latest possible second write of a key (its age checked at the last moment
	// of the retention, written a sessionLife later) must still find the first
	// claim, whose lease was up to sessionUse+sessionLife old; the rest covers
	// clocks that disagree by hours.
	claimSlack = 12 * time.Hour

	sessionTimeout = 6 * time.Second

	firstPause = 20 * time.Millisecond
	longPause  = 500 * time.Millisecond
)

// Book claims request keys for one life of one host. Store and Host must be
// set; the rest of the zero value works. It is safe for concurrent use.
//
// Keys are forgotten one day, and a host may be paused for longer than that.
// Each write is therefore tied by the service itself to a session key of fixed
// life that the host took before it judged the key's age. A host that wakes
// after its session ended cannot write, and judges the age anew.
type Book struct {
	Store keyvalue.Store
	Host  host.Identity

	taking  singleflight.Group
	mu      sync.Mutex
	session session
	counter int
}

// session is what new claims are written with.
type session struct {
	key    string
	claims keyvalue.Lease
	taken  time.Time
	kept   time.Duration
}

// Look tells what the claim of a key says, without claiming it. An application
// finds its own earlier claim as Held.
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

// Claim takes the key for the application, or tells who has it. It repeats the
// same conditional write until the service replies or ctx ends; a write whose
// reply was lost finds itself there. With an error, the application must never
// be sent: hand it to Abandon.
func (b *Book) Claim(ctx context.Context, application Application, retention time.Duration) (Verdict, error) {
	return b.create(ctx, application, Sent, retention)
}

// Withdraw makes sure that the request of an application that was never sent
// will not run, by this host or another, and tells NotRun; or it tells what
// became of the request elsewhere.
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

// Release gives up a claim of ours of which no byte was sent.
func (b *Book) Release(ctx context.Context, holding Holding) (Verdict, error) {
	return b.move(ctx, holding, record{State: Withdrawn})
}

// Settle stores the whole answer of a claim of ours.
func (b *Book) Settle(ctx context.Context, holding Holding, answer Answer) error {
	_, err := b.move(ctx, holding, record{State: Done, Answer: &answer})
	return err
}

// Lose stores that a claim of ours was sent and its outcome is not known.
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
	// The session comes before the age: a pause after this line can end the
	// session, never lengthen the key's life.
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

// move takes a claim of ours from sent to another state. Nobody else moves it,
// so a swap that fails has met its own earlier, unanswered try.
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
		return Unknown{Reason: "the claim is gone"}, nil
	}
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Unknown{Reason: "the claim cannot be read"}, nil
	}
	return r.verdictFor(application, entry.Revision), nil
}

// currentSession gives the session in use, or takes a new one. A retention of
// zero keeps to that of the session before. One caller takes it for all who
// wait, and each waits no longer than its own ctx.
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

// sessionEndedError says that a write came too late for its session.
type sessionEndedError struct{ Session string }

func (e *sessionEndedError) Error() string {
	return fmt.Sprintf("session %s has ended; repeat with a new one", e.Session)
}

// insist repeats a call until it ends with anything but a missing reply.
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
