package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

// directLink passes the calls of one host to another one.
type directLink struct{ to *Service }

func (l *directLink) Call(_ context.Context, _, _ string, body []byte) ([]byte, error) {
	return l.to.handle(host.Identity{Name: "entry-1", Incarnation: 1}, body)
}

// reading is what a host says of its reading of the store.
type reading bool

func (r reading) ReadsStore() bool { return bool(r) }

func TestOnlyAnswersOfHostsThatReadTheStoreCountAsWordOfAReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			name   string
			reader StoreReader
			counts bool
		}{{"reads", reading(true), true}, {"does not read", reading(false), false}, {"does not say", nil, true}} {
			is := is.New(t)
			other := readyHost(settings.Settings{Name: "entry-2"})
			other.storeReader = test.reader
			s := readyHost(settings.Settings{Name: "entry-1"}, row{Name: "entry-2"})
			s.peers = &directLink{to: other}
			s.self.row.Address, other.self.row.Address = "127.0.0.1:1", "127.0.0.1:2"
			is.True(s.LastReader().IsZero())
			time.Sleep(time.Second)
			is.NoErr(s.AskProof(t.Context(), "entry-2"))
			is.Equal(!s.LastReader().IsZero(), test.counts) // by a question
			time.Sleep(time.Second)
			(&probe{service: s, target: s.table["entry-2"].row}).run(t.Context())
			is.Equal(s.LastReader().Equal(time.Now()), test.counts) // by a probe
		}
	})
}

func TestSuccessorsAreTheLiveHostsThatRankFirst(t *testing.T) {
	is := is.New(t)
	rows := []row{{Name: "entry-2"}, {Name: "entry-3"}, {Name: "entry-4"}, {Name: "entry-5"}}
	s := readyHost(settings.Settings{Name: "entry-1"}, rows...)
	ranked := host.Ranked([]string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"}, "pool", 5)
	var others []string
	for _, name := range ranked {
		if name != "entry-1" {
			others = append(others, name)
		}
	}
	is.Equal(s.Successors("pool", 3), others[:3])
	is.Equal(s.Successors("pool", 9), others)
	s.table[others[0]].row.Phase = Starting // it may own the service as soon as it is ready
	is.Equal(s.Successors("pool", 2), others[:2])
	s.suspect(others[0], 1)
	s.table[others[1]].row.Phase = Leaving
	is.Equal(s.Successors("pool", 2), others[2:])
	is.Equal(len(readyHost(settings.Settings{Name: "entry-1"}).Successors("pool", 3)), 0)
}
