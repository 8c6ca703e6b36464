package membership

import (
	"context"
	"errors"
	"fmt"
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

// wire is an in-memory network between hosts. A call takes a millisecond each way.
// A call over a cut link, or from or to a paused or unknown host, ends with its
// deadline.
type wire struct {
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

// port is the transport of one host over the network.
type port struct {
	wire *wire
	self host.Identity
}

func (p *port) Call(ctx context.Context, address, _ string, body []byte) ([]byte, error) {
	w := p.wire
	w.mu.Lock()
	target := w.hosts[address]
	blocked := target == nil || w.hosts[p.self.Name] == nil || w.cut[[2]string{p.self.Name, address}] || w.paused[address] || w.paused[p.self.Name]
	w.bytes += len(body)
	w.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(time.Millisecond)
	reply, err := target.handle(p.self, body)
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	w.bytes += len(reply)
	w.mu.Unlock()
	return reply, err
}

func (w *wire) start(ctx context.Context, name string, incarnation int64) *Service {
	c := &common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		Self: host.Identity{Name: name, Incarnation: incarnation},
		Settings: settings.Settings{
			PeerListen: name, DataCentre: "lorient",
			Heartbeat: document.Duration(500 * time.Millisecond), DeadAfter: document.Duration(4 * time.Second),
			Platform: w.platform,
		},
	}
	s := New(c)
	s.peers = &port{wire: w, self: c.Self}
	s.started = time.Now()
	w.mu.Lock()
	if w.hosts == nil {
		w.hosts, w.cut, w.paused = map[string]*Service{}, map[[2]string]bool{}, map[string]bool{}
	}
	w.hosts[name] = s
	w.mu.Unlock()
	if !w.starting {
		s.SetPhase(Ready)
	}
	go s.run(ctx)
	return s
}

// fleet starts n hosts. The first is on the host list of each of the others.
func (w *wire) fleet(ctx context.Context, n int) []*Service {
	hosts := make([]*Service, n)
	for i := range hosts {
		hosts[i] = w.start(ctx, fmt.Sprintf("entry-%d", i), 1)
		if i > 0 {
			hosts[i].know("entry-0")
		}
	}
	return hosts
}

// know adds hosts to the host list of this one.
func (s *Service) know(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.listed = append(s.listed, listedHost{Name: name, Address: name, Role: entryRole, State: liveState})
	}
}

func (w *wire) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// agree reports whether every host has n ready names.
func agree(hosts []*Service, n int) bool {
	for _, h := range hosts {
		if len(h.ReadyNames()) != n {
			return false
		}
	}
	return true
}

// within reports whether met returns true before d has passed.
func within(d time.Duration, met func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return met()
}

// bubble runs a test in a synctest bubble, where time is simulated, and stops the
// hosts at its end.
func bubble(t *testing.T, run func(is *is.I, ctx context.Context)) {
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
	bubble(t, func(is *is.I, ctx context.Context) {
		var w wire
		hosts := w.fleet(ctx, 9)
		is.True(within(10*time.Second, func() bool { return agree(hosts, 9) }))
		w.set(func() { delete(w.hosts, "entry-5") })
		rest := append(append([]*Service{}, hosts[:5]...), hosts[6:]...)
		is.True(within(8*time.Second, func() bool { return agree(rest, 8) })) // the killed host has lost its role
		is.True(within(8*time.Second, func() bool { return hosts[3].Gone(hosts[5].common.Self) }))
		time.Sleep(30 * time.Second)
		is.Equal(metrics.GetOrRegisterCounter("membership.lost", hosts[3].common.Metrics).Count(), int64(1)) // reported once
	})
}

func TestOneBadLinkCondemnsNobody(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		var w wire
		hosts := w.fleet(ctx, 6)
		is.True(within(10*time.Second, func() bool { return agree(hosts, 6) }))
		w.set(func() { w.cut[[2]string{"entry-1", "entry-2"}] = true })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			is.True(agree(hosts, 6)) // others reach it, so it keeps its role
		}
	})
}

