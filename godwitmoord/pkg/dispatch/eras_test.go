package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

// restoredStore is a store that came back from an earlier copy, which holds pages.
type restoredStore struct {
	emptyStore
	// at is when this host saw that; zero if it started after it.
	at    time.Time
	pages []grantPage
}

func (s *restoredStore) List(context.Context, string) ([][]byte, error) {
	var values [][]byte
	for _, page := range s.pages {
		data, err := cbor.Marshal(page)
		if err != nil {
			return nil, err
		}
		values = append(values, data)
	}
	return values, nil
}

func (s *restoredStore) RestoredAt() (at time.Time, ever bool) { return s.at, true }

// ownerAfterRestore returns an owner in a deployment that starts for the first time, whose
// store was restored.
func ownerAfterRestore(t *testing.T, store *restoredStore) *Owner {
	o := ownerOnPlatform()
	o.ctx = t.Context()
	o.common.Settings.Platform.FirstStart = true
	o.grantWriter.owner, o.grantWriter.store = o, store
	return o
}

// Guards against a successor that grants a quota once more because the copy holds an older
// page of the owner before, or none.
func TestPagesOfACopyAreNotEnoughForASuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		window := 8 * time.Second
		page := grantPage{
			Service: "pool", Host: "entry-2", Incarnation: 7, Number: 3, Written: time.Now().UnixNano(),
			Usage: []permit.QuotaUsage{{Customer: "tower", Tokens: 300}}, Held: []permit.HeldParts{{Parts: []string{"deadly"}, Left: time.Minute}},
		}
		store := &restoredStore{at: time.Now(), pages: []grantPage{page}}
		o := ownerAfterRestore(t, store)
		earlier := o.grantWriter.readEarlierGrants("pool")
		is.True(earlier.grants.Unread)
		is.Equal(len(earlier.held), 1)
		_, ofOthers := o.knownGrants("pool").usage(o.common.Self.Name, window)
		is.Equal(tokensOf(ofOthers), 300.0) // what the copy has counts nevertheless
		time.Sleep(window)
		is.True(!o.grantWriter.readEarlierGrants("pool").grants.Unread) // what was lost has left the window
	})
}

// Guards against a successor that takes quotas as used after a restore although the owner
// before told it all grants.
func TestSuccessorThatWasToldAllNeedsNoPagesOfACopy(t *testing.T) {
	is := is.New(t)
	usage := []permit.QuotaUsage{{Customer: "tower", Tokens: 700}}
	report := newGrantReport(host.Identity{Name: "entry-2", Incarnation: 7}, 1, usage, reportWindow)
	o := successorOf(t, []grantReport{report}, true)
	o.grantWriter.store = &restoredStore{at: time.Now()}
	earlier := o.grantWriter.readEarlierGrants("pool")
	is.True(!earlier.grants.Unread)
	is.Equal(tokensOf(earlier.grants.QuotaUsed), 700.0)
}

// Guards against an owner that takes a copy from before the first page for a deployment
// without an earlier owner, and grants whole quotas.
func TestCopyWithoutPagesDoesNotShowThatThereWasNoOwner(t *testing.T) {
	is := is.New(t)
	for _, at := range []time.Time{{}, time.Now().Add(-time.Minute)} {
		earlier := ownerAfterRestore(t, &restoredStore{at: at}).grantWriter.readEarlierGrants("pool")
		is.True(!earlier.grants.NoEarlierOwner)
		is.Equal(earlier.grants.Assumed, assumedUsedShare)
	}
	o := ownerAfterRestore(t, nil)
	o.grantWriter.store = &emptyStore{}
	is.True(o.grantWriter.readEarlierGrants("pool").grants.NoEarlierOwner)
}

// Guards against a page that stays lost because no customer has used much of its quota since.
func TestOwnerWritesItsPageAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	o := ownerAfterRestore(t, &restoredStore{})
	s := &serviceOwner{owner: o, service: "pool"}
	o.services = map[string]*serviceOwner{"pool": s}
	o.grantWriter.pages = ring.New[grantPage](4)
	s.persistGrants()
	is.Equal(len(o.grantWriter.pages.Values()), 0)
	restores := make(chan []byte, 1)
	restores <- nil
	close(restores)
	(&pageRestorer{owner: o}).run(restores)
	s.lastWrite = time.Now() // a write just before does not take its place
	s.persistGrants()
	is.Equal(len(o.grantWriter.pages.Values()), 0)
	s.lastWrite = time.Now().Add(-minWritePause)
	s.persistGrants()
	is.Equal((<-o.grantWriter.pages.Values()).Service, "pool")
	s.lastWrite = time.Now().Add(-minWritePause)
	s.persistGrants()
	is.Equal(len(o.grantWriter.pages.Values()), 0)
}
