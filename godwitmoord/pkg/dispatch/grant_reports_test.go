package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/permit"
)

const reportWindow = 8 * time.Second

// silentStore can't be read.
type silentStore struct{ emptyStore }

func (*silentStore) List(context.Context, string) ([][]byte, error) {
	return nil, errors.New("the store is down")
}

// successorOf returns an owner that can't read the store and got a message of another one.
func successorOf(t *testing.T, reports []grantReport, isComplete bool) *Owner {
	t.Helper()
	o := ownerOnPlatform()
	o.ctx = t.Context()
	o.grantWriter.owner, o.grantWriter.store = o, &silentStore{}
	m := entryMessage{Kind: grantsKind, Service: "pool", Reports: reports, Complete: isComplete}
	if err := o.handle(host.Identity{Name: "entry-2", Incarnation: 1}, m); err != nil {
		t.Fatal(err)
	}
	return o
}

func tokensOf(usage []permit.QuotaUsage) float64 {
	sum := 0.0
	for _, s := range usage {
		sum += s.Tokens
	}
	return sum
}

// Guards against a successor that grants a quota once more because it can't read the pages
// of the owner before.
func TestSuccessorKnowsTheGrantsOfTheOwnerBeforeWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owner := host.Identity{Name: "entry-2", Incarnation: 7}
		usage := []permit.QuotaUsage{{Customer: "tower", Tokens: 300, Age: 100 * time.Millisecond}, {Customer: "tower", Tokens: 400, Age: 6400 * time.Millisecond}}
		o := successorOf(t, []grantReport{newGrantReport(owner, 1, usage, reportWindow)}, true)
		earlier := o.grantWriter.readEarlierGrants("pool")
		is.True(!earlier.grants.Unread)
		is.Equal(tokensOf(earlier.grants.QuotaUsed), 700.0)
		for i, s := range earlier.grants.QuotaUsed {
			is.True(s.Age <= usage[i].Age && s.Age > usage[i].Age-reportStep(reportWindow)) // none counts as older than it is
		}
	})
}

func TestReportsThatAreNotAllAreNotEnoughForASuccessor(t *testing.T) {
	is := is.New(t)
	owner := host.Identity{Name: "entry-2", Incarnation: 7}
	usage := []permit.QuotaUsage{{Customer: "tower", Tokens: 300}}
	o := successorOf(t, []grantReport{newGrantReport(owner, 1, usage, reportWindow)}, false)
	is.True(o.grantWriter.readEarlierGrants("pool").grants.Unread)
}

func TestReportsOfGrantsLeaveTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		known := &knownGrants{}
		owner := host.Identity{Name: "entry-2", Incarnation: 7}
		report := func(number int64, tokens float64) knownReport {
			r, ok := newGrantReport(owner, number, []permit.QuotaUsage{{Customer: "tower", Tokens: tokens, Age: 2 * time.Second}}, reportWindow).known(reportWindow)
			is.True(ok)
			return r
		}
		known.learn([]knownReport{report(5, 100)}, true, reportWindow)
		known.learn([]knownReport{report(4, 900)}, false, reportWindow) // an older one that came late
		_, ofOthers := known.usage("entry-1", reportWindow)
		is.Equal(tokensOf(ofOthers), 100.0)
		time.Sleep(5 * time.Second)
		_, ofOthers = known.usage("entry-1", reportWindow)
		is.Equal(ofOthers[0].Age, 7*time.Second)
		time.Sleep(4 * time.Second)
		_, ofOthers = known.usage("entry-1", reportWindow)
		is.Equal(len(ofOthers), 0)
	})
}

// Guards against grants that never leave the window because two hosts pass the same report
// to each other, each time a little younger.
func TestReportPassedToAndFroLeavesTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owner := host.Identity{Name: "entry-9", Incarnation: 7}
		first := newGrantReport(owner, 5, []permit.QuotaUsage{{Customer: "tower", Tokens: 100}}, reportWindow)
		hosts := []*knownGrants{{}, {}}
		for n := range 200 { // each 100 ms
			for _, k := range hosts {
				r, _ := first.known(reportWindow)
				if n > 0 {
					r, _ = newGrantReport(owner, 5, k.all()[0].usageAt(time.Now(), reportWindow), reportWindow).known(reportWindow)
				}
				for _, to := range hosts {
					to.learn([]knownReport{r}, true, reportWindow)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		for _, k := range hosts {
			_, ofOthers := k.usage("entry-1", reportWindow)
			is.Equal(len(ofOthers), 0)
		}
	})
}

// Guards against a quota that is granted twice by a host that was told of grants once, while
// others that rank before it were away, and not any more.
func TestHostThatIsNotToldOfFurtherGrantsDoesNotKnowThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owner := host.Identity{Name: "entry-2", Incarnation: 7}
		usage := []permit.QuotaUsage{{Customer: "tower", Tokens: 300}}
		o := successorOf(t, []grantReport{newGrantReport(owner, 1, usage, reportWindow)}, true)
		is.True(!o.grantWriter.readEarlierGrants("pool").grants.Unread)
		is.NoErr(o.handle(owner, entryMessage{Kind: grantsKind, Service: "pool", Ended: true}))
		is.True(o.grantWriter.readEarlierGrants("pool").grants.Unread)
		is.NoErr(o.handle(owner, entryMessage{Kind: grantsKind, Service: "pool", Complete: true}))
		time.Sleep(knownFor) // the owner tells its successors once a second
		is.True(o.grantWriter.readEarlierGrants("pool").grants.Unread)
	})
}

func TestReportThatNoHostSendsIsRefused(t *testing.T) {
	is := is.New(t)
	o := ownerOnPlatform()
	from := host.Identity{Name: "entry-2", Incarnation: 1}
	long := grantReport{Host: "entry-2", Customers: []customerGrants{{Customer: "tower", Tokens: make([]uint64, reportSteps+1)}}}
	is.True(o.handle(from, entryMessage{Kind: grantsKind, Service: "pool", Reports: []grantReport{long}}) != nil)
	is.True(o.handle(from, entryMessage{Kind: grantsKind, Service: "pool", Reports: make([]grantReport, maxKnownProcesses+2)}) != nil)
}
