package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

var errCut = errors.New("cut by the test")

// network is an in-memory network between hosts. A call takes a millisecond each
// way. A call over a cut link, or from or to a paused or unknown host, ends with
// its deadline.
type network struct {
	// platform is the Platform setting of the hosts; nil for none.
	platform *settings.Platform
	// starting leaves the hosts in the phase Starting.
	starting bool
	mu       sync.Mutex
	hosts    map[string]*Service
	cut      map[[2]string]bool
	paused   map[string]bool
	bytes    int
}

// networkPort is the transport of one host over the network.
type networkPort struct {
	network *network
	self    host.Identity
}

func (p *networkPort) Call(ctx context.Context, address, _ string, body []byte) ([]byte, error) {
	net := p.network
	net.mu.Lock()
	target := net.hosts[address]
	blocked := target == nil || net.hosts[p.self.Name] == nil || net.cut[[2]string{p.self.Name, address}] || net.paused[address] || net.paused[p.self.Name]
	net.bytes += len(body)
	net.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(time.Millisecond)
	reply, err := target.handle(p.self, body)
	time.Sleep(time.Millisecond)
	net.mu.Lock()
	net.bytes += len(reply)
	net.mu.Unlock()
	return reply, err
}

func (net *network) start(ctx context.Context, name string, incarnation int64) *Service {
	c := &common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		Self: host.Identity{Name: name, Incarnation: incarnation},
		Settings: settings.Settings{
			PeerListen: name, DataCentre: "lorient",
			Heartbeat: document.Duration(500 * time.Millisecond), DeadAfter: document.Duration(4 * time.Second),
			Platform: net.platform,
		},
	}
	s := New(c)
	s.peers = &networkPort{network: net, self: c.Self}
	s.started = time.Now()
	net.mu.Lock()
	if net.hosts == nil {
		net.hosts, net.cut, net.paused = map[string]*Service{}, map[[2]string]bool{}, map[string]bool{}
	}
	net.hosts[name] = s
	net.mu.Unlock()
	if !net.starting {
		s.SetPhase(Ready)
	}
	go s.run(ctx)
	return s
}

// fleet starts n hosts. The first is on the host list of each of the others.
func (net *network) fleet(ctx context.Context, n int) []*Service {
	hosts := make([]*Service, n)
	for i := range hosts {
		hosts[i] = net.start(ctx, fmt.Sprintf("entry-%d", i), 1)
		if i > 0 {
			hosts[i].addListed("entry-0")
		}
	}
	return hosts
}

// readyFleet starts n hosts, and checks that each knows all as ready within d.
func (net *network) readyFleet(ctx context.Context, is *is.I, n int, d time.Duration) []*Service {
	is.Helper()
	hosts := net.fleet(ctx, n)
	is.True(eventually(d, func() bool { return allSeeReady(hosts, n) }))
	return hosts
}

// without returns the hosts but the one at the index.
func without(hosts []*Service, index int) []*Service {
	return slices.Delete(slices.Clone(hosts), index, index+1)
}

// addListed adds hosts to the host list of this one.
func (s *Service) addListed(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.listed = append(s.listed, hostListItem{Name: name, Address: name, Role: entryRole, State: liveState})
	}
}

func (net *network) set(change func()) {
	net.mu.Lock()
	defer net.mu.Unlock()
	change()
}

// allSeeReady reports whether every host has n ready names.
func allSeeReady(hosts []*Service, n int) bool {
	for _, h := range hosts {
		if len(h.ReadyNames()) != n {
			return false
		}
	}
	return true
}

// eventually reports whether condition returns true before d has passed.
func eventually(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// runSynctest runs a test in a synctest bubble, where time is simulated, and
// stops the hosts at its end.
func runSynctest(t *testing.T, run func(is *is.I, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			// Calls in progress end at their own deadlines.
			time.Sleep(5 * time.Second)
		}()
		run(is.New(t), ctx)
	})
}

func TestKilledHostIsLostByAllAndTheOthersAreNot(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		var net network
		hosts := net.readyFleet(ctx, is, 9, 10*time.Second)
		net.set(func() { delete(net.hosts, "entry-5") })
		rest := without(hosts, 5)
		is.True(eventually(8*time.Second, func() bool { return allSeeReady(rest, 8) })) // the killed host has lost its role
		is.True(eventually(8*time.Second, func() bool { return hosts[3].IncarnationEnded(hosts[5].common.Self) }))
		time.Sleep(30 * time.Second)
		is.Equal(metrics.GetOrRegisterCounter("membership.lost", hosts[3].common.Metrics).Count(), int64(1)) // reported once
	})
}

