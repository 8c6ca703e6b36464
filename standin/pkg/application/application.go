// Package application is a stand-in for an application service that handles
// orders. It answers each request with a receipt.
package application

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"godwitmoor.example/standin/pkg/runlog"
)

const maxBodyBytes = 4 << 20

// Faults are the faults that can be injected with POST /faults.
type Faults struct {
	// Cut makes the worker run the request and then close the connection without
	// an answer.
	Cut bool `json:"cut"`
	// CutUnread makes the worker read the request and then close the connection
	// without running it.
	CutUnread bool `json:"cut-unread"`
	// Refuse makes the worker answer 503 with the header Not-Run, without running
	// the request.
	Refuse bool `json:"refuse"`
	// Crossed makes the worker answer with a wrong attempt id, as if the answer
	// belonged to another request.
	Crossed bool `json:"crossed"`
	// Leaving is reported by GET /load and means that the worker is shutting down.
	Leaving bool `json:"leaving"`
	// Silent makes the worker run the request and never answer.
	Silent bool `json:"silent"`
}

// Service simulates one worker of an application service.
type Service struct {
	workDuration time.Duration
	log          *runlog.Log

	mu      sync.Mutex
	faults  Faults
	running int
	orders  int
}

// New returns a worker that takes the given time to run each request.
func New(work time.Duration, log *runlog.Log) *Service {
	return &Service{workDuration: work, log: log}
}

type receipt struct {
	Order  int    `json:"order"`
	Digest string `json:"digest"`
}

type loadReply struct {
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

// Handler returns the HTTP handler of the worker: POST /faults, GET /load, and
// every other path as a request to run.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/faults", s.setFaults)
	r.Get("/load", s.serveLoad)
	r.HandleFunc("/*", s.serveRequest)
	return r
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	reply := loadReply{Running: s.running, Leaving: s.faults.Leaving}
	s.mu.Unlock()
	writeJSON(w, reply)
}

func (s *Service) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	faults := s.startRequest()
	defer s.endRequest()
	if faults.CutUnread {
		panic(http.ErrAbortHandler)
	}
	if faults.Refuse {
		w.Header().Set("Not-Run", "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	s.log.Write(runlog.NewLine(r, runlog.Started))
	time.Sleep(s.workDuration)
	s.log.Write(runlog.NewLine(r, runlog.Finished))
	if faults.Cut {
		panic(http.ErrAbortHandler)
	}
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	attempt := r.Header.Get(runlog.AttemptHeader)
	if faults.Crossed {
		attempt = "another-" + attempt
	}
	w.Header().Set(runlog.AttemptHeader, attempt)
	writeJSON(w, receipt{Order: s.nextOrder(), Digest: Digest(body)})
}

func (s *Service) startRequest() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	return s.faults
}

func (s *Service) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) nextOrder() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	return s.orders
}

// Digest returns the hash of a request body that its receipt holds, so that a
// caller can check that the receipt belongs to its request.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
