package notice

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/godwitmoord/pkg/common"
)

// probeInterval is the time between two probes of a host.
const probeInterval = 500 * time.Millisecond

// probeFor makes a host probe the others in turn.
func (n *network) probeFor(name string, duration time.Duration) {
	others := []string{"entry-0", "entry-1"}
	for i := range int(duration / probeInterval) {
		other := others[i%len(others)]
		n.hosts[name].CheckDigest(other, n.hosts[other].Digest())
		time.Sleep(probeInterval)
	}
}

func TestHostThatLacksAnOldNoticeMissesANewOneForHalfAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork(t, 3)
		// A host that started after the removal of an entry refuses the notice of it.
		n.hosts["entry-2"].Handle("fact", func(n Notice) bool { return n.Subject != "i-removed" })
		n.hosts["entry-0"].Publish(fact("i-removed", 1))
		n.probeFor("entry-2", 70*time.Second)
		n.cutOff["entry-2"] = true
		n.hosts["entry-0"].Publish(fact("i-1", 3))
		time.Sleep(probeInterval)
		synctest.Wait()
		delete(n.cutOff, "entry-2")
		start := time.Now()
		for n.knowing("i-1", 3) < 3 && time.Since(start) < time.Minute {
			n.probeFor("entry-2", probeInterval)
		}
		t.Logf("got the notice %v after it could be reached", time.Since(start))
		is.True(time.Since(start) <= 2*time.Second) // the usual bound on leavings
	})
}

func TestNoticeThatComesBeforeItsHandlerIsNeverApplied(t *testing.T) {
	is := is.New(t)
	s := New(&common.Common{Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	notices := []wireNotice{newWireNotice(fact("i-1", 1))}
	s.merge(notices, "entry-1") // from a host that does not know that this one started again
	applied := 0
	s.Handle("fact", func(Notice) bool {
		applied++
		return true
	})
	s.merge(notices, "entry-2")
	is.Equal(applied, 1)
}

func TestComparisonOfALargeFleetFitsAFrame(t *testing.T) {
	const maxFrame = 1 << 20
	const endpoints = 600
	for name, test := range map[string]struct{ notices, key, configuration int }{
		"large configuration": {notices: 2 * endpoints, key: 30, configuration: 500 << 10},
		"full boards":         {notices: maxNotices - 1, key: 60},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// Each host lacks what the other holds.
			a, b := largeBoard("a", test.notices, test.key, test.configuration), largeBoard("b", test.notices, test.key, test.configuration)
			request, err := cbor.Marshal(message{Compare: true, Held: a.held()})
			is.NoErr(err)
			answer, err := cbor.Marshal(b.compare(a.held()))
			is.NoErr(err)
			t.Logf("request %d B, answer %d B", len(request), len(answer))
			is.True(len(request) < maxFrame && len(answer) < maxFrame)
		})
	}
}

// largeBoard returns a service that holds notices about subjects of the given length,
// which begin with prefix, and one large one.
func largeBoard(prefix string, notices, length, large int) *Service {
	s := New(&common.Common{Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	n := fact(prefix, 1)
	n.Body = make([]byte, large)
	s.Keep(n)
	for i := range notices {
		n := fact(fmt.Sprintf("%s%0*d", prefix, length-len(prefix), i), 1<<40)
		n.Body = make([]byte, 250)
		s.Keep(n)
	}
	return s
}

func BenchmarkDigestOfALargeFleet(b *testing.B) {
	s := largeBoard("a", 1200, 30, 0)
	for b.Loop() {
		s.Digest()
	}
}
