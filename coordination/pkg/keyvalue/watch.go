package keyvalue

import (
	"context"
	"fmt"
	"time"
)

// Listing holds the entries below a prefix. They include all changes up to
// Revision, and may include later ones.
type Listing struct {
	Entries  []Entry
	Revision int64
	// Unusable describes the entries that are left out.
	Unusable Unusable
}

// Unusable describes entries that other programs wrote and that say nothing to this
// one. The zero value describes none.
type Unusable struct {
	Count int
	// First says what is wrong with the first of them.
	First error
}

// With returns a description of one more entry.
func (u Unusable) With(problem error) Unusable {
	if u.Count == 0 {
		u.First = problem
	}
	u.Count++
	return u
}

// Change is one write or removal of one key.
type Change struct {
	// Entry is the entry as written; for a removed key it holds the key and the
	// revision of the removal.
	Entry   Entry
	Removed bool
}

// Changes holds all changes below a prefix after one revision, up to and
// including Revision.
type Changes struct {
	Changes  []Change
	Revision int64
	// Unusable describes the entries that were written and cannot be used. Each of
	// them counts as removed.
	Unusable Unusable
}

// Watcher follows the entries below a prefix.
type Watcher interface {
	// List returns the current entries below prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits for changes after the given revision. It returns no changes if
	// none occur within wait. A *CompactedError means that the service no longer
	// has the changes after that revision; the caller must list again.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// CompactedError reports that the service no longer has the changes after a
// revision.
type CompactedError struct{ After int64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("key-value service: the changes after revision %d have been compacted; list all keys again", e.After)
}
