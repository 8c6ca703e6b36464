package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

func TestUnknownHostIsContactedLessAndLessOften(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		is := is.New(t)
		s := readyHost(settings.Settings{Name: "entry-1"})
		s.SetListedHosts([]ListedHost{{Address: "127.0.0.1:9"}})
		attempts := 0
		for range 200 {
			attempts += len(s.unknownHosts())
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(attempts, 8) // in ten seconds: at 0, 0.25, 0.75, 1.75 s, and every 2 s from then on
	})
}

func TestDeadHostIsContactedUnlessItLeft(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		is := is.New(t)
		s := readyHost(settings.Settings{Name: "entry-1"}, row{Name: "entry-2", State: Dead}, row{Name: "entry-3", State: Dead})
		left := s.table["entry-3"]
		left.row.Phase, left.row.Address = Leaving, "127.0.0.1:3"
		is.Equal(s.unknownHosts(), []string{"127.0.0.1:1"})
		is.Equal(len(s.unknownHosts()), 0)
		alive := s.table["entry-2"].row
		alive.Revision, alive.State = 1, Alive
		s.merge(alive)
		is.Equal(len(s.contacts), 0) // it is contacted at once if it is lost again
	})
}

func TestHostThatHasNotMetTheListedOnesCountsThemInItsShare(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		is := is.New(t)
		s := readyHost(settings.Settings{Name: "entry-1", Heartbeat: 1 << 30, PeerListen: "127.0.0.1:7"})
		s.self.row.Address, s.started = "127.0.0.1:7", time.Now()
		s.SetListedHosts([]ListedHost{{Address: "127.0.0.1:7"}, {Address: "127.0.0.1:8"}, {Address: "127.0.0.1:9"}})
		is.Equal(s.ReachableShare(), 1.0/3) // the others may grant from the same quotas
		s.merge(row{Name: "entry-2", Incarnation: 1, Address: "127.0.0.1:8", Phase: Ready})
		is.Equal(s.ReachableShare(), 2.0/3)
	})
}

func TestStoreReadersAreLargeHostsSpreadOverDataCentres(t *testing.T) {
	is := is.New(t)
	var others []row
	for _, r := range []struct{ name, dataCentre string }{
		{"entry-2", "a"}, {"entry-3", "a"}, {"entry-4", "b"}, {"entry-5", "b"}, {"entry-6", "c"}, {"entry-7", "c"},
	} {
		others = append(others, row{Name: r.name, DataCentre: r.dataCentre, Capacity: 800})
	}
	others = append(others, row{Name: "entry-8", DataCentre: "d", Capacity: 192})
	s := readyHost(settings.Settings{Name: "entry-1", DataCentre: "a", ProcessorShare: 0.8}, others...)
	readers := s.StoreReaders()
	is.Equal(len(readers), 7) // without the small host
	centres := map[string]bool{}
	for _, name := range readers[:3] {
		centres[s.rowOf(name).DataCentre] = true
	}
	is.Equal(len(centres), 3)
	suspect := s.table[readers[0]]
	if suspect == nil {
		suspect = s.table[readers[1]]
	}
	r := suspect.row
	r.State = Suspect
	s.merge(r)
	is.Equal(len(s.StoreReaders()), 6)
}
