package membership

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/reply"
	"godwitmoor.example/coordination/pkg/reply/replytest"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

const (
	oneHost = `[{"name":"entry-1","address":"10.0.0.1:80","role":"entry","state":"live"}]`
	// listsAtOnce is how many reads a test makes at the same time.
	listsAtOnce = 8
	// maxAllocatedForHeader is what a read may allocate for a response header of
	// 64 KiB.
	maxAllocatedForHeader = 1 << 20
)

func listerOf(url string) *lister {
	return &lister{service: New(&common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Settings: settings.Settings{HostListURL: url},
	})}
}

// readAtOnce makes several reads at the same time and returns their errors.
func readAtOnce(t *testing.T, l *lister) []error {
	errs := make([]error, listsAtOnce)
	var w sync.WaitGroup
	for i := range errs {
		w.Go(func() { _, errs[i] = l.read(t.Context()) })
	}
	w.Wait()
	return errs
}

func TestHostListHeaderWithoutEndFillsTheMemory(t *testing.T) {
	for _, r := range replytest.Endless(oneHost) {
		if !r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			server := r.Start(t, 0)
			var errs []error
			allocated := replytest.Allocated(func() { errs = readAtOnce(t, listerOf(server.URL)) })
			t.Logf("%d bytes allocated a read", allocated/listsAtOnce)
			is.True(allocated < listsAtOnce*maxAllocatedForHeader)
			for _, err := range errs {
				is.True(err != nil)
			}
			server.AwaitClosed(t)
		})
	}
}

func TestHostListWithoutEndIsTakenAsComplete(t *testing.T) {
	for _, r := range replytest.Endless(oneHost) {
		if r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			server := r.Start(t, 0)
			for _, err := range readAtOnce(t, listerOf(server.URL)) {
				is.True(err != nil)
				if r.Name == "body" || r.Name == "chunks" {
					is.True(errors.HasType(err, (*reply.TooLargeError)(nil)))
				}
			}
			server.AwaitClosed(t)
		})
	}
}

func TestSlowHostListWithoutEndHoldsTheReader(t *testing.T) {
	for _, r := range replytest.Endless(oneHost) {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := r.Start(t, 50*time.Millisecond)
			started := time.Now()
			for _, err := range readAtOnce(t, listerOf(server.URL)) {
				is.True(err != nil)
			}
			is.True(time.Since(started) < 2*listTimeout)
			server.AwaitClosed(t)
		})
	}
}

func TestReplyThatIsNoHostListReplacesTheList(t *testing.T) {
	for name, r := range map[string]struct {
		status int
		body   string
	}{
		"null":           {http.StatusOK, `null`},
		"empty object":   {http.StatusOK, `{}`},
		"error":          {http.StatusOK, `{"error":"not ready"}`},
		"unavailable":    {http.StatusServiceUnavailable, `[]`},
		"trailing bytes": {http.StatusOK, `[]` + oneHost},
		"cut":            {http.StatusOK, oneHost[:len(oneHost)-1]},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(r.status)
				fmt.Fprint(w, r.body)
			}))
			defer server.Close()
			_, err := listerOf(server.URL).read(t.Context())
			is.True(err != nil)
		})
	}
}
