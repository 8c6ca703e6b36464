// Package platform holds stand-ins of the platform: its key-value store and its
// workers, as PROTOCOL.md describes them.
package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the most items in one page of a range call.
const maxPageItems = 500

// item is one key as the store encodes it. A removal has no value.
type item struct {
	Key      string `json:"Key"`
	Value    []byte `json:"Value,omitempty"`
	Revision int64  `json:"Revision"`
	Created  int64  `json:"Created,omitempty"`
	Lease    int64  `json:"Lease"`
	Removed  bool   `json:"Removed,omitempty"`
}

// Store is an in-memory key-value store that loses nothing and answers at once.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// Set writes a key with a JSON value and returns the revision.
func (s *Store) Set(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // callers pass plain values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, data)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// put writes a key; s.mu is held.
func (s *Store) put(key string, value []byte) int64 {
	s.revision++
	written := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, exists := s.items[key]; exists {
		written.Created = old.Created
	}
	s.items[key] = written
	s.append(written)
	return s.revision
}

// remove removes a key; s.mu is held.
func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Removed: true})
}

// append adds a change to the history and wakes the watches; s.mu is held.
func (s *Store) append(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveKey(w, r)
	case "/api/kv-range":
		s.serveRange(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	case "/api/kv-txn":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, exists := s.items[r.URL.Query().Get("Key")]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, found)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	items := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, found)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > maxPageItems
	answer(w, http.StatusOK, map[string]any{"Items": items[:min(len(items), maxPageItems)], "MorePages": more, "AsOf": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("PathPrefix")) {
				events = append(events, change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "AsOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ExpectedRevision []item
		SetKeys          []item
		Remove           []string
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, expected := range call.ExpectedRevision {
		found, exists := s.items[expected.Key]
		if exists {
			current = append(current, found)
		}
		holds = holds && found.Revision == expected.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"Items": current})
		return
	}
	for _, set := range call.SetKeys {
		s.put(set.Key, set.Value)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the host has gone
}
