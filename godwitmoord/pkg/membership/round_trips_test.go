package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a path that is taken as long because a probe waited for a processor, and
// against one that is remembered as short after it became longer.
func TestRoundTripIsTheShortestOfRecentProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s shortestTrip
		is.Equal(s.shortest(time.Now()), time.Duration(0))
		for _, took := range []time.Duration{30, 7, 12} {
			s.add(took*time.Millisecond, time.Now())
		}
		is.Equal(s.shortest(time.Now()), 7*time.Millisecond)
		time.Sleep(roundTripWindow)
		s.add(9*time.Millisecond, time.Now())
		is.Equal(s.shortest(time.Now()), 7*time.Millisecond) // of the window before
		time.Sleep(roundTripWindow)
		is.Equal(s.shortest(time.Now()), 9*time.Millisecond)
		time.Sleep(2 * roundTripWindow)
		is.Equal(s.shortest(time.Now()), time.Duration(0)) // nothing recent
	})
}

// Guards against hosts that take their own time to answer for the length of the path.
func TestRoundTripsCountFromTheHostsOwnDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var net network
		hosts := net.readyFleet(t.Context(), is, 3, time.Minute)
		s := hosts[0]
		s.recordRoundTrip(row{DataCentre: "brest"}, 9*time.Millisecond)
		trips := s.RoundTrips()
		is.Equal(len(trips), 1)
		is.Equal(trips["brest"], 7*time.Millisecond) // a round trip within lorient takes 2 ms
		is.Equal(s.DataCentreOf("entry-1"), "lorient")
		is.Equal(s.DataCentreOf("nobody"), "")
		time.Sleep(2 * roundTripWindow)
		is.Equal(len(s.RoundTrips()), 0)
	})
}