func TestCutLinkBetweenTwoHostsCostsNoRole(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		var net network
		hosts := net.readyFleet(ctx, is, 6, 10*time.Second)
		net.set(func() { net.cut[[2]string{"entry-1", "entry-2"}] = true })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			is.True(allSeeReady(hosts, 6)) // others reach it, so it keeps its role
		}
	})
}

func TestPausedHostRefutesItsDeathAndReturns(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		var net network
		hosts := net.readyFleet(ctx, is, 6, 10*time.Second)
		net.set(func() { net.paused["entry-2"] = true })
		others := without(hosts, 2)
		is.True(eventually(8*time.Second, func() bool { return allSeeReady(others, 5) }))
		is.True(eventually(10*time.Second, func() bool { return hosts[0].IncarnationEnded(hosts[2].common.Self) }))
		net.set(func() { delete(net.paused, "entry-2") })
		is.True(eventually(30*time.Second, func() bool { return allSeeReady(hosts, 6) }))
	})
}

func TestRestartedHostEndsItsEarlierIncarnation(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		var net network
		hosts := net.readyFleet(ctx, is, 5, 10*time.Second)
		earlier := hosts[4].common.Self
		restarted := net.start(ctx, "entry-4", 2)
		restarted.addListed("entry-0")
		is.True(eventually(10*time.Second, func() bool { return hosts[1].IncarnationEnded(earlier) }))
		is.True(!hosts[1].IncarnationEnded(restarted.common.Self))
	})
}

func TestPartitionedHalvesRejoin(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		var net network
		hosts := net.fleet(ctx, 8)
		for _, h := range hosts {
			for _, other := range hosts {
				h.addListed(other.common.Self.Name)
			}
		}
		is.True(eventually(10*time.Second, func() bool { return allSeeReady(hosts, 8) }))
		setPartition := func(cut bool) {
			net.set(func() {
				for i := range 4 {
					for k := 4; k < 8; k++ {
						net.cut[[2]string{fmt.Sprintf("entry-%d", i), fmt.Sprintf("entry-%d", k)}] = cut
						net.cut[[2]string{fmt.Sprintf("entry-%d", k), fmt.Sprintf("entry-%d", i)}] = cut
					}
				}
			})
		}
		setPartition(true)
		is.True(eventually(time.Minute, func() bool { return allSeeReady(hosts, 4) }))
		time.Sleep(time.Hour)
		setPartition(false)
		is.True(eventually(time.Minute, func() bool { return allSeeReady(hosts, 8) }))
	})
}

func TestVersionReachesAllHosts(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		var net network
		hosts := net.readyFleet(ctx, is, 30, 20*time.Second)
		hosts[7].SetVersion(12)
		is.True(eventually(5*time.Second, func() bool {
			for _, h := range hosts {
				received := false
				for _, m := range h.Members() {
					received = received || m.Version == 12
				}
				if !received {
					return false
				}
			}
			return true
		}))
	})
}

func TestBytesOfAQuietFleetDoNotGrowWithIt(t *testing.T) {
	// The users allow 21 KB/s for each host. The bound is half of that, because
	// each byte is both sent and received.
	const bound = 21 * 1024 / 2
	for _, n := range []int{9, 60} {
		runSynctest(t, func(is *is.I, ctx context.Context) {
			var net network
			net.readyFleet(ctx, is, n, time.Minute)
			time.Sleep(time.Minute)
			net.set(func() { net.bytes = 0 })
			time.Sleep(time.Minute)
			net.mu.Lock()
			bytesPerSecond := net.bytes / n / 60
			net.mu.Unlock()
			t.Logf("%d hosts: %d bytes/s for each", n, bytesPerSecond)
			is.True(bytesPerSecond < bound)
		})
	}
}

func TestMalformedRowsChangeNothing(t *testing.T) {
	runSynctest(t, func(is *is.I, ctx context.Context) {
		var net network
		hosts := net.readyFleet(ctx, is, 2, 10*time.Second)
		before := hosts[0].Members()
		for _, body := range [][]byte{nil, []byte("GET /"), {0xa1, 0x03, 0x81, 0xa0}} {
			_, err := hosts[0].handle(host.Identity{Name: "entry-9", Incarnation: 1}, body)
			is.True(err != nil)
		}
		is.Equal(hosts[0].Members(), before)
	})
}
