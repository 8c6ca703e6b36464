package discovery

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

// plainLayout is a layout in which every entry is an endpoint of one service.
type plainLayout struct{ Layout }

func (plainLayout) EndpointName(key string) (string, bool) {
	return strings.CutPrefix(key, "endpoints/")
}

func (plainLayout) Endpoint(name string, _ []byte) (string, configuration.Endpoint, error) {
	return "desk", configuration.Endpoint{Name: name, Address: "127.0.0.1:1"}, nil
}

// newLoneHostWithEndpoints returns a lone host that follows the endpoints of a
// plainLayout.
func newLoneHostWithEndpoints() *Service {
	s := newLoneHost()
	s.layout = plainLayout{}
	s.endpoints = &follower{service: s}
	return s
}

func TestNonOwnerTakesEndpointOutOfUseInTime(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		s := newLoneHostWithEndpoints()
		s.ownsNoService.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.loop(ctx)
		entry := keyvalue.Entry{Key: "endpoints/i-1", Revision: 5}
		s.applyEndpoints(update{changes: []keyvalue.Change{{Entry: entry}}})
		entry.Revision = 6
		s.applyEndpoints(update{changes: []keyvalue.Change{{Entry: entry, Removed: true}}})
		time.Sleep(missingEntryGrace - 100*time.Millisecond)
		is.True(!s.release.HasLeft("i-1")) // its entry may have lapsed in an outage of the store
		time.Sleep(300 * time.Millisecond) // well before the long watch of this host ends
		is.True(s.release.HasLeft("i-1"))
		is.True(!s.isBehind())
	})
}

func TestListingDoesNotRaiseTheNewestChange(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		s := newLoneHostWithEndpoints()
		entry := keyvalue.Entry{Key: "endpoints/i-1", Revision: 5}
		// The store's revision rises with every write, not only with those of endpoints.
		s.applyEndpoints(update{changes: []keyvalue.Change{{Entry: entry}}, revision: 90, complete: true})
		is.Equal(s.newestChange, int64(5)) // a higher one would make all other hosts list too, and so on
		is.Equal(s.syncedRevision, int64(90))
	})
}

func TestHostIsBehindWhenOthersReportANewerChange(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		s := newLoneHost()
		s.syncedRevision = -1 // the other hosts report revision 0
		is.True(!s.isBehind())
		time.Sleep(maxBehind / 2)
		is.True(!s.isBehind()) // its own watch may still return the change
		time.Sleep(maxBehind)
		is.True(s.isBehind())
		s.syncedRevision = 0
		is.True(!s.isBehind())
	})
}
