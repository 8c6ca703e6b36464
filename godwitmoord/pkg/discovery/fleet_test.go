package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/boottime"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/notice"
	"godwitmoor.example/godwitmoord/pkg/peer"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

const (
	// linkDelay is the time that a message takes between two hosts or to the store.
	linkDelay = 2 * time.Millisecond
	// The bounds of the simulated deployment.
	leavingBound    = 2 * time.Second
	applyBound      = 2 * time.Second
	revocationBound = 5 * time.Second
	// outerBound is by how much the platform stretches applyBound while the store turns
	// hosts away.
	outerBound = 5 * time.Second
)

// fleetSizes are the numbers of hosts that the tests of a fleet play.
var fleetSizes = []int{9, 70, 295}

// fleetStore is the platform's store of a simulated fleet.
type fleetStore struct {
	mu sync.Mutex
	// era counts the restores; revision is that of the store within its era.
	era      int64
	revision int64
	entries  map[string]keyvalue.Entry
	history  []keyvalue.Change
	changed  chan struct{}
	// turnedAway holds the hosts whose calls fail; all do while down is set.
	turnedAway map[string]bool
	down       bool
	calls      int
}

// write writes a key, or removes it if value is nil.
func (s *fleetStore) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := keyvalue.Entry{Key: key, Value: value, Revision: keyvalue.InEra(s.era, s.revision)}
	s.entries[key] = e
	if value == nil {
		delete(s.entries, key)
	}
	s.history = append(s.history, keyvalue.Change{Entry: e, Removed: value == nil})
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a function that restores the store to its present state, in the next era.
func (s *fleetStore) copy() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, entries := s.revision, maps.Clone(s.entries)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.era++
		s.revision, s.entries, s.history = revision, map[string]keyvalue.Entry{}, nil
		for key, e := range entries {
			e.Revision = keyvalue.InEra(s.era, keyvalue.WithoutEra(e.Revision))
			s.entries[key] = e
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// call counts a call of a host and returns an error if the store refuses it.
func (s *fleetStore) call(host string) error {
	time.Sleep(linkDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down || s.turnedAway[host] {
		return errors.New("turned away")
	}
	return nil
}

// turnAwayAll makes the store refuse the calls of hosts.
func (s *fleetStore) turnAwayAll(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.turnedAway[name] = true
	}
	close(s.changed) // the watches that wait end, too
	s.changed = make(chan struct{})
}

// callsIn returns how many calls the store gets in a span.
func (s *fleetStore) callsIn(span time.Duration) int {
	s.mu.Lock()
	before := s.calls
	s.mu.Unlock()
	time.Sleep(span)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls - before
}

// storeLink is the store as one host reaches it.
type storeLink struct {
	store *fleetStore
	host  string
}

func (l *storeLink) List(_ context.Context, prefix string) (keyvalue.Listing, error) {
	if err := l.store.call(l.host); err != nil {
		return keyvalue.Listing{}, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	listing := keyvalue.Listing{Revision: keyvalue.InEra(l.store.era, l.store.revision)}
	for key, e := range l.store.entries {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, e)
		}
	}
	return listing, nil
}

func (l *storeLink) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (keyvalue.Changes, error) {
	if err := l.store.call(l.host); err != nil {
		return keyvalue.Changes{}, err
	}
	for end := time.After(wait); ; {
		l.store.mu.Lock()
		found, changed := l.changesAfter(prefix, after), l.store.changed
		refused := l.store.down || l.store.turnedAway[l.host]
		restored := keyvalue.EraOf(after) != l.store.era
		l.store.mu.Unlock()
		switch {
		case restored:
			return keyvalue.Changes{}, &keyvalue.CompactedError{After: after}
		case refused:
			return keyvalue.Changes{}, errors.New("turned away")
		case len(found.Changes) > 0:
			return found, nil
		}
		select {
		case <-ctx.Done():
			return keyvalue.Changes{}, ctx.Err()
		case <-end:
			return found, nil
		case <-changed:
		}
	}
}

// changesAfter returns the changes of a prefix; the store is locked.
func (l *storeLink) changesAfter(prefix string, after int64) keyvalue.Changes {
	found := keyvalue.Changes{Revision: max(after, keyvalue.InEra(l.store.era, l.store.revision))}
	for _, c := range l.store.history {
		if c.Entry.Revision > after && strings.HasPrefix(c.Entry.Key, prefix) {
			found.Changes = append(found.Changes, c)
		}
	}
	return found
}

