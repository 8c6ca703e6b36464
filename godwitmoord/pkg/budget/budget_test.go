package budget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const mebibyte = 1 << 20

// testMemory is the memory of a process in bytes; half of it may be held, and seven
// eighths of that by large bodies.
const testMemory = 32 * mebibyte

const testLargeLimit = testMemory / 2 / 8 * 7

// countingReader counts how often it is interrupted.
type countingReader struct{ interrupted *int }

func (r countingReader) Interrupt() { *r.interrupted++ }

func openBody(a *Account, rank int, customer string, interrupted *int) *Body {
	b := &Body{}
	b.Open(a, rank, customer, countingReader{interrupted})
	return b
}

// Clients that stop just short of the end of their bodies took all memory, so that those
// that went on were refused.
func TestBodyThatStallsIsDisplacedByOneThatGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := New(testMemory)
		var stalledGone, otherGone int
		stalled := openBody(a, 0, "mill", &stalledGone)
		is.True(stalled.Grow(testLargeLimit))
		time.Sleep(StallTime)
		other := openBody(a, 5, "mill", &otherGone)
		is.True(other.Grow(testLargeLimit))
		is.Equal(stalledGone, 1)
		is.Equal(otherGone, 0)
		is.True(!stalled.Grow(1))
		is.True(!stalled.Complete())
		stalled.Close()
		is.Equal(a.Held(), int64(testLargeLimit))
		is.True(other.Complete())
		other.Close()
		is.Equal(a.Held(), int64(0))
	})
}

// Many large bodies that displaced each other would all begin again, and
// none would be completed.
func TestLatestOfEqualBodiesIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := New(testMemory)
		var gone int
		first := openBody(a, 1, "mill", &gone)
		second := openBody(a, 1, "mill", &gone)
		is.True(first.Grow(testLargeLimit / 2))
		is.True(second.Grow(testLargeLimit / 2))
		is.True(!second.Grow(mebibyte))
		is.Equal(gone, 0)            // the one that asks is told by the result
		is.True(!second.Displaced()) // it was refused
		second.Close()
		is.True(first.Grow(testLargeLimit / 2))
	})
}

// Large bodies filled the account, and small requests were refused with them.
func TestSmallBodyIsAdmittedBesideLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := New(testMemory)
		var gone int
		is.True(openBody(a, 0, "mill", &gone).Grow(testLargeLimit))
		is.True(openBody(a, 9, "tower", &gone).Grow(SmallBytes))
		is.True(a.Reserve(ConnectionBytes))
		is.Equal(gone, 0)
	})
}

// A body that is complete may have been sent to an endpoint, so it can't be refused as
// not run.
func TestCompleteBodyIsNotDisplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, gone := New(testMemory), 0
		complete := openBody(a, 9, "mill", &gone)
		is.True(complete.Grow(testLargeLimit))
		is.True(complete.Complete())
		time.Sleep(time.Minute)
		is.True(!openBody(a, 0, "tower", &gone).Grow(mebibyte))
		is.Equal(gone, 0)
		complete.Close()
		is.Equal(a.Held(), int64(0))
	})
}

// Without the settings, nothing may be bounded.
func TestNoMemorySettingBoundsNothing(t *testing.T) {
	is := is.New(t)
	a := New(0)
	is.True(a.Reserve(1 << 40))
	is.True(a.ReserveForHosts(1 << 40))
	a.Add(1)
	is.Equal(a.Held(), int64(0))
	b := openBody(a, 0, "mill", new(int))
	is.True(b.Grow(1 << 40))
	b.Progressed(time.Now())
	is.True(b.Complete())
	b.Close()
	is.Equal(Connections(0), 0)
}

// Guards against a bound that rounds down to zero, which means that there is none.
func TestFewDescriptorsAreABound(t *testing.T) {
	is := is.New(t)
	for descriptors := 1; descriptors < 16; descriptors++ {
		is.True(Connections(descriptors) >= 1)
	}
}

// Frames of other hosts carry the permits; without room for them nothing is served.
func TestOtherHostsHaveRoomWhenCallersUsedUpTheirs(t *testing.T) {
	is := is.New(t)
	a := New(testMemory)
	is.True(a.Reserve(a.Limit()))
	is.True(!a.Reserve(1))
	is.True(a.ReserveForHosts(mebibyte))
}

