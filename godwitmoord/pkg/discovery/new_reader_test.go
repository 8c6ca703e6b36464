package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

// silentReaders is a fleet whose readers last answered at a time.
type silentReaders struct {
	fleet
	last time.Time
}

func (f *silentReaders) LastReader() time.Time { return f.last }

// Guards against requests to an endpoint that has left from a host that begins to read the
// store after its readers were lost: it counted the grace from its first reading.
func TestNewReaderTakesTheSilenceOfReadersOffTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const silence = time.Second
		s := newLoneHostWithEndpoints()
		s.currentDuty.Store(uint32(listens))
		s.members = &silentReaders{fleet: s.members, last: time.Now()}
		s.applyEndpoints(update{changes: []keyvalue.Change{present("i-1", 5)}, revision: 5})
		time.Sleep(silence)
		s.endpoints = &follower{
			service: s, prefix: "endpoints/", wanted: s.readsEndpoints, watchDuration: s.endpointsWatchDuration, batchDelay: s.endpointsBatchDelay,
			maxPause: constant(longRetryPause), apply: s.applyEndpoints, afterCall: s.recordSync,
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.endpoints.run(ctx) // the store has no entry any more
		go s.loop(ctx)
		time.Sleep(s.budget().grace() - silence - 100*time.Millisecond)
		is.True(!s.release.HasLeft("i-1"))
		time.Sleep(300 * time.Millisecond)
		is.True(s.release.HasLeft("i-1"))
	})
}
