package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems bounds the items of one page of a listing.
const maxPageItems = 500

// storeItem is a key of the store, or a change of one.
type storeItem struct {
	Key      string `json:"Key"`
	Value    []byte `json:"Value,omitempty"`
	Revision int64  `json:"Revision"`
	Created  int64  `json:"Created,omitempty"`
	Lease    int64  `json:"Lease"`
	Removed  bool   `json:"Removed,omitempty"`
}

// store stands in for the platform's metadata store. It keeps all of its history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	changes  []storeItem
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// set writes a key and returns the revision of the write.
func (s *store) set(key, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, []byte(value))
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// put writes a key; s.mu is held.
func (s *store) put(key string, value []byte) int64 {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	s.items[key] = storeItem{Key: key, Value: value, Revision: s.revision, Created: created}
	s.append(s.items[key])
	return s.revision
}

// drop removes a key; s.mu is held.
func (s *store) drop(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(storeItem{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) append(change storeItem) {
	s.changes = append(s.changes, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves the store on a listener.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", s.serveTxn)
	_ = http.Serve(l, mux)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, exists := s.items[r.URL.Query().Get("Key")]
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxPageItems
	keys = keys[:min(len(keys), maxPageItems)]
	items := []storeItem{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Items": items, "MorePages": more, "AsOf": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("PathPrefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("After"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []storeItem{}, s.revision, s.changed
		for _, c := range s.changes {
			if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "AsOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "AsOf": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectedRevision []storeItem
		SetKeys          []storeItem
		Remove           []string
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []storeItem{}, true
	for _, c := range txn.ExpectedRevision {
		found, exists := s.items[c.Key]
		if exists {
			current = append(current, found)
		}
		holds = holds && found.Revision == c.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"Items": current})
		return
	}
	for _, item := range txn.SetKeys {
		if strings.HasPrefix(item.Key, "op/") || strings.HasPrefix(item.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, item := range txn.SetKeys {
		s.put(item.Key, item.Value)
	}
	for _, key := range txn.Remove {
		s.drop(key)
	}
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