func (l *storeLink) Put(context.Context, string, []byte, int64) (keyvalue.Outcome, error) {
	return keyvalue.Outcome{Applied: true}, l.store.call(l.host)
}

// simulatedFleet is a fleet whose hosts run this package, before one store.
type simulatedFleet struct {
	store *fleetStore
	names []string
	hosts map[string]*Service

	mu sync.Mutex
	// lost holds the hosts without power, and told when each host was last told by another
	// one that it reads the store.
	lost map[string]bool
	told map[string]time.Time
}

// jsonLayout is a plainLayout whose configuration is its version.
type jsonLayout struct{ plainLayout }

func (jsonLayout) Configuration(value []byte) (int64, configuration.Configuration, error) {
	var version int64
	err := json.Unmarshal(value, &version)
	return version, configuration.Configuration{}, err
}

func (jsonLayout) HostKey(name string) string { return "hosts/" + name }

func (jsonLayout) HostName(key string) (string, bool) { return strings.CutPrefix(key, "hosts/") }

// playFleet starts a fleet of the given size on a paused clock, at whose first host the
// others meet, and calls play once all hosts serve.
func playFleet(t *testing.T, size int, play func(is *is.I, f *simulatedFleet)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		defer boottime.Use(func() time.Duration { return time.Since(start) + time.Hour })()
		ctx, cancel := context.WithCancel(t.Context())
		f := &simulatedFleet{
			store: &fleetStore{entries: map[string]keyvalue.Entry{}, changed: make(chan struct{}), turnedAway: map[string]bool{}},
			hosts: map[string]*Service{}, lost: map[string]bool{}, told: map[string]time.Time{},
		}
		f.store.write("configuration", []byte("1"))
		f.store.write("endpoints/i-1", []byte("{}"))
		for i := range size {
			f.names = append(f.names, fmt.Sprint("entry-", i))
		}
		defer time.Sleep(time.Minute) // until all goroutines have ended
		defer cancel()
		for _, name := range f.names {
			is.NoErr(f.add(ctx, name))
		}
		for _, s := range f.hosts {
			s.begin(ctx)
		}
		time.Sleep(4 * time.Second)
		is.Equal(f.serving(), size)
		play(is, f)
	})
}

// add creates one host.
func (f *simulatedFleet) add(ctx context.Context, name string) error {
	c := &common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Kernel: kernel.New(zap.NewNop()),
		Self: host.Identity{Name: name, Incarnation: 1},
		Settings: settings.Settings{PeerListen: name, Platform: &settings.Platform{
			Hosts: f.names[:1], KeyRevocation: document.Duration(revocationBound), LeavingBound: document.Duration(leavingBound),
		}},
	}
	c.Kernel.Register(kernel.Membership, membership.New(c))
	c.Kernel.Register(kernel.Peer, peer.New(c))
	r := release.New(c, nil)
	c.Kernel.Register(kernel.Release, r)
	if err := r.Start(ctx); err != nil {
		return err
	}
	s := New(c, &gossip{fleet: f, self: name, held: map[string]notice.Notice{}}, &storeLink{store: f.store, host: name}, jsonLayout{})
	s.release, s.members = r, &fleetView{fleet: f, self: name}
	f.hosts[name] = s
	return nil
}

// serving returns how many hosts may serve requests with customers' keys.
func (f *simulatedFleet) serving() int {
	count := 0
	for _, s := range f.hosts {
		if s.release.Ready() && s.release.AcceptsKeys() {
			count++
		}
	}
	return count
}

// acceptingKeys returns how many hosts accept customers' keys.
func (f *simulatedFleet) acceptingKeys() int {
	count := 0
	for _, s := range f.hosts {
		if s.release.AcceptsKeys() {
			count++
		}
	}
	return count
}

