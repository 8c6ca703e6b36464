// Package membership knows which hosts live.
//
// Hosts are found by the platform's host list, which is late, and then tell
// each other of all hosts they know: every heartbeat, a host exchanges a bounded
// number of rows with a few others. A row carries a beat that only its own host
// raises. A host whose beat has not risen for a while, whoever brought the word,
// is suspected and gets no role; after longer it counts as gone. No single bad
// link condemns a host, since its beat arrives by way of others.
package membership

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/peer"
)

const (
	// fanOut is how many hosts get a heartbeat each time.
	fanOut = 3
	// maxRows bounds the rows of one exchange, each way.
	maxRows = 32
	// maxHosts bounds the table; maxField the length of a text in a row.
	maxHosts = 4096
	maxField = 128
	// forgetAfter times dead-after is when a silent host leaves the table.
	forgetAfter   = 8
	listInterval  = time.Second
	listTimeout   = 2 * time.Second
	maxListBytes  = 4 << 20
	avoidInterval = 2 * time.Second
	settleBound   = 8 * time.Second
)

// Phase is what a host says of itself.
type Phase uint8

// The phases of a host.
const (
	Starting Phase = iota
	Ready
	Leaving
)

// String gives the phase's name in reports.
func (p Phase) String() string {
	switch p {
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	default:
		return "starting"
	}
}

// Member is one host as this one knows it.
type Member struct {
	Identity   host.Identity
	Address    string
	DataCentre string
	Phase      Phase
	// Version is the configuration that the host has in force.
	Version int64
	// Silence is the time since the host's beat last rose.
	Silence time.Duration
}

type row struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	Phase       Phase  `cbor:"5,keyasint"`
	Version     int64  `cbor:"6,keyasint"`
	Beat        uint64 `cbor:"7,keyasint"`
}

func (r row) identity() host.Identity {
	return host.Identity{Name: r.Name, Incarnation: r.Incarnation}
}

func (r row) wellFormed() bool {
	sizes := len(r.Name) <= maxField && len(r.Address) <= maxField && len(r.DataCentre) <= maxField
	return sizes && r.Name != "" && r.Address != "" && r.Incarnation > 0 && r.Phase <= Leaving
}

// entry is a row and when it last brought news.
type entry struct {
	row     row
	heard   time.Time
	avoided time.Time
	dead    bool
}

// listedHost is one line of the platform's host list.
type listedHost struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Role    string `json:"role"`
	State   string `json:"state"`
}

// Service keeps the table of hosts.
type Service struct {
	common *common.Common
	peers  *peer.Service
	client *http.Client

	mu      sync.Mutex
	table   map[string]*entry
	self    row
	started time.Time
	listed  []listedHost
	lost    []func(host.Identity)
}

// New makes the service.
func New(c *common.Common) *Service {
	return &Service{
		common: c,
		client: &http.Client{Timeout: listTimeout},
		table:  map[string]*entry{},
		self: row{
			Name:        c.Self.Name,
			Incarnation: c.Self.Incarnation,
			Address:     c.Settings.PeerListen,
			DataCentre:  c.Settings.DataCentre,
		},
	}
}

// Start begins the heartbeats.
func (s *Service) Start(ctx context.Context) error {
	peers, err := kernel.Lookup[*peer.Service](s.common.Kernel, kernel.Peer)
	if err != nil {
		return err
	}
	s.peers = peers
	s.started = time.Now()
	peers.Handle(kernel.Membership, s.exchange)
	go s.run(ctx)
	lister := &lister{service: s}
	go lister.run(ctx)
	return nil
}

// Stop has nothing to end beyond the context.
func (s *Service) Stop(context.Context) error { return nil }

// OnLost registers a hearer of lives that ended. Register before Start.
func (s *Service) OnLost(hear func(host.Identity)) { s.lost = append(s.lost, hear) }

// SetPhase changes what this host says of itself.
func (s *Service) SetPhase(p Phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A host that leaves never comes back in the same life.
	s.self.Phase = max(s.self.Phase, p)
}

// SetVersion tells the others which configuration is in force here.
func (s *Service) SetVersion(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.Version = version
}

// Phase gives what this host says of itself.
func (s *Service) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self.Phase
}

