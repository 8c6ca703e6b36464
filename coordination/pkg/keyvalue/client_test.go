package keyvalue_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/coordination/pkg/reply/replytest"
)

const (
	absentEntry = `{"header":{"revision":"7"}}`
	callTimeout = 500 * time.Millisecond
)

func isUnreachable(err error) bool { return errors.HasType(err, (*keyvalue.UnreachableError)(nil)) }

// endlessClient is a client whose calls have a timeout; zero means the default.
func endlessClient(t *testing.T, timeout time.Duration) replytest.Client {
	return replytest.Client{
		Reply: absentEntry, Failed: isUnreachable, MaxWait: 4 * callTimeout, Pause: 20 * time.Millisecond,
		Call: func(server *replytest.Server) error {
			client := keyvalue.Client{URL: server.URL, CallTimeout: timeout}
			_, err := client.Read(t.Context(), "claims/a")
			return err
		},
	}
}

func TestHeaderWithoutEndFillsTheMemory(t *testing.T) { endlessClient(t, 0).CheckHeaders(t) }

func TestReplyWithoutEndIsTakenAsComplete(t *testing.T) { endlessClient(t, 0).CheckBodies(t) }

func TestSlowReplyWithoutEndHoldsTheCaller(t *testing.T) { endlessClient(t, callTimeout).CheckSlow(t) }

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
