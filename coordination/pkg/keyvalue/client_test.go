package keyvalue_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/coordination/pkg/reply"
	"godwitmoor.example/coordination/pkg/reply/replytest"
)

const (
	absentEntry = `{"header":{"revision":"7"}}`
	callsAtOnce = 8
	callTimeout = 500 * time.Millisecond
	// maxAllocatedForHeader is what a call may allocate for a response header of
	// 64 KiB.
	maxAllocatedForHeader = 1 << 20
)

// readAtOnce makes several reads at the same time and returns their errors.
func readAtOnce(t *testing.T, client *keyvalue.Client) []error {
	errs := make([]error, callsAtOnce)
	var w sync.WaitGroup
	for i := range errs {
		w.Go(func() { _, errs[i] = client.Read(t.Context(), "claims/a") })
	}
	w.Wait()
	return errs
}

func isUnreachable(err error) bool { return errors.HasType(err, (*keyvalue.UnreachableError)(nil)) }

func TestHeaderWithoutEndFillsTheMemory(t *testing.T) {
	for _, r := range replytest.Endless(absentEntry) {
		if !r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			server := r.Start(t, 0)
			var errs []error
			allocated := replytest.Allocated(func() { errs = readAtOnce(t, &keyvalue.Client{URL: server.URL}) })
			t.Logf("%d bytes allocated a call", allocated/callsAtOnce)
			is.True(allocated < callsAtOnce*maxAllocatedForHeader)
			for _, err := range errs {
				is.True(isUnreachable(err))
			}
			server.AwaitClosed(t)
		})
	}
}

func TestReplyWithoutEndIsTakenAsComplete(t *testing.T) {
	for _, r := range replytest.Endless(absentEntry) {
		if r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			is := is.New(t)
			server := r.Start(t, 0)
			for _, err := range readAtOnce(t, &keyvalue.Client{URL: server.URL}) {
				is.True(isUnreachable(err))
				if r.Name == "body" || r.Name == "chunks" {
					is.True(errors.HasType(err, (*reply.TooLargeError)(nil)))
				}
			}
			server.AwaitClosed(t)
		})
	}
}

func TestSlowReplyWithoutEndHoldsTheCaller(t *testing.T) {
	for _, r := range replytest.Endless(absentEntry) {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := r.Start(t, 20*time.Millisecond)
			started := time.Now()
			errs := readAtOnce(t, &keyvalue.Client{URL: server.URL, CallTimeout: callTimeout})
			is.True(time.Since(started) < 4*callTimeout)
			for _, err := range errs {
				is.True(isUnreachable(err))
			}
			server.AwaitClosed(t)
		})
	}
}

// clientOf returns a client of a service that answers every call with the body.
func clientOf(t *testing.T, body string) *keyvalue.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
	t.Cleanup(server.Close)
	return &keyvalue.Client{URL: server.URL}
}

func TestReplyThatIsNoEntryMakesAClaimedKeyLookVacant(t *testing.T) {
	is := is.New(t)
	entry, err := clientOf(t, absentEntry).Read(t.Context(), "claims/a")
	is.NoErr(err)
	is.True(!entry.Found())
	for name, body := range map[string]string{
		"null":             `null`,
		"empty object":     `{}`,
		"error":            `{"error":"mvcc: out of space","code":8}`,
		"other key":        `{"header":{"revision":"7"},"kvs":[{"key":"eA==","mod_revision":"3"}]}`,
		"without revision": `{"header":{"revision":"7"},"kvs":[{"key":"Y2xhaW1zL2E="}]}`,
		"trailing bytes":   absentEntry + `{}`,
		"cut":              absentEntry[:len(absentEntry)-1],
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := clientOf(t, body).Read(t.Context(), "claims/a")
			is.True(isUnreachable(err))
		})
	}
}

func TestReplyThatIsNoTransactionDecidesAWrite(t *testing.T) {
	for name, body := range map[string]string{
		"null":              `null`,
		"empty object":      `{}`,
		"error":             `{"error":"mvcc: out of space","code":8}`,
		"success alone":     `{"succeeded":true}`,
		"without responses": `{"header":{"revision":"7"}}`,
		"without range":     `{"header":{"revision":"7"},"responses":[{}]}`,
		"other key":         `{"header":{"revision":"7"},"responses":[{"response_range":{"kvs":[{"key":"eA==","mod_revision":"3"}]}}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := clientOf(t, body)
			_, err := client.Create(t.Context(), keyvalue.Creation{Key: "claims/a"})
			is.True(isUnreachable(err))
			_, err = client.Swap(t.Context(), "claims/a", nil, 3, 0)
			is.True(isUnreachable(err))
		})
	}
}

func TestReplyThatIsNoLeaseWritesClaimsThatNeverExpire(t *testing.T) {
	for _, body := range []string{`null`, `{}`, `{"error":"mvcc: out of space"}`, `{"ID":"0","TTL":"60"}`} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			_, err := clientOf(t, body).Grant(t.Context(), time.Minute)
			is.True(isUnreachable(err))
		})
	}
}
