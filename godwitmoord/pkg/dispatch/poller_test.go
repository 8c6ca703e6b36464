package dispatch

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/reply/replytest"
)

const (
	idleEndpoint = `{"running":0,"leaving":false}`
	pollsAtOnce  = 8
	// maxAllocatedForHeader is what a poll may allocate for a response header of
	// 64 KiB.
	maxAllocatedForHeader = 1 << 20
)

func pollOf(address string) *poll {
	return &poll{poller: &poller{client: newLoadClient()}, endpoint: configuration.Endpoint{Address: address}}
}

// pollAtOnce makes several polls at the same time and returns their errors.
func pollAtOnce(t *testing.T, p *poll) []error {
	errs := make([]error, pollsAtOnce)
	var w sync.WaitGroup
	for i := range errs {
		w.Go(func() { _, errs[i] = p.read(t.Context()) })
	}
	w.Wait()
	return errs
}

func TestLoadHeaderWithoutEndFillsTheMemory(t *testing.T) {
	for _, r := range replytest.Endless(idleEndpoint) {
		if !r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			server := r.Start(t, 0)
			var errs []error
			allocated := replytest.Allocated(func() { errs = pollAtOnce(t, pollOf(server.Address)) })
			t.Logf("%d bytes allocated a poll", allocated/pollsAtOnce)
			is.True(allocated < pollsAtOnce*maxAllocatedForHeader)
			for _, err := range errs {
				is.True(err != nil)
			}
			server.AwaitClosed(t)
		})
	}
}
