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

const (
	maxValueBytes     = 1 << 20
	maxBodyBytes      = 2 << 20
	watchPollInterval = 20 * time.Millisecond
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

type (
	entryWire struct {
		Key            []byte `json:"key"`
		Value          []byte `json:"value"`
		CreateRevision int64  `json:"create_revision,string"`
		ModRevision    int64  `json:"mod_revision,string"`
	}
	headerWire struct {
		Revision int64 `json:"revision,string"`
	}
	rangeRequest struct {
		Key []byte `json:"key"`
	}
	rangeReply struct {
		Header  headerWire  `json:"header"`
		Entries []entryWire `json:"kvs,omitempty"`
	}
	putRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	}
	compareWire struct {
		Key            []byte `json:"key"`
		Target         string `json:"target"`
		Result         string `json:"result"`
		CreateRevision int64  `json:"create_revision,string"`
		ModRevision    int64  `json:"mod_revision,string"`
	}
	operationWire struct {
		Put   *putRequest   `json:"request_put"`
		Range *rangeRequest `json:"request_range"`
	}
	txnRequest struct {
		Compare []compareWire   `json:"compare"`
		Success []operationWire `json:"success"`
		Failure []operationWire `json:"failure"`
	}
	responseWire struct {
		Put   *struct{}   `json:"response_put,omitempty"`
		Range *rangeReply `json:"response_range,omitempty"`
	}
	txnReply struct {
		Header    headerWire     `json:"header"`
		Succeeded bool           `json:"succeeded"`
		Responses []responseWire `json:"responses"`
	}
	leaseRequest struct {
		TTL int64 `json:"TTL,string"`
	}
	leaseReply struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string"`
	}
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
	errorReply struct {
		Message string `json:"message"`
	}
)

// Handler returns the HTTP handler of the service.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/faults", s.setFaults)
	r.Get("/calls", s.serveCalls)
	r.Group(func(r chi.Router) {
		r.Use(s.applyFaults)
		r.Post("/v3/kv/range", s.serveRange)
		r.Post("/v3/kv/txn", s.serveTxn)
		r.Post("/v3/lease/grant", s.serveLeaseGrant)
		r.Post("/v3/watch", s.serveWatch)
	})
	return r
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Stale && !s.faults.Stale {
		s.staleEntries = map[string]entry{}
		for key, e := range s.entries {
			s.staleEntries[key] = e
		}
	}
	s.faults = faults
}

func (s *Service) serveCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, calls)
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

func (s *Service) serveRange(w http.ResponseWriter, r *http.Request) {
	var request rangeRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.calls.Reads++
	reply := s.lookup(request.Key)
	if s.faults.Stale {
		reply.Entries = encodeEntry(s.staleEntries, request.Key)
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

func (s *Service) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.calls.Writes++
	reply, problem := s.transact(request)
	loseReply := s.faults.LoseReplies > 0
	if loseReply {
		s.faults.LoseReplies--
	}
	s.mu.Unlock()
	if loseReply {
		panic(http.ErrAbortHandler)
	}
	if problem != "" {
		writeJSON(w, http.StatusBadRequest, errorReply{Message: problem})
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *Service) transact(request txnRequest) (txnReply, string) {
	s.expire()
	reply := txnReply{Succeeded: s.conditionsMet(request.Compare)}
	operations := request.Failure
	if reply.Succeeded {
		operations = request.Success
	}
	for _, o := range operations {
		switch {
		case o.Put != nil:
			if problem := s.put(o.Put); problem != "" {
				return txnReply{}, problem
			}
			reply.Responses = append(reply.Responses, responseWire{Put: &struct{}{}})
		case o.Range != nil:
			found := s.lookup(o.Range.Key)
			reply.Responses = append(reply.Responses, responseWire{Range: &found})
		}
	}
	reply.Header.Revision = s.revision
	return reply, ""
}

func (s *Service) conditionsMet(compares []compareWire) bool {
	for _, c := range compares {
		e := s.entries[string(c.Key)]
		actual, expected := e.modRevision, c.ModRevision
		if c.Target == "CREATE" {
			actual, expected = e.createRevision, c.CreateRevision
		}
		met := actual == expected
		if c.Result == "GREATER" {
			met = actual > expected
		}
		if !met {
			return false
		}
	}
	return true
}

func (s *Service) put(p *putRequest) string {
	if len(p.Value) > maxValueBytes {
		return "etcdserver: request is too large"
	}
	if _, exists := s.leases[p.Lease]; p.Lease != 0 && !exists {
		return "etcdserver: requested lease not found"
	}
	s.revision++
	e := s.entries[string(p.Key)]
	if e.createRevision == 0 {
		e.createRevision = s.revision
	}
	e.modRevision = s.revision
	e.value = p.Value
	e.lease = p.Lease
	s.entries[string(p.Key)] = e
	return ""
}

// expire removes the leases that have run out and the entries attached to them.
// The caller holds s.mu.
func (s *Service) expire() {
	now := time.Now()
	for id, expiry := range s.leases {
		if now.Before(expiry) {
			continue
		}
		delete(s.leases, id)
		for key, e := range s.entries {
			if e.lease == id {
				delete(s.entries, key)
			}
		}
	}
}

func (s *Service) lookup(key []byte) rangeReply {
	s.expire()
	return rangeReply{Header: headerWire{Revision: s.revision}, Entries: encodeEntry(s.entries, key)}
}

func encodeEntry(entries map[string]entry, key []byte) []entryWire {
	e, found := entries[string(key)]
	if !found {
		return nil
	}
	return []entryWire{{Key: key, Value: e.value, CreateRevision: e.createRevision, ModRevision: e.modRevision}}
}

func (s *Service) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if !readJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	s.calls.Writes++
	s.revision++
	id := s.revision
	s.leases[id] = time.Now().Add(time.Duration(request.TTL) * time.Second)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, leaseReply{ID: id, TTL: request.TTL})
}

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
