package membership

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// readyHost returns a ready host that knows other ready hosts by their rows.
func readyHost(own settings.Settings, others ...row) *Service {
	s := New(&common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Settings: own, Self: host.Identity{Name: own.Name, Incarnation: 1},
	})
	s.SetPhase(Ready)
	for _, r := range others {
		r.Incarnation, r.Address, r.Phase = 1, "127.0.0.1:1", Ready
		s.table[r.Name] = &tableRow{row: r}
	}
	return s
}

func TestSmallHostsOwnNoServiceBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	large, small := settings.Settings{Name: "entry-1", ProcessorShare: 0.8, ProcessorCores: 1}, settings.Settings{Name: "entry-2", ProcessorShare: 0.192}
	rows := []row{{Name: "entry-3", Capacity: 192}, {Name: "entry-4", Capacity: 500}}
	isLarge := readyHost(large, append(rows, row{Name: "entry-2", Capacity: small.Capacity()})...)
	isSmall := readyHost(small, append(rows, row{Name: "entry-1", Capacity: large.Capacity()})...)
	is.Equal(isLarge.OwnerNames(), []string{"entry-1", "entry-4"})
	is.Equal(isSmall.OwnerNames(), isLarge.OwnerNames()) // all hosts choose the same owners
	dead := isSmall.table["entry-1"].row
	dead.State = Dead
	isSmall.merge(dead)
	isSmall.Avoid("entry-4")
	is.Equal(isSmall.OwnerNames(), []string{"entry-2", "entry-3"}) // of the rest, the largest
}

func TestHostsOfUnknownSizeOwnServicesAlike(t *testing.T) {
	is := is.New(t)
	s := readyHost(settings.Settings{Name: "entry-1"}, row{Name: "entry-2"}, row{Name: "entry-3"})
	is.Equal(s.OwnerNames(), s.ReadyNames())
}