// timeUntil returns how long it takes until all hosts meet a condition, a minute at most.
func (f *simulatedFleet) timeUntil(met func(*Service) bool) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		all := true
		for _, s := range f.hosts {
			all = all && met(s)
		}
		if all {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// turnAway makes the store refuse the calls of the first readers.
func (f *simulatedFleet) turnAway(readers int) { f.store.turnAwayAll(f.ranked()[:readers]) }

func (f *simulatedFleet) ranked() []string { return host.Ranked(f.names, "readers", 12) }

// fleetView is a fleet as one of its hosts sees it: all others are alive.
type fleetView struct {
	fleet *simulatedFleet
	self  string
}

func (v *fleetView) StoreReaders() []string                 { return v.fleet.ranked() }
func (v *fleetView) ReadyNames() []string                   { return v.fleet.names }
func (v *fleetView) Alone() bool                            { return false }
func (v *fleetView) FleetDiscovered() bool                  { return true }
func (v *fleetView) SetListedHosts([]membership.ListedHost) {}
func (v *fleetView) versionOf(name string) int64            { return v.fleet.hosts[name].release.InForceVersion() }
func (v *fleetView) own() *Service                          { return v.fleet.hosts[v.self] }

func (v *fleetView) NewestVersion() int64 {
	newest := int64(0)
	for _, name := range v.fleet.names {
		newest = max(newest, v.versionOf(name))
	}
	return newest
}

func (v *fleetView) HostAhead(version int64) (string, bool) {
	for _, i := range rand.Perm(len(v.fleet.names)) {
		if v.versionOf(v.fleet.names[i]) > version {
			return v.fleet.names[i], true
		}
	}
	return "", false
}

// unansweredAfter is how long a question to a host without power is waited for.
const unansweredAfter = 400 * time.Millisecond

// isLost reports whether one of the hosts has no power.
func (f *simulatedFleet) isLost(names ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(names, func(name string) bool { return f.lost[name] })
}

// lose takes the power of hosts. They stay in the lists of the others, which don't know it
// yet.
func (f *simulatedFleet) lose(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.lost[name] = true
	}
}

func (v *fleetView) LastReader() time.Time {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.fleet.told[v.self]
}

// AskProof exchanges proofs, and the host that is asked asks back, as membership does.
func (v *fleetView) AskProof(_ context.Context, name string) error {
	if v.fleet.isLost(name, v.self) {
		time.Sleep(unansweredAfter)
		return errors.New("no answer")
	}
	v.pull(name)
	if v.fleet.hosts[name].ReadsStore() {
		v.fleet.mu.Lock()
		v.fleet.told[v.self] = time.Now()
		v.fleet.mu.Unlock()
	}
	(&fleetView{fleet: v.fleet, self: name}).pull(v.self)
	return nil
}

func (v *fleetView) pull(name string) {
	sentAt := boottime.Now()
	time.Sleep(2 * linkDelay)
	other := v.fleet.hosts[name].release
	version := other.InForceVersion()
	if age := other.Age(version); age > 0 {
		v.own().release.RecordPeerProof(version, sentAt-age)
	}
}

// gossip passes the notices of one host to all others, each after a while of its own, and
// one in a hundred as late as a comparison of boards would.
type gossip struct {
	fleet *simulatedFleet
	self  string

	mu       sync.Mutex
	held     map[string]notice.Notice
	handlers map[string]func(notice.Notice) bool
}

func (g *gossip) Handle(topic string, handler func(notice.Notice) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.handlers == nil {
		g.handlers = map[string]func(notice.Notice) bool{}
	}
	g.handlers[topic] = handler
}

func (g *gossip) Publish(n notice.Notice) {
	if !g.put(n) {
		return
	}
	for _, name := range g.fleet.names {
		delay := time.Duration(20+rand.IntN(200)) * time.Millisecond
		if rand.IntN(100) == 0 {
			delay = 600 * time.Millisecond
		}
		go (&delivery{from: g.self, to: g.fleet.hosts[name].notices.(*gossip), notice: n, delay: delay}).run()
	}
}

// Keep leaves a notice to the comparison of boards.
func (g *gossip) Keep(n notice.Notice) { g.Publish(n) }

func (g *gossip) put(n notice.Notice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held, known := g.held[n.Subject]; known && held.Version >= n.Version {
		return false
	}
	g.held[n.Subject] = n
	return true
}

func (g *gossip) Tell(string, string, string) {}

func (g *gossip) Fetch(_ context.Context, name, _, subject string) error {
	time.Sleep(2 * linkDelay)
	other := g.fleet.hosts[name].notices.(*gossip)
	other.mu.Lock()
	n, known := other.held[subject]
	other.mu.Unlock()
	if known && g.put(n) {
		g.handlers[n.Topic](n)
	}
	return nil
}

// delivery brings one notice to one host.
type delivery struct {
	from   string
	to     *gossip
	notice notice.Notice
	delay  time.Duration
}

func (d *delivery) run() {
	time.Sleep(d.delay)
	if d.to.fleet.isLost(d.from, d.to.self) {
		return
	}
	if d.to.put(d.notice) {
		d.to.handlers[d.notice.Topic](d.notice)
	}
}

func TestCallsOfTheStoreDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range fleetSizes {
		playFleet(t, size, func(is *is.I, f *simulatedFleet) {
			calls := f.store.callsIn(20 * time.Second)
			t.Logf("%d hosts: %d calls in 20 s", size, calls)
			is.True(calls <= 66) // 200 a minute, of two provers and four listeners
			is.Equal(f.serving(), size)
		})
	}
}

func TestChangesReachAllHostsInTimeThoughReadersAreTurnedAway(t *testing.T) {
	for _, size := range fleetSizes {
		for _, turnedAway := range []int{0, provers, provers + listeners - 1} {
			playFleet(t, size, func(is *is.I, f *simulatedFleet) {
				f.turnAway(turnedAway)
				time.Sleep(500 * time.Millisecond)
				f.store.write("endpoints/i-2", []byte("{}"))
				took := f.timeUntil(func(s *Service) bool { return len(s.presentNames()) == 2 })
				t.Logf("%d hosts, %d readers turned away: endpoint known after %v", size, turnedAway, took)
				is.True(took <= leavingBound*7/10)
				f.store.write("configuration", []byte("2"))
				bound := applyBound * 7 / 10
				if turnedAway > 0 {
					bound += outerBound * 7 / 10
				}
				took = f.timeUntil(func(s *Service) bool { return s.release.InForceVersion() == 2 })
				t.Logf("%d hosts, %d readers turned away: configuration in force after %v", size, turnedAway, took)
				is.True(took <= bound)
				is.Equal(f.serving(), size)
			})
		}
	}
}

func TestHostsStandInForReadersThatAreTurnedAway(t *testing.T) {
	for _, size := range fleetSizes {
		playFleet(t, size, func(is *is.I, f *simulatedFleet) {
			f.turnAway(min(12, size-1))
			for range 100 {
				time.Sleep(200 * time.Millisecond)
				is.Equal(f.acceptingKeys(), size)
			}
			calls := f.store.callsIn(20 * time.Second)
			t.Logf("%d hosts, one or some in touch: %d calls in 20 s", size, calls)
			is.True(calls <= 20*20)
		})
	}
}

func TestStoreThatIsAwayGetsFewCallsAndIsFoundAgainSoon(t *testing.T) {
	for _, size := range fleetSizes {
		playFleet(t, size, func(is *is.I, f *simulatedFleet) {
			f.store.mu.Lock()
			f.store.down = true
			close(f.store.changed)
			f.store.changed = make(chan struct{})
			f.store.mu.Unlock()
			calls := f.store.callsIn(20 * time.Second)
			t.Logf("%d hosts: %d calls in 20 s without the store", size, calls)
			is.True(calls <= 20*60)  // readSpacing, and the readers' own
			is.Equal(f.serving(), 0) // nobody knows which keys were revoked
			f.store.mu.Lock()
			f.store.down = false
			f.store.mu.Unlock()
			took := f.timeUntil(func(s *Service) bool { return s.release.AcceptsKeys() })
			t.Logf("%d hosts: all serve %v after the store is back", size, took)
			is.True(took <= 2*time.Second)
		})
	}
}

// Guards against requests to an endpoint that has left from a host that doesn't read the
// store, when all that read it are lost at the moment of the leaving.
func TestHostsLearnOfALeavingInTimeThoughAllReadersAreLost(t *testing.T) {
	for _, size := range fleetSizes {
		for _, lost := range []int{provers + listeners, size - 1} {
			playFleet(t, size, func(is *is.I, f *simulatedFleet) {
				f.store.write("endpoints/i-2", []byte("{}"))
				f.timeUntil(func(s *Service) bool { return len(s.presentNames()) == 2 })
				time.Sleep(10 * time.Second)
				ranked := host.Ranked(f.names, "readers", size)
				f.lose(ranked[:lost])
				f.store.turnAwayAll(ranked[:lost])
				f.store.write("endpoints/i-2", nil)
				took := f.timeUntil(func(s *Service) bool { return f.isLost(s.common.Self.Name) || s.release.HasLeft("i-2") })
				t.Logf("%d hosts, %d lost: the others know after %v", size, lost, took)
				is.True(took <= leavingBound-budget{bound: leavingBound}.forward())
				calls := f.store.callsIn(10 * time.Second)
				t.Logf("%d hosts, %d lost: %d calls in 10 s after it", size, lost, calls)
			})
		}
	}
}

func TestAllStartTogetherWithFewCalls(t *testing.T) {
	for _, size := range fleetSizes {
		playFleet(t, size, func(is *is.I, f *simulatedFleet) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			is.True(f.store.calls <= 60) // in the first four seconds
		})
	}
}
