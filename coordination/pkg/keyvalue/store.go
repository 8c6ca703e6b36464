// Package keyvalue is the client side of the platform's key-value service.
//
// The service is met through a published protocol: the JSON form of the etcd
// version 3 interface (range, txn, lease/grant) over HTTP.
// Only what the coordination parts need is here: a read, a write that happens
// only when the key is absent, a write that happens only when the key is
// unchanged, and leases of fixed life.
//
// # Usage
//
//	store := &keyvalue.Client{URL: "http://127.0.0.1:2379"}
//	outcome, err := store.Create(ctx, keyvalue.Creation{Key: "claims/a", Value: value})
//	switch {
//	case err != nil:      // the write may or may not have taken effect
//	case outcome.Applied: // it is ours
//	default:              // outcome.Current is what stands there
//	}
//
// Every error of a write is an *UnreachableError: the reply is missing, which
// says nothing about the effect. Callers settle it by reading back or by
// repeating the same conditional write.
package keyvalue

import (
	"context"
	"fmt"
	"time"
)

// Entry is the value of a key as the service held it at Revision. The zero
// Entry stands for an absent key.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Found tells whether the key existed.
func (e Entry) Found() bool { return e.Revision != 0 }

// Lease is the service's number of a lease; zero is no lease.
type Lease int64

// Creation asks for a key to be written only if it does not exist.
type Creation struct {
	Key   string
	Value []byte
	// Lease removes the key when it runs out; zero keeps it for good.
	Lease Lease
	// Guard names another key that must exist for the write to happen. The
	// service checks it together with the write, so a writer that was paused
	// past the life of its guard writes nothing, however late it wakes.
	Guard string
}

// Outcome is the service's word on a conditional write.
type Outcome struct {
	Applied bool
	// GuardLost is set when the write was turned down because its guard is gone.
	GuardLost bool
	// Current is the entry found, when the write was not applied.
	Current Entry
	// Revision is the revision written, when it was applied.
	Revision int64
}

// Store is what the coordination parts need of the platform's service.
type Store interface {
	Read(ctx context.Context, key string) (Entry, error)
	Create(ctx context.Context, creation Creation) (Outcome, error)
	// Swap writes value if the key's revision still is the given one.
	Swap(ctx context.Context, key string, value []byte, revision int64, lease Lease) (Outcome, error)
	Grant(ctx context.Context, life time.Duration) (Lease, error)
}

// UnreachableError says that the service gave no usable reply. A write that
// ends so may have taken effect.
type UnreachableError struct {
	Operation string
	Cause     error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("key-value service: no reply to %s: %v; check that the service is up, then repeat the same call", e.Operation, e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// LeaseExpiredError says that a lease ran out before it was used.
type LeaseExpiredError struct{ Lease Lease }

func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("key-value service: lease %d has run out; grant a new one", e.Lease)
}
