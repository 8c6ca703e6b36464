// Package status serves the state of this host over HTTP: health, readiness, the
// known hosts, metrics, recent decisions and profiles.
package status

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/release"
)

const (
	readHeaderTimeout = 5 * time.Second
)

// Service serves the status port and, on the platform, the readiness port.
type Service struct {
	common  *common.Common
	members *membership.Service
	release *release.Service
	record  *record.Service
	server  *http.Server
	// readinessServer serves readiness checks of the platform's balancer on a
	// separate address; nil without a platform.
	readinessServer *http.Server
	stopping        atomic.Bool
}

type hostStatus struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
	DataCentre  string `json:"data-centre"`
	Phase       string `json:"phase"`
	Version     int64  `json:"version"`
	State       string `json:"state"`
}

type statusReply struct {
	Host    string       `json:"host"`
	Ready   bool         `json:"ready"`
	Version int64        `json:"version"`
	Hosts   []hostStatus `json:"hosts"`
}

// New returns a service that is not started yet.
func New(c *common.Common) *Service { return &Service{common: c} }

// Start opens the ports and begins to count finished requests.
func (s *Service) Start(ctx context.Context) error {
	var err error
	if s.members, err = kernel.Lookup[*membership.Service](s.common.Kernel, kernel.Membership); err != nil {
		return err
	}
	if s.release, err = kernel.Lookup[*release.Service](s.common.Kernel, kernel.Release); err != nil {
		return err
	}
	if s.record, err = kernel.Lookup[*record.Service](s.common.Kernel, kernel.Record); err != nil {
		return err
	}
	finished, err := s.common.Kernel.Subscribe(ctx, kernel.RequestFinished)
	if err != nil {
		return err
	}
	go s.loop(finished)
	listener, err := net.Listen("tcp", s.common.Settings.StatusListen)
	if err != nil {
		return errors.Wrap(err, "open the status port; set status-listen to a free address")
	}
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout}
	go s.serve(s.server, listener)
	return s.listenForBalancer()
}

// listenForBalancer opens the port for readiness checks if this host runs on the
// platform.
func (s *Service) listenForBalancer() error {
	if s.common.Settings.Platform == nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.common.Settings.Platform.Readiness)
	if err != nil {
		return errors.Wrap(err, "open the readiness port; set readiness to a free address")
	}
	router := chi.NewRouter()
	router.Get("/readyz", s.readyz)
	s.readinessServer = &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	go s.serve(s.readinessServer, listener)
	return nil
}

func (s *Service) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.healthz)
	r.Get("/readyz", s.readyz)
	r.Get("/status", s.status)
	r.Get("/metrics", s.metrics)
	r.Get("/record", s.recentDecisions)
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	return r
}

// serve accepts connections of one listener until its server is shut down.
func (s *Service) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.common.Log.Error("status or readiness server failed", zap.Error(err))
	}
}

// loop updates the counters of finished requests, by tier and outcome,
// and the histograms of their durations, by tier.
func (s *Service) loop(finished <-chan []byte) {
	for payload := range finished {
		var request record.Request
		if err := json.Unmarshal(payload, &request); err != nil {
			s.common.Log.Error("finished request cannot be decoded", zap.Error(err))
			continue
		}
		s.common.Count("requests." + request.Tier + "." + request.Outcome)
		if request.InTime {
			s.common.Count("requests." + request.Tier + ".in-time")
		}
		s.common.Observe("requests."+request.Tier+".took-us", int64(request.Took*float64(time.Millisecond/time.Microsecond)))
	}
}

// Stop closes the ports and waits for requests in progress until ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	err := s.server.Shutdown(ctx)
	if s.readinessServer != nil {
		err = errors.CombineErrors(err, s.readinessServer.Shutdown(ctx))
	}
	return errors.Wrap(err, "close the status and readiness ports")
}

// BeginStop makes readiness checks fail, so that the balancer sends no more
// requests.
func (s *Service) BeginStop() { s.stopping.Store(true) }

func (s *Service) ready() bool {
	return !s.stopping.Load() && s.members.ReadinessPropagated() && s.release.Ready()
}

func (s *Service) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Service) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Service) status(w http.ResponseWriter, _ *http.Request) {
	reply := statusReply{Host: s.common.Self.Name, Ready: s.ready()}
	if current := s.release.Current(); current != nil {
		reply.Version = current.Version
	}
	for _, m := range s.members.Members() {
		reply.Hosts = append(reply.Hosts, hostStatus{
			Name:        m.Identity.Name,
			Incarnation: m.Identity.Incarnation,
			DataCentre:  m.DataCentre,
			Phase:       m.Phase.String(),
			Version:     m.Version,
			State:       m.State.String(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *Service) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.common.Metrics, w)
}

func (s *Service) recentDecisions(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/jsonl")
	_, _ = w.Write(s.record.Recent())
}
