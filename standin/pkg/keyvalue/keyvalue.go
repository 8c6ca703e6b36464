// Package keyvalue is an in-memory stand-in for the platform's key-value service.
// It implements a small part of the JSON interface of etcd version 3: range and
// watch of single keys, txn and lease/grant.
package keyvalue

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const maxBodyBytes = 2 << 20

// Calls holds the number of calls of each kind.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Service holds the state of the key-value service in memory.
type Service struct {
	mu           sync.Mutex
	revision     int64
	entries      map[string]entry
	staleEntries map[string]entry
	leases       map[int64]time.Time
	faults       Faults
	calls        Calls
}

type entry struct {
	value          []byte
	createRevision int64
	modRevision    int64
	lease          int64
}

// New returns an empty service.
func New() *Service {
	return &Service{entries: map[string]entry{}, leases: map[int64]time.Time{}}
}

type errorReply struct {
	Message string `json:"message"`
}

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/faults", s.setFaults)
	r.Get("/calls", s.serveCalls)
	r.Group(func(r chi.Router) {
		r.Use(s.applyFaults)
		r.Post("/v3/kv/range", serve(s, s.readRange))
		r.Post("/v3/kv/txn", serve(s, s.applyTxn))
		r.Post("/v3/lease/grant", serve(s, s.grantLease))
		r.Post("/v3/watch", s.serveWatch)
	})
	return r
}

func (s *Service) serveCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, calls)
}

// serve returns a handler that decodes a request and writes its reply, or status 400
// if there is a problem with it. The answer is computed while s.mu is held.
func serve[Q, A any](s *Service, answer func(Q) (reply A, problem string)) http.HandlerFunc {
	locked := func(request Q) (A, string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return answer(request)
	}
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if !readJSON(w, r, &request) {
			return
		}
		reply, problem := locked(request)
		if problem != "" {
			writeJSON(w, http.StatusBadRequest, errorReply{Message: problem})
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into); err != nil {
		writeJSON(w, http.StatusBadRequest, errorReply{Message: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
