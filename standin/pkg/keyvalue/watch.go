package keyvalue

import (
	"encoding/json"
	"net/http"
	"time"
)

const watchPollInterval = 20 * time.Millisecond

type (
	watchRequest struct {
		Create struct {
			Key []byte `json:"key"`
		} `json:"create_request"`
	}
	watchEvent struct {
		Entry entryWire `json:"kv"`
	}
	watchReply struct {
		Result struct {
			Header headerWire   `json:"header"`
			Events []watchEvent `json:"events,omitempty"`
		} `json:"result"`
	}
)

func (s *Service) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.calls.Watches++
	lastRevision := s.entries[string(request.Create.Key)].modRevision
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	control := http.NewResponseController(w)
	var created watchReply
	_ = encoder.Encode(created)
	_ = control.Flush()
	for r.Context().Err() == nil {
		time.Sleep(watchPollInterval)
		s.mu.Lock()
		found := s.lookup(request.Create.Key)
		s.mu.Unlock()
		if len(found.Entries) == 0 || found.Entries[0].ModRevision == lastRevision {
			continue
		}
		lastRevision = found.Entries[0].ModRevision
		var reply watchReply
		reply.Result.Header = found.Header
		reply.Result.Events = []watchEvent{{Entry: found.Entries[0]}}
		_ = encoder.Encode(reply)
		_ = control.Flush()
	}
}
