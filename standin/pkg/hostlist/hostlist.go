// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts. Changes appear in the list after a configurable lag.
package hostlist

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

const maxBodyBytes = 1 << 20

// Host is one entry of the list.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	// Role is "entry" for hosts of the system and "endpoint" for all others.
	Role string `json:"role"`
	// State is "live" or "leaving". Hosts that have left are not listed.
	State string `json:"state"`
}

// List holds the current hosts, the list that is shown and the changes that are
// not shown yet.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	hosts   map[string]Host
	shown   []Host
	pending []snapshot
}

type snapshot struct {
	at    time.Time
	hosts []Host
}

// New returns an empty list that shows each change after lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, hosts: map[string]Host{}, shown: []Host{}}
}

// Handler returns the HTTP handler for GET /hosts, PUT /hosts/{name} and DELETE
// /hosts/{name}.
func (l *List) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/hosts", l.serveList)
	r.Put("/hosts/{name}", l.serveHostPut)
	r.Delete("/hosts/{name}", l.serveHostDelete)
	return r
}

func (l *List) serveList(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	for len(l.pending) > 0 && time.Since(l.pending[0].at) >= l.lag {
		l.shown = l.pending[0].hosts
		l.pending = l.pending[1:]
	}
	shown := l.shown
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown)
}

func (l *List) serveHostPut(w http.ResponseWriter, r *http.Request) {
	var host Host
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	host.Name = chi.URLParam(r, "name")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host.Name] = host
	l.addSnapshot()
}

func (l *List) serveHostDelete(_ http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.hosts, chi.URLParam(r, "name"))
	l.addSnapshot()
}

func (l *List) addSnapshot() {
	hosts := make([]Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	l.pending = append(l.pending, snapshot{at: time.Now(), hosts: hosts})
}
