package notice

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/membership"
)

// latency is the time that a message between two hosts takes, one way.
const latency = 2 * time.Millisecond

// network connects the hosts of a test fleet.
type network struct {
	hosts map[string]*Service
	// cutOff holds the names of hosts that nothing reaches.
	cutOff map[string]bool
	calls  atomic.Int64
	bytes  atomic.Int64
}

// newNetwork returns a network of running hosts that ends with the test.
func newNetwork(t *testing.T, size int) *network {
	n := &network{hosts: map[string]*Service{}, cutOff: map[string]bool{}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * latency) // until the calls under way have ended
	})
	for i := range size {
		name := fmt.Sprint("entry-", i)
		s := New(&common.Common{Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Self: host.Identity{Name: name, Incarnation: 1}})
		s.peers, s.members, s.ctx = &link{network: n, from: name}, n, ctx
		s.Handle("fact", func(Notice) bool { return true })
		n.hosts[name] = s
		go s.run(ctx)
	}
	return n
}

func (n *network) Members() []membership.Member {
	var members []membership.Member
	for name := range n.hosts {
		members = append(members, membership.Member{Identity: host.Identity{Name: name, Incarnation: 1}, Address: name})
	}
	return members
}

func (n *network) Address(name string) (string, bool) { return name, n.hosts[name] != nil }

// link carries the calls of one host.
type link struct {
	network *network
	from    string
}

func (l *link) Call(_ context.Context, address, _ string, body []byte) ([]byte, error) {
	l.network.calls.Add(1)
	l.network.bytes.Add(int64(len(body)))
	time.Sleep(latency)
	if l.network.cutOff[address] || l.network.cutOff[l.from] {
		return nil, errors.New("cut off")
	}
	defer time.Sleep(latency)
	return l.network.hosts[address].receive(host.Identity{Name: l.from, Incarnation: 1}, body)
}

// knowing returns how many hosts hold a subject at a version.
func (n *network) knowing(subject string, version int64) int {
	count := 0
	for _, s := range n.hosts {
		s.mu.Lock()
		v, held := s.board.version(key{topic: "fact", subject: subject}, time.Now())
		s.mu.Unlock()
		if held && v == version {
			count++
		}
	}
	return count
}

func fact(subject string, version int64) Notice {
	return Notice{Topic: "fact", Subject: subject, Version: version, Body: []byte("body")}
}

func TestNoticeReachesTheFleetInTime(t *testing.T) {
	for _, size := range []int{2, 9, 70, 350} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(t, size)
			n.hosts["entry-0"].Publish(fact("i-1", 1))
			time.Sleep(250 * time.Millisecond) // an eighth of the shortest bound on leavings, 2 s
			is.True(n.knowing("i-1", 1) >= size*95/100)
			is.True(n.calls.Load() <= int64(fanOut*size))
		})
	}
}

func TestHostsThatLearnAFactAtTheSameMomentSendItSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 70)
		for _, s := range n.hosts {
			s.Publish(fact("i-1", 1))
		}
		time.Sleep(time.Second)
		is.True(n.calls.Load() < 70*fanOut*3/4)
	})
}

func TestHostThatMissedANoticeGetsItByComparison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 5)
		n.cutOff["entry-4"] = true
		n.hosts["entry-0"].Publish(fact("i-1", 3))
		n.hosts["entry-4"].Publish(fact("i-2", 1))
		time.Sleep(time.Second)
		is.Equal(n.knowing("i-1", 3), 4)
		synctest.Wait()
		delete(n.cutOff, "entry-4")
		for range 3 { // the probes of a second
			n.hosts["entry-4"].CheckDigest("entry-1", n.hosts["entry-1"].Digest())
			time.Sleep(differenceGrace)
		}
		time.Sleep(time.Second)
		is.Equal(n.knowing("i-1", 3), 5)
		is.Equal(n.knowing("i-2", 1), 5)
	})
}

func TestComparisonsThatChangeNothingBecomeRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 2)
		a, b := n.hosts["entry-0"], n.hosts["entry-1"]
		b.Handle("fact", func(Notice) bool { return false })
		a.Keep(fact("i-1", 1))
		for range 4 * 60 {
			a.CheckDigest("entry-1", b.Digest())
			time.Sleep(250 * time.Millisecond)
		}
		is.True(n.calls.Load() < 40) // of a minute's 240 probes, two calls a comparison
	})
}

func TestOlderVersionDoesNotReplaceANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 3)
		n.hosts["entry-0"].Publish(fact("i-1", 5))
		time.Sleep(time.Second)
		n.hosts["entry-1"].Publish(fact("i-1", 4))
		time.Sleep(time.Second)
		is.Equal(n.knowing("i-1", 5), 3)
	})
}

func TestRefusedNoticeIsNeitherKeptNorSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 3)
		for _, s := range n.hosts {
			s.Handle("fact", func(Notice) bool { return false })
		}
		n.hosts["entry-0"].Publish(fact("i-1", 1))
		time.Sleep(time.Second)
		is.Equal(n.knowing("i-1", 1), 1) // by the host itself
		is.Equal(n.calls.Load(), int64(2))
	})
}

func TestNoticeEndsWithItsLifeAndAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 2)
		short := fact("i-1", 1)
		short.Life, short.Age = time.Minute, time.Second
		n.hosts["entry-0"].Publish(short)
		time.Sleep(30 * time.Second)
		is.Equal(n.knowing("i-1", 1), 2)
		held, _ := n.hosts["entry-1"].board.get(short.key(), time.Now())
		is.True(held.Age >= 30*time.Second && held.Life <= 30*time.Second+latency)
		time.Sleep(31 * time.Second)
		is.Equal(n.knowing("i-1", 1), 0)
		is.Equal(n.hosts["entry-0"].Digest(), uint64(0))
	})
}

func TestBoardStaysWithinItsBounds(t *testing.T) {
	is := is.New(t)
	var b board
	now := time.Now()
	for i := range 2 * maxNotices {
		b.put(fact(fmt.Sprint("i-", i), 1), now)
	}
	is.Equal(len(b.entries), maxNotices)
	is.True(b.put(fact("i-1", 2), now)) // a full board still takes newer versions
	large := fact("i-1", 3)
	large.Body = make([]byte, maxBodyBytes+1)
	is.True(!b.put(large, now))
	is.True(!b.put(fact(strings.Repeat("n", maxNameBytes+1), 1), now))
	is.True(!b.put(Notice{Topic: "fact"}, now))
	negative := fact("i-1", 4)
	negative.Age = -1
	is.True(!b.put(negative, now))
}

func TestMalformedMessageIsRefused(t *testing.T) {
	is := is.New(t)
	s := New(&common.Common{Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	_, err := s.receive(host.Identity{Name: "entry-9"}, []byte{0xff, 1})
	is.True(err != nil)
}

func TestToldHostLearnsTheFactAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 2)
		n.hosts["entry-0"].Keep(fact("i-1", 1))
		n.hosts["entry-0"].Tell("entry-1", "fact", "i-1")
		time.Sleep(2 * latency)
		synctest.Wait()
		is.Equal(n.knowing("i-1", 1), 2)
	})
}

func TestLargeNoticeGoesToEachHostAboutOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 70)
		large := fact("i-1", 1)
		large.Body = make([]byte, 20*offeredBodyBytes)
		n.hosts["entry-0"].Publish(large)
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(n.knowing("i-1", 1) >= 65) // comparing boards brings it to the rest
		is.True(n.bytes.Load() < int64(80*len(large.Body)))
	})
}

func TestHostFetchesWhatAnotherHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 2)
		n.hosts["entry-0"].Keep(fact("i-1", 3))
		is.NoErr(n.hosts["entry-1"].Fetch(t.Context(), "entry-0", "fact", "i-1"))
		is.Equal(n.knowing("i-1", 3), 2)
		is.NoErr(n.hosts["entry-1"].Fetch(t.Context(), "entry-0", "fact", "i-2")) // it holds none
		is.True(n.hosts["entry-1"].Fetch(t.Context(), "entry-9", "fact", "i-1") != nil)
	})
}