// Settled tells whether this host knows the fleet well enough to take a role:
// it stands on the host list itself, and every other host there was heard. Two
// hosts that know different fleets take different hosts for the owner of a
// service, and each owner fills the endpoints to their limit. A list that is
// wrong or down delays a start no longer than settleBound.
func (s *Service) Settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.started) > settleBound {
		return true
	}
	self := false
	for _, l := range s.listed {
		if l.Role != "entry" {
			continue
		}
		if l.Name == s.self.Name {
			self = true
			continue
		}
		if e := s.table[l.Name]; l.State == "live" && (e == nil || e.dead) {
			return false
		}
	}
	return self
}

// Avoid gives a host no role for a short while, after a call to it failed.
func (s *Service) Avoid(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table[name]; e != nil {
		e.avoided = time.Now()
	}
}

// Address gives a host's address for calls.
func (s *Service) Address(name string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table[name]; e != nil {
		return e.row.Address, true
	}
	return "", false
}

// Gone tells whether that life of a host is known to have ended.
func (s *Service) Gone(life host.Identity) bool {
	if life == s.common.Self {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if life.Name == s.common.Self.Name {
		return true
	}
	e := s.table[life.Name]
	if e == nil {
		return false
	}
	return e.row.identity().Later(life) || e.dead
}

// ReadyNames gives the hosts that may have a role now, in order of name. It
// always has one: this host itself, if no other.
func (s *Service) ReadyNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.table)+1)
	for name, e := range s.table {
		if e.row.Phase == Ready && s.responsive(e) {
			names = append(names, name)
		}
	}
	if s.self.Phase == Ready || len(names) == 0 {
		names = append(names, s.self.Name)
	}
	slices.Sort(names)
	return names
}

func (s *Service) responsive(e *entry) bool {
	recent := time.Since(e.heard) < s.common.Settings.SuspectAfter.Std()
	return recent && time.Since(e.avoided) > avoidInterval
}

// Members gives all the hosts known, this one first.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := make([]Member, 0, len(s.table)+1)
	for _, e := range s.table {
		members = append(members, memberOf(e.row, time.Since(e.heard)))
	}
	slices.SortFunc(members, func(a, b Member) int {
		if a.Identity.Name < b.Identity.Name {
			return -1
		}
		return 1
	})
	return append([]Member{memberOf(s.self, 0)}, members...)
}

func memberOf(r row, silence time.Duration) Member {
	return Member{
		Identity:   r.identity(),
		Address:    r.Address,
		DataCentre: r.DataCentre,
		Phase:      r.Phase,
		Version:    r.Version,
		Silence:    silence,
	}
}

// Alone tells whether other hosts are known and none of them was heard lately.
func (s *Service) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.table {
		if time.Since(e.heard) < s.common.Settings.DeadAfter.Std() {
			return false
		}
	}
	return len(s.table) > 0 || s.othersListed()
}

func (s *Service) othersListed() bool {
	return slices.ContainsFunc(s.listed, func(l listedHost) bool { return l.Role == "entry" && l.Name != s.self.Name })
}

// ListedLeaving tells whether the host list says that the endpoint host at the
// address is leaving.
func (s *Service) ListedLeaving(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.listed, func(l listedHost) bool {
		return l.Role == "endpoint" && l.Address == address && l.State == "leaving"
	})
}

// run beats.
func (s *Service) run(ctx context.Context) {
	for {
		for _, address := range s.beat() {
			b := &beat{service: s, address: address}
			go b.run(ctx)
		}
		s.bury()
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.common.Settings.Heartbeat.Std()):
		}
	}
}