func TestPausedHostComesBackByItsOwnWord(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		var w wire
		hosts := w.fleet(ctx, 6)
		is.True(within(10*time.Second, func() bool { return agree(hosts, 6) }))
		w.set(func() { w.paused["entry-2"] = true })
		others := append(append([]*Service{}, hosts[:2]...), hosts[3:]...)
		is.True(within(8*time.Second, func() bool { return agree(others, 5) }))
		is.True(within(10*time.Second, func() bool { return hosts[0].Gone(hosts[2].common.Self) }))
		w.set(func() { delete(w.paused, "entry-2") })
		is.True(within(30*time.Second, func() bool { return agree(hosts, 6) }))
	})
}

func TestRestartedHostEndsItsEarlierLife(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		var w wire
		hosts := w.fleet(ctx, 5)
		is.True(within(10*time.Second, func() bool { return agree(hosts, 5) }))
		first := hosts[4].common.Self
		again := w.start(ctx, "entry-4", 2)
		again.know("entry-0")
		is.True(within(10*time.Second, func() bool { return hosts[1].Gone(first) }))
		is.True(!hosts[1].Gone(again.common.Self))
	})
}

func TestHalvesThatLostEachOtherFindTogether(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		var w wire
		hosts := w.fleet(ctx, 8)
		for _, h := range hosts {
			for _, other := range hosts {
				h.know(other.common.Self.Name)
			}
		}
		is.True(within(10*time.Second, func() bool { return agree(hosts, 8) }))
		part := func(cut bool) {
			w.set(func() {
				for i := range 4 {
					for k := 4; k < 8; k++ {
						w.cut[[2]string{fmt.Sprintf("entry-%d", i), fmt.Sprintf("entry-%d", k)}] = cut
						w.cut[[2]string{fmt.Sprintf("entry-%d", k), fmt.Sprintf("entry-%d", i)}] = cut
					}
				}
			})
		}
		part(true)
		is.True(within(time.Minute, func() bool { return agree(hosts, 4) }))
		time.Sleep(time.Hour)
		part(false)
		is.True(within(time.Minute, func() bool { return agree(hosts, 8) }))
	})
}

func TestVersionIsHeardEverywhere(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		var w wire
		hosts := w.fleet(ctx, 30)
		is.True(within(20*time.Second, func() bool { return agree(hosts, 30) }))
		hosts[7].SetVersion(12)
		is.True(within(5*time.Second, func() bool {
			for _, h := range hosts {
				heard := false
				for _, m := range h.Members() {
					heard = heard || m.Version == 12
				}
				if !heard {
					return false
				}
			}
			return true
		}))
	})
}

func TestBytesOfAQuietFleetDoNotGrowWithIt(t *testing.T) {
	// The users allow 21 KB/s for each host. The bound is half of that, because each
	// byte is both sent and received.
	const bound = 21 * 1024 / 2
	for _, n := range []int{9, 60} {
		bubble(t, func(is *is.I, ctx context.Context) {
			var w wire
			hosts := w.fleet(ctx, n)
			is.True(within(time.Minute, func() bool { return agree(hosts, n) }))
			time.Sleep(time.Minute)
			w.set(func() { w.bytes = 0 })
			time.Sleep(time.Minute)
			w.mu.Lock()
			each := w.bytes / n / 60
			w.mu.Unlock()
			t.Logf("%d hosts: %d bytes/s for each", n, each)
			is.True(each < bound)
		})
	}
}

func TestMalformedRowsChangeNothing(t *testing.T) {
	bubble(t, func(is *is.I, ctx context.Context) {
		var w wire
		hosts := w.fleet(ctx, 2)
		is.True(within(10*time.Second, func() bool { return agree(hosts, 2) }))
		before := hosts[0].Members()
		for _, body := range [][]byte{nil, []byte("GET /"), {0xa1, 0x03, 0x81, 0xa0}} {
			_, err := hosts[0].handle(host.Identity{Name: "entry-9", Incarnation: 1}, body)
			is.True(err != nil)
		}
		is.Equal(hosts[0].Members(), before)
	})
}
