package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
)

// fleetOf returns ready hosts that know each other and have nothing more to say.
func fleetOf(n int) []*Service {
	hosts := make([]*Service, n)
	for i := range hosts {
		name := fmt.Sprintf("edge-quimper-%d", i)
		hosts[i] = New(&common.Common{Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Self: host.Identity{Name: name, Incarnation: 1}})
		hosts[i].self.row.Address = fmt.Sprintf("10.2.64.%d:7946", i)
		hosts[i].started = time.Now()
		hosts[i].SetPhase(Ready)
		hosts[i].SetVersion(1)
	}
	for _, a := range hosts {
		for _, b := range hosts {
			a.merge(b.self.row)
		}
	}
	for _, s := range hosts {
		s.self.transmitsLeft = 0
		for _, e := range s.table {
			e.transmitsLeft = 0
		}
	}
	return hosts
}

// probeRound lets each host probe another one, as in a heartbeat, and exchange all rows
// with it when that is due. It returns the rows sent.
func probeRound(hosts []*Service) int {
	rows := 0
	for i, a := range hosts {
		b := hosts[(i+1+rand.IntN(len(hosts)-1))%len(hosts)]
		rows += deliver(a, b, message{Kind: probeKind})
		rows += deliver(b, a, message{Kind: probeKind})
		if a.syncDue(b.digest()) {
			rows += deliver(a, b, message{Kind: syncKind, Rows: a.allRows()})
			rows += deliver(b, a, message{Kind: syncKind, Rows: b.allRows()})
		}
	}
	return rows
}

// deliver passes a message from one host to another, and returns the rows in it.
func deliver(from, to *Service, m message) int {
	m = from.addUpdates(m)
	data, _ := cbor.Marshal(m)
	_, _ = to.receive(data)
	return len(m.Rows)
}

func TestVersionThatDidNotChangeIsSpreadToAllHostsAgain(t *testing.T) {
	is := is.New(t)
	hosts := fleetOf(73)
	for _, s := range hosts {
		s.SetVersion(1) // as at each change of an endpoint
	}
	rows, rounds := 0, 0
	for n := probeRound(hosts); n > 0; n = probeRound(hosts) {
		rows += n
		rounds++
	}
	t.Logf("%d rows sent by each host in %d rounds", rows/len(hosts), rounds)
	is.Equal(rows, 0) // nothing changed
}

func TestLeavingHostIsKnownLateWhileEndpointsChange(t *testing.T) {
	is := is.New(t)
	const heartbeatsPerChange = 4 // one change of an endpoint a second
	worst := 0
	for range 3 {
		hosts := fleetOf(73)
		leftAt, known := 3*heartbeatsPerChange, 0
		for round := 0; known < len(hosts)-1; round++ {
			if round%heartbeatsPerChange == 0 {
				for _, s := range hosts {
					s.SetVersion(1)
				}
			}
			if round == leftAt {
				hosts[0].SetPhase(Leaving)
			}
			probeRound(hosts)
			known = 0
			for _, s := range hosts[1:] {
				if s.table[hosts[0].self.row.Name].row.Phase == Leaving {
					known++
				}
			}
			worst = max(worst, round-leftAt+1)
		}
	}
	t.Logf("known by all hosts after %d heartbeats at worst", worst)
	is.True(worst <= propagationHeartbeats)
}
