// Package keyvalue is a client for the platform's key-value service.
//
// The client uses a published protocol: the JSON form of the etcd version 3 API
// (range, txn, lease/grant) over HTTP. It implements only the operations that the
// coordination packages need: a read, a write that applies only if the key is
// absent, a write that applies only if the key is unchanged, and leases of fixed
// length.
//
// # Usage
//
//	store := &keyvalue.Client{URL: "http://127.0.0.1:2379"}
//	outcome, err := store.Create(ctx, keyvalue.Creation{Key: "claims/a", Value: value})
//	switch {
//	case err != nil:      // the write may or may not have taken effect
//	case outcome.Applied: // the key now holds value
//	default:              // outcome.Current is the entry that prevented the write
//	}
//
// If the service does not reply, a write returns an *UnreachableError, and the
// write may or may not have taken effect. Callers find out by reading the key or
// by repeating the same conditional write.
package keyvalue

import (
	"context"
	"fmt"
	"time"
)

// Entry is a key and its value, as last written at Revision. The zero Entry means
// that the key is absent.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Found reports whether the key existed.
func (e Entry) Found() bool { return e.Revision != 0 }

// Lease is the service's id of a lease; zero means no lease.
type Lease int64

// Creation describes a write that applies only if the key does not exist.
type Creation struct {
	Key   string
	Value []byte
	// Lease is the lease whose expiry removes the key; with zero the key does not
	// expire.
	Lease Lease
	// Guard is another key that must exist for the write to apply; empty means
	// none. The service checks it in the same transaction as the write, so a
	// writer that was paused until its guard expired writes nothing when it
	// resumes.
	Guard string
}

// Outcome is the result of a conditional write.
type Outcome struct {
	Applied bool
	// GuardLost is set if the write was not applied because its guard key no
	// longer exists.
	GuardLost bool
	// Current is the existing entry, if the write was not applied.
	Current Entry
	// Revision is the revision of the new entry, if the write was applied.
	Revision int64
}

// Store is the set of operations that the coordination packages need from the
// platform's key-value service.
type Store interface {
	// Read returns the entry of key, or the zero Entry if there is none.
	Read(ctx context.Context, key string) (Entry, error)
	// Create writes a key only if it does not exist.
	Create(ctx context.Context, creation Creation) (Outcome, error)
	// Swap writes value only if the key still has the given revision.
	Swap(ctx context.Context, key string, value []byte, revision int64, lease Lease) (Outcome, error)
	// Grant creates a lease that expires after the given time.
	Grant(ctx context.Context, life time.Duration) (Lease, error)
}

// UnreachableError reports that the service sent no usable reply. A write that
// returns it may have taken effect.
type UnreachableError struct {
	Operation string
	Cause     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("key-value service: no usable reply to %s: %v; check that the service is running, then repeat the same call", e.Operation, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// IncompleteReplyError reports a reply that can be decoded but is not the whole
// reply to the call. It is the cause of an *UnreachableError.
type IncompleteReplyError struct{ Problem string }

func (e *IncompleteReplyError) Error() string {
	return fmt.Sprintf("incomplete reply: %s; check that the address is that of the key-value service", e.Problem)
}

// LeaseExpiredError reports a write whose lease had already expired.
type LeaseExpiredError struct{ Lease Lease }

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("key-value service: lease %d has expired; request a new lease", e.Lease)
}
