package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

func heldWarning(part string) warning {
	return warning{Held: &permit.HeldParts{Parts: []string{part}, Left: time.Minute, Hold: time.Minute}}
}

func TestEntryRefusesRequestsWithAHeldPartUntilTheHoldIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var w warnings
		deadly := permit.Ask{Request: "r-1", Parts: []string{"system", "deadly"}}
		is.True(w.check(deadly) == nil)
		w.add(heldWarning("deadly"))
		time.Sleep(20 * time.Second)
		refused := w.check(deadly)
		is.Equal(refused.Reason, permit.Held)
		is.Equal(refused.Held, "deadly")
		is.Equal(refused.RetryAfter, 40*time.Second)
		is.True(w.check(permit.Ask{Request: "r-2", Parts: []string{"system"}}) == nil)
		time.Sleep(40 * time.Second)
		is.True(w.check(deadly) == nil) // the owner decides now
	})
}

func TestEntrySendsOnRequestsWithAPartThatWasCleared(t *testing.T) {
	is := is.New(t)
	var w warnings
	w.add(heldWarning("wrong"))
	w.add(warning{Cleared: "wrong"})
	is.True(w.check(permit.Ask{Parts: []string{"wrong"}}) == nil)
}

func TestEntryTellsANewOwnerWhatItWasTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var w warnings
		w.add(warning{Crash: &permit.Crash{ID: "old"}})
		time.Sleep(2 * time.Minute)
		w.add(warning{Crash: &permit.Crash{ID: "i-1@5", Age: time.Second}})
		w.add(warning{Crash: &permit.Crash{ID: "i-1@5", Age: time.Second}})
		w.add(heldWarning("deadly"))
		time.Sleep(10 * time.Second)
		crashes, held := w.all()
		is.Equal(crashes, []permit.Crash{{ID: "i-1@5", Age: 11 * time.Second}})
		is.Equal(held, []permit.HeldParts{{Parts: []string{"deadly"}, Left: 50 * time.Second, Hold: time.Minute}})
	})
}

func TestWarningsOfAnEntryAreBounded(t *testing.T) {
	is := is.New(t)
	var w warnings
	for i := range 1000 {
		w.add(heldWarning(fmt.Sprint("part-", i)))
		w.add(warning{Crash: &permit.Crash{ID: fmt.Sprint("crash-", i)}})
	}
	crashes, held := w.all()
	is.Equal(len(crashes), maxCrashes)
	is.Equal(len(held), maxHeld)
}

// pageStore holds one page.
type pageStore struct {
	emptyStore
	page grantPage
}

func (s *pageStore) List(context.Context, string) ([][]byte, error) {
	data, err := cbor.Marshal(s.page)
	return [][]byte{data}, err
}

func TestOwnersOfASplitFleetLearnHeldPartsFromTheStore(t *testing.T) {
	is := is.New(t)
	s := &serviceOwner{owner: ownerOnPlatform(), service: "pool", events: ring.New[permit.Event](4)}
	s.owner.grantWriter.owner = s.owner
	s.owner.grantWriter.store = &pageStore{page: grantPage{
		Host: "entry-9", Written: time.Now().Add(-10 * time.Second).UnixNano(),
		Held: []permit.HeldParts{{Parts: []string{"deadly"}, Left: time.Minute, Hold: time.Minute}, {Parts: []string{"over"}, Left: time.Second}},
	}}
	r := heldReader{writer: &s.owner.grantWriter}
	r.read(t.Context(), s)
	event, isWarning := (<-s.events.Values()).(permit.Warned)
	is.True(isWarning)
	is.Equal(len(event.Held), 1)
	is.Equal(event.Held[0].Key(), "deadly")
	is.True(event.Held[0].Left <= 50*time.Second)
}
