package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/document"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// namesAreCurrent checks the names kept against those that the table gives now.
func namesAreCurrent(is *is.I, s *Service) {
	is.Helper()
	ready := s.readyNames()
	owners := s.largeHosts(ready)
	is.Equal(s.ReadyNames(), ready)
	is.Equal(s.OwnerNames(), owners)
	for _, service := range []string{"assistant-pool", "godwit-atelier"} {
		is.Equal(s.OwnerOf(service), host.Ranked(owners, service, 1)[0])
	}
}

// randomRow returns a row of one of eight hosts.
func randomRow(r *rand.Rand) row {
	return row{
		Name: fmt.Sprintf("entry-%d", r.IntN(8)+2), Incarnation: 1 + int64(r.IntN(3)), Address: "127.0.0.1:1",
		Phase: Phase(r.IntN(3)), State: State(r.IntN(3)), Revision: r.Uint64N(50), Capacity: 100 * uint32(r.IntN(8)),
	}
}

func TestCandidatesAreThoseOfTheTableAfterAnyChange(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 0))
			s := readyHost(settings.Settings{Name: "entry-1", DeadAfter: document.Duration(time.Second)})
			for range 500 {
				name := fmt.Sprintf("entry-%d", r.IntN(8)+2)
				switch r.IntN(6) {
				case 0, 1:
					s.merge(randomRow(r))
				case 2:
					s.Avoid(name)
				case 3:
					s.suspect(name, 1+int64(r.IntN(3)))
				case 4:
					s.expireSuspicions()
				case 5:
					time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
				}
				namesAreCurrent(is, s)
			}
			s.SetPhase(Leaving)
			namesAreCurrent(is, s)
		})
	}
}

func TestHostThatStartsIsACandidateOnceItIsReady(t *testing.T) {
	is := is.New(t)
	s := tableOf70()
	s.self.row.Phase = Starting
	s.candidates.invalidate()
	is.Equal(len(s.ReadyNames()), 69)
	s.SetPhase(Ready)
	is.Equal(len(s.ReadyNames()), 70)
	s.SetPhase(Leaving)
	is.Equal(len(s.ReadyNames()), 69)
}

func TestAvoidedHostIsACandidateAgainAtOnceWhenThatEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := readyHost(settings.Settings{Name: "entry-1"}, row{Name: "entry-2"}, row{Name: "entry-3"})
		is.Equal(len(s.ReadyNames()), 3)
		s.Avoid("entry-2")
		is.Equal(s.ReadyNames(), []string{"entry-1", "entry-3"})
		time.Sleep(avoidInterval / 2)
		s.Avoid("entry-3")
		is.Equal(s.ReadyNames(), []string{"entry-1"})
		time.Sleep(avoidInterval/2 - time.Nanosecond)
		is.Equal(s.ReadyNames(), []string{"entry-1"})
		time.Sleep(time.Nanosecond)
		is.Equal(s.ReadyNames(), []string{"entry-1", "entry-2"})
		time.Sleep(avoidInterval / 2)
		is.Equal(s.ReadyNames(), []string{"entry-1", "entry-2", "entry-3"})
	})
}

func BenchmarkKeptOwnerOf70(b *testing.B) {
	s := tableOf70()
	b.ReportAllocs()
	for b.Loop() {
		_ = s.OwnerOf("godwit-atelier")
	}
}
