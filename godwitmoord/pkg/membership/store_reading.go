package membership

import "time"

// storeReading says whether a host reads the platform's store for others.
type storeReading uint8

const (
	// readingUnknown is what a host says that does not know this field.
	readingUnknown storeReading = iota
	readsStore
	readsNothing
)

// StoreReader knows whether this host reads the platform's store for others.
type StoreReader interface {
	// ReadsStore reports whether this host watches the endpoints in the store.
	ReadsStore() bool
}

// SetStoreReader makes the replies to probes say whether this host reads the platform's
// store. Call it before Start.
func (s *Service) SetStoreReader(r StoreReader) { s.storeReader = r }

func (s *Service) storeReading() storeReading {
	switch {
	case s.storeReader == nil:
		return readingUnknown
	case s.storeReader.ReadsStore():
		return readsStore
	default:
		return readsNothing
	}
}

// recordReader records that a host answered that it reads the store, or may do.
func (s *Service) recordReader(reads storeReading) {
	if reads == readsNothing {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReader = time.Now()
}

// LastReader returns when a host last told this one that it reads the store; zero if none
// ever did.
func (s *Service) LastReader() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReader
}