// beat raises the own beat and picks whom to tell.
func (s *Service) beat() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self.Beat++
	known := make(map[string]bool, len(s.table))
	addresses := make([]string, 0, len(s.table))
	for _, e := range s.table {
		known[e.row.Address] = true
		if !e.dead {
			addresses = append(addresses, e.row.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(fanOut, len(addresses))]
	// One listed host that is unknown or counts as gone: so newcomers are met,
	// and two halves that lost each other find together again.
	var strangers []string
	for _, l := range s.listed {
		if l.Role != "entry" || l.Name == s.self.Name {
			continue
		}
		if e := s.table[l.Name]; e == nil || e.dead || !known[l.Address] {
			strangers = append(strangers, l.Address)
		}
	}
	if len(strangers) > 0 {
		addresses = append(addresses, strangers[rand.IntN(len(strangers))])
	}
	return addresses
}

// beat is one heartbeat to one host.
type beat struct {
	service *Service
	address string
}

func (b *beat) run(ctx context.Context) {
	body, err := cbor.Marshal(b.service.rows())
	if err != nil {
		return
	}
	reply, err := b.service.peers.Call(ctx, b.address, kernel.Membership, body)
	if err != nil {
		return
	}
	if err := b.service.take(reply); err != nil {
		b.service.common.Count("membership.refused")
	}
}

// exchange answers a heartbeat.
func (s *Service) exchange(_ host.Identity, body []byte) ([]byte, error) {
	if err := s.take(body); err != nil {
		return nil, err
	}
	return cbor.Marshal(s.rows())
}

// rows gives the own row and a random share of the others.
func (s *Service) rows() []row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]row, 0, min(len(s.table)+1, maxRows))
	rows = append(rows, s.self)
	// Go's map order is random enough to pick a share of a large table.
	for _, e := range s.table {
		if len(rows) == maxRows {
			break
		}
		if !e.dead {
			rows = append(rows, e.row)
		}
	}
	return rows
}

func (s *Service) take(body []byte) error {
	var rows []row
	if err := cbor.Unmarshal(body, &rows); err != nil {
		return &peer.RefusedError{Why: "malformed heartbeat"}
	}
	if len(rows) > maxRows {
		return &peer.RefusedError{Why: "too many rows in a heartbeat"}
	}
	for _, r := range rows {
		if !r.wellFormed() {
			return &peer.RefusedError{Why: "malformed row in a heartbeat"}
		}
	}
	for _, r := range rows {
		s.merge(r)
	}
	return nil
}

func (s *Service) merge(r row) {
	if r.Name == s.common.Self.Name {
		return
	}
	s.mu.Lock()
	known := s.table[r.Name]
	if known == nil {
		if len(s.table) < maxHosts {
			s.table[r.Name] = &entry{row: r, heard: time.Now()}
		}
		s.mu.Unlock()
		return
	}
	ended := known.row.identity()
	replaced := r.identity().Later(ended)
	if !replaced && (r.Incarnation != ended.Incarnation || r.Beat <= known.row.Beat) {
		s.mu.Unlock()
		return
	}
	wasDead := known.dead
	known.row = r
	known.heard = time.Now()
	known.dead = false
	s.mu.Unlock()
	if replaced && !wasDead {
		s.tellLost(ended)
	}
}

// bury finds hosts that have been silent for too long.
func (s *Service) bury() {
	var ended []host.Identity
	deadAfter := s.common.Settings.DeadAfter.Std()
	s.mu.Lock()
	for name, e := range s.table {
		silence := time.Since(e.heard)
		if silence > deadAfter && !e.dead {
			e.dead = true
			ended = append(ended, e.row.identity())
		}
		if silence > forgetAfter*deadAfter {
			delete(s.table, name)
		}
	}
	s.mu.Unlock()
	for _, life := range ended {
		s.tellLost(life)
	}
}

func (s *Service) tellLost(life host.Identity) {
	s.common.Log.Info("host lost", zap.String("host", life.Name), zap.Int64("incarnation", life.Incarnation))
	s.common.Count("membership.lost")
	for _, hear := range s.lost {
		hear(life)
	}
}

// lister reads the platform's host list.
type lister struct{ service *Service }

func (l *lister) run(ctx context.Context) {
	for {
		listed, err := l.read(ctx)
		if err != nil {
			l.service.common.Count("membership.list.failed")
		} else {
			l.service.mu.Lock()
			l.service.listed = listed
			l.service.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listInterval):
		}
	}
}

func (l *lister) read(ctx context.Context) ([]listedHost, error) {
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, l.service.common.Settings.HostListURL+"/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "prepare the call of the host list")
	}
	response, err := l.service.client.Do(get)
	if err != nil {
		return nil, errors.Wrap(err, "call the host list")
	}
	defer response.Body.Close()
	var listed []listedHost
	err = json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&listed)
	return listed, errors.Wrap(err, "decode the host list")
}
