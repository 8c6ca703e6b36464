// Package keyvaluetest provides an in-memory key-value store for tests. Hooks can
// simulate the failures of the platform's service: calls that fail, slow calls,
// and replies that are lost after a write has taken effect.
//
// # Usage
//
//	store := &keyvaluetest.Store{}
//	claims := &claim.Store{KeyValue: store.Link(func(call keyvaluetest.Call) error { … })}
package keyvaluetest

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

// ErrInjected is the error that hooks return to make a call fail.
var ErrInjected = errors.New("call failed by the test's hook")

// Stage is the point of a call at which a link's hook runs.
type Stage int

// The stages of a call.
const (
	// Before runs the hook before the call takes effect; an error prevents it.
	Before Stage = iota
	// After runs the hook after the call took effect; an error loses the reply.
	After
)

// Call describes a call to a hook.
type Call struct {
	Stage     Stage
	Operation string
	Key       string
}

// Store holds entries and leases. Leases expire by the runtime's clock, which is
// the fake clock inside a synctest bubble. The zero value works.
type Store struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]storedEntry
	leases   map[keyvalue.Lease]time.Time
}

type storedEntry struct {
	entry keyvalue.Entry
	lease keyvalue.Lease
}

// Link is one host's connection to the store.
type Link struct {
	store *Store
	hook  func(Call) error
}

// Link returns a new connection to the store. hook runs at each stage of each
// call; it may be nil, may sleep, and may make the call fail.
func (s *Store) Link(hook func(Call) error) *Link { return &Link{store: s, hook: hook} }

func (l *Link) call(operation, key string, effect func()) error {
	for _, stage := range []Stage{Before, After} {
		if l.hook != nil {
			if err := l.hook(Call{Stage: stage, Operation: operation, Key: key}); err != nil {
				return &keyvalue.UnreachableError{Operation: operation, Cause: err}
			}
		}
		if stage == Before {
			l.store.mu.Lock()
			l.store.expire()
			effect()
			l.store.mu.Unlock()
		}
	}
	return nil
}

func (s *Store) expire() {
	for lease, end := range s.leases {
		if time.Now().Before(end) {
			continue
		}
		delete(s.leases, lease)
		for key, e := range s.entries {
			if e.lease == lease {
				delete(s.entries, key)
			}
		}
	}
}

// Read implements keyvalue.Store.
func (l *Link) Read(_ context.Context, key string) (keyvalue.Entry, error) {
	var entry keyvalue.Entry
	err := l.call("read", key, func() { entry = l.store.entries[key].entry })
	return entry, err
}

// Create implements keyvalue.Store.
func (l *Link) Create(_ context.Context, c keyvalue.Creation) (keyvalue.Outcome, error) {
	var outcome keyvalue.Outcome
	var putErr error
	err := l.call("create", c.Key, func() {
		s := l.store
		if found, exists := s.entries[c.Key]; exists {
			outcome.Current = found.entry
			return
		}
		if _, guardExists := s.entries[c.Guard]; c.Guard != "" && !guardExists {
			outcome.GuardLost = true
			return
		}
		outcome.Revision, putErr = s.put(c.Key, c.Value, c.Lease)
		outcome.Applied = putErr == nil
	})
	return outcome, errors.CombineErrors(err, putErr)
}

// Swap implements keyvalue.Store.
func (l *Link) Swap(_ context.Context, key string, value []byte, revision int64, lease keyvalue.Lease) (keyvalue.Outcome, error) {
	var outcome keyvalue.Outcome
	var putErr error
	err := l.call("swap", key, func() {
		s := l.store
		if found := s.entries[key]; found.entry.Revision != revision {
			outcome.Current = found.entry
			return
		}
		outcome.Revision, putErr = s.put(key, value, lease)
		outcome.Applied = putErr == nil
	})
	return outcome, errors.CombineErrors(err, putErr)
}

func (s *Store) put(key string, value []byte, lease keyvalue.Lease) (int64, error) {
	if _, exists := s.leases[lease]; lease != 0 && !exists {
		return 0, &keyvalue.LeaseExpiredError{Lease: lease}
	}
	if s.entries == nil {
		s.entries = map[string]storedEntry{}
	}
	s.revision++
	s.entries[key] = storedEntry{entry: keyvalue.Entry{Key: key, Value: value, Revision: s.revision}, lease: lease}
	return s.revision, nil
}

// Grant implements keyvalue.Store.
func (l *Link) Grant(_ context.Context, life time.Duration) (keyvalue.Lease, error) {
	var lease keyvalue.Lease
	err := l.call("grant", "", func() {
		s := l.store
		if s.leases == nil {
			s.leases = map[keyvalue.Lease]time.Time{}
		}
		s.revision++
		lease = keyvalue.Lease(s.revision)
		s.leases[lease] = time.Now().Add(life)
	})
	return lease, err
}
