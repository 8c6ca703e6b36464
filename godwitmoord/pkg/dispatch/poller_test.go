package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/reply"
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

func TestLoadReportWithoutEndIsTakenAsComplete(t *testing.T) {
	for _, r := range replytest.Endless(idleEndpoint) {
		if r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			server := r.Start(t, 0)
			for _, err := range pollAtOnce(t, pollOf(server.Address)) {
				is.True(err != nil)
				if r.Name == "body" || r.Name == "chunks" {
					is.True(errors.HasType(err, (*reply.TooLargeError)(nil)))
				}
			}
			server.AwaitClosed(t)
		})
	}
}

func TestSlowLoadReportWithoutEndHoldsThePoll(t *testing.T) {
	for _, r := range replytest.Endless(idleEndpoint) {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := r.Start(t, 100*time.Millisecond)
			started := time.Now()
			for _, err := range pollAtOnce(t, pollOf(server.Address)) {
				is.True(err != nil)
			}
			is.True(time.Since(started) < 2*pollTimeout)
			server.AwaitClosed(t)
		})
	}
}

func TestReplyThatIsNoLoadReportMakesAnEndpointLookIdle(t *testing.T) {
	for name, r := range map[string]struct {
		status int
		body   string
	}{
		"null":           {http.StatusOK, `null`},
		"empty object":   {http.StatusOK, `{}`},
		"error":          {http.StatusOK, `{"error":"not ready"}`},
		"unavailable":    {http.StatusServiceUnavailable, idleEndpoint},
		"trailing bytes": {http.StatusOK, idleEndpoint + `{"running":7}`},
		"cut":            {http.StatusOK, idleEndpoint[:len(idleEndpoint)-1]},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(r.status)
				fmt.Fprint(w, r.body)
			}))
			defer server.Close()
			_, err := pollOf(strings.TrimPrefix(server.URL, "http://")).read(t.Context())
			is.True(err != nil)
		})
	}
}
