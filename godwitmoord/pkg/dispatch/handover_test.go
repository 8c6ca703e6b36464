package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/release"
)

// A new owner that waits for its full settling period leaves half of all slots idle
// although it knows all permits.
func TestHandoverIsCompleteOnceAllServingHostsHaveListed(t *testing.T) {
	is := is.New(t)
	var h handover
	serving := []string{"host-1", "host-2", "host-3"}
	is.True(!h.complete("host-1", serving)) // nothing is awaited
	h.begin(time.Now())
	is.True(!h.complete("host-1", serving))
	is.True(!h.complete("host-1", serving)) // its second list doesn't count for another host
	is.True(!h.complete("host-3", serving))
	is.True(h.complete("host-2", serving))
	is.True(!h.complete("host-2", serving)) // once only
}

func TestHandoverDoesNotWaitForAHostThatIsLostMeanwhile(t *testing.T) {
	is := is.New(t)
	var h handover
	h.begin(time.Now())
	is.True(!h.complete("host-1", []string{"host-1", "host-2"}))
	is.True(h.complete("host-1", []string{"host-1"}))
}

// A host without permits must list as well: without its list the new owner would wait
// for the whole settling period.
func TestEntryWithoutPermitsListsToANewOwner(t *testing.T) {
	is := is.New(t)
	o := ownerOnPlatform()
	o.release = release.New(o.common, nil)
	e := NewEntry(o.common)
	e.localOwner, e.members = o, o.members
	e.lastOwner["pool"] = "host-before"
	is.Equal(e.servicesWithNewOwner(), []string{"pool"})
	is.Equal(e.servicesWithNewOwner(), nil)
	list := e.heldList("pool")
	is.Equal(list.event("host-2", 1), permit.Listed{At: 1, Host: "host-2", Permits: []permit.Permit{}})
}
