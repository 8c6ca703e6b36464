package keyvalue

import (
	"maps"
	"net/http"
	"time"
)

// Faults are the faults that can be injected with POST /faults.
type Faults struct {
	// Down makes every call fail with 503 and without effect.
	Down bool `json:"down"`
	// DelayMillis delays every call by that many milliseconds.
	DelayMillis int `json:"delay-millis"`
	// LoseReplies is the number of transactions that are applied but whose
	// connection is closed without a reply.
	LoseReplies int `json:"lose-replies"`
	// Stale makes range calls read the state at the time when Stale was set.
	Stale bool `json:"stale"`
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Stale && !s.faults.Stale {
		s.staleEntries = maps.Clone(s.entries)
	}
	s.faults = faults
}

func (s *Service) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		if faults.Down {
			writeJSON(w, http.StatusServiceUnavailable, errorReply{Message: "the service is down"})
			return
		}
		next.ServeHTTP(w, r)
	})
}