// The order in which bodies are displaced: no progress, lower rank, customer that holds
// most, later.
func TestBodyWhoseLossCostsLeastIsDisplacedFirst(t *testing.T) {
	asking := Holder{Rank: 1, Customer: "tower", Order: 9}
	cases := []struct {
		name    string
		holders []Holder
		need    int64
		want    []int
		fits    bool
	}{
		{"stalled before lower rank", []Holder{{Bytes: 5, Rank: 7, Customer: "mill"}, {Bytes: 5, Rank: 0, Customer: "mill", Stalled: true}}, 5, []int{1}, true},
		{"lower rank before larger customer", []Holder{{Bytes: 9, Rank: 1, Customer: "mill"}, {Bytes: 5, Rank: 2, Customer: "barn"}}, 5, []int{1}, true},
		{"customer that holds most, its latest first", []Holder{{Bytes: 5, Rank: 1, Customer: "mill", Order: 1}, {Bytes: 5, Rank: 1, Customer: "mill", Order: 2}, {Bytes: 6, Rank: 1, Customer: "barn", Order: 3}}, 5, []int{1}, true},
		{"several until it fits", []Holder{{Bytes: 5, Rank: 3}, {Bytes: 5, Rank: 2}, {Bytes: 5, Rank: 4}}, 8, []int{2, 0}, true},
		{"none of a higher rank", []Holder{{Bytes: 5, Rank: 0, Customer: "mill"}}, 5, nil, false},
		{"not enough of a lower rank", []Holder{{Bytes: 5, Rank: 2}, {Bytes: 50, Rank: 0}}, 8, nil, false},
		{"nothing held", []Holder{{Rank: 2, Stalled: true}}, 1, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			holders := append(append([]Holder(nil), c.holders...), asking)
			got, fits := Displace(holders, len(holders)-1, c.need)
			is.Equal(fits, c.fits)
			is.Equal(got, c.want)
		})
	}
}

// A host whose descriptors were used up by connections without requests accepted no
// further callers.
func TestConnectionThatHoldsNothingIsClosedForANewOne(t *testing.T) {
	is := is.New(t)
	serving := Connection{Phase: Serving, Age: time.Hour}
	opening := Connection{Phase: Opened, Age: arrivalTime / 2, Received: 1}
	idle := Connection{Phase: Idle, Age: time.Second}
	longIdle := Connection{Phase: Idle, Age: time.Minute}
	slowHead := Connection{Phase: Opened, Age: 2 * arrivalTime, Received: 1}
	slowerHead := Connection{Phase: Opened, Age: 3 * arrivalTime, Received: 1}
	_, found := ConnectionToClose([]Connection{serving, opening})
	is.True(!found)
	chosen, found := ConnectionToClose([]Connection{serving, idle, longIdle, opening})
	is.True(found)
	is.Equal(chosen, 2)
	chosen, _ = ConnectionToClose([]Connection{longIdle, slowHead, slowerHead, serving})
	is.Equal(chosen, 2)
}

// Connections that send nothing were closed after a second only, so that a crowd of them
// took nearly every place that got free.
func TestSilentConnectionIsClosedBeforeOthers(t *testing.T) {
	is := is.New(t)
	fresh := Connection{Phase: Opened, Age: silentTime / 2}
	slowHead := Connection{Phase: Opened, Age: 2 * arrivalTime, Received: 1}
	silentFor := func(age time.Duration) Connection { return Connection{Phase: Opened, Age: age} }
	_, found := ConnectionToClose([]Connection{fresh})
	is.True(!found)
	chosen, found := ConnectionToClose([]Connection{slowHead, silentFor(2 * silentTime), silentFor(3 * silentTime), fresh})
	is.True(found)
	is.Equal(chosen, 2)
}

// Slow bodies held all connections that callers may have, and the host took no others.
func TestConnectionWithASlowBodyIsClosedForANewOne(t *testing.T) {
	is := is.New(t)
	serving := Connection{Phase: Serving, Age: time.Hour}
	leaving := Connection{Phase: Leaving, Age: time.Hour}
	begun := Connection{Phase: Receiving, Age: arrivalTime / 2, Stalled: true}
	_, found := ConnectionToClose([]Connection{serving, leaving, begun})
	is.True(!found)
	large := Connection{Phase: Receiving, Age: 10 * time.Second, Received: mebibyte}
	slow := Connection{Phase: Receiving, Age: 2 * time.Second, Received: 4 << 10}
	chosen, found := ConnectionToClose([]Connection{large, serving, slow, begun})
	is.True(found)
	is.Equal(chosen, 2) // the larger one will be complete sooner
	idle := Connection{Phase: Idle, Age: time.Second}
	chosen, _ = ConnectionToClose([]Connection{slow, idle})
	is.Equal(chosen, 1) // it loses no work
	stalled := Connection{Phase: Receiving, Age: 2 * time.Second, Received: mebibyte, Stalled: true}
	chosen, _ = ConnectionToClose([]Connection{slow, idle, stalled})
	is.Equal(chosen, 2)
}

// A limit for heads must not be met by clients that send usual ones.
func TestUsualHeadIsCoveredByItsConnection(t *testing.T) {
	is := is.New(t)
	is.Equal(HeadBytes(800, 60), int64(0))
	is.True(HeadBytes(16<<10, 10) > 0)
	is.True(HeadBytes(16<<10, 2700) > 2700*200)
}

// Bodies in chunks of one byte used up the processor, so that the host served nobody.
func TestSparseBodiesTogetherAreReadNoFasterThanOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := New(testMemory)
		var gone int
		one := openBody(a, 0, "mill", &gone)
		is.True(one.Grow(2 * SmallBytes))
		is.Equal(one.Pause(1), time.Duration(0))
		other := openBody(a, 0, "mill", &gone)
		is.True(other.Grow(SmallBytes))
		is.Equal(other.Pause(1), time.Duration(0)) // small bodies end soon
		is.True(other.Grow(SmallBytes))
		is.Equal(other.Pause(1), pauseStep)
		is.Equal(other.Pause(sparseReadBytes), time.Duration(0))
		is.Equal(Pause(1000), maxPause)
	})
}
