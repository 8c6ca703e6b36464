package statusport_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/reply"
	"godwitmoor.example/coordination/pkg/reply/replytest"
	"godwitmoor.example/godwitmoor/pkg/statusport"
)

const (
	view        = `{"host":"entry-1","ready":true,"hosts":[{"name":"entry-1","state":"alive"}]}`
	callsAtOnce = 8
	// callBound is longer than any call that a test expects to time out.
	callBound = 5 * time.Second
	// maxAllocatedForHeader is what a call may allocate for a response header of
	// 64 KiB.
	maxAllocatedForHeader = 1 << 20
)

// getAtOnce makes several calls at the same time and returns their errors.
func getAtOnce(t *testing.T, url string) []error {
	errs := make([]error, callsAtOnce)
	var w sync.WaitGroup
	for i := range errs {
		w.Go(func() { _, errs[i] = statusport.Get(t.Context(), url+"/record") })
	}
	w.Wait()
	return errs
}

func TestStatusHeaderWithoutEndFillsTheMemory(t *testing.T) {
	for _, r := range replytest.Endless(view) {
		if !r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			server := r.Start(t, 0)
			var errs []error
			allocated := replytest.Allocated(func() { errs = getAtOnce(t, server.URL) })
			t.Logf("%d bytes allocated a call", allocated/callsAtOnce)
			is.True(allocated < callsAtOnce*maxAllocatedForHeader)
			for _, err := range errs {
				is.True(err != nil)
			}
			server.AwaitClosed(t)
		})
	}
}

func TestSlowStatusWithoutEndHoldsTheCommand(t *testing.T) {
	for _, r := range replytest.Endless(view) {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := r.Start(t, 100*time.Millisecond)
			started := time.Now()
			for _, err := range getAtOnce(t, server.URL) {
				is.True(err != nil)
			}
			is.True(time.Since(started) < callBound)
			server.AwaitClosed(t)
		})
	}
}

func TestRecordOverTheLimitIsTakenAsComplete(t *testing.T) {
	for _, r := range replytest.Endless(view) {
		if r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			server := r.Start(t, 0)
			for _, err := range getAtOnce(t, server.URL) {
				is.True(err != nil)
				if r.Name == "body" || r.Name == "chunks" {
					is.True(errors.HasType(err, (*reply.TooLargeError)(nil)))
				}
			}
			server.AwaitClosed(t)
		})
	}
}

func TestReplyThatIsNoStatusIsShownAsAFleetWithoutHosts(t *testing.T) {
	for _, body := range []string{`null`, `{}`, `{"error":"not ready"}`, `{"host":"entry-1","hosts":[]}`, view + `{}`, view[:len(view)-1]} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
			defer server.Close()
			_, err := statusport.Any(t.Context(), []string{server.URL})
			is.True(errors.HasType(err, (*statusport.UnreachableError)(nil)))
		})
	}
}
