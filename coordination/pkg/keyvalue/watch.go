package keyvalue

import (
	"context"
	"fmt"
	"time"
)

// Listing is what stood below a prefix. Its entries are at least as new as
// Revision, and may be newer.
type Listing struct {
	Entries  []Entry
	Revision int64
}

// Change is one change of one key.
type Change struct {
	// Entry is the entry as written; of a removed key, its name and the
	// revision of the removal.
	Entry   Entry
	Removed bool
}

// Changes are all the changes below a prefix after one revision, up to and
// with Revision.
type Changes struct {
	Changes  []Change
	Revision int64
}

// Watcher follows what stands below a prefix.
type Watcher interface {
	List(ctx context.Context, prefix string) (Listing, error)
	// Watch waits for changes after a revision, and gives none when there were
	// none for the time of wait. A *CompactedError means that the changes are no
	// longer known: list again.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// CompactedError says that the service has dropped the changes asked for.
type CompactedError struct{ After int64 }

func (e *CompactedError) Error() string {
	return fmt.Sprintf("key-value service: the changes after revision %d are gone; list all keys again", e.After)
}
