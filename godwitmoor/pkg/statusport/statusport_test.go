package statusport_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/reply/replytest"
	"godwitmoor.example/godwitmoor/pkg/statusport"
)

const (
	view = `{"host":"entry-1","ready":true,"hosts":[{"name":"entry-1","state":"alive"}]}`
	// callBound is longer than any call that a test expects to time out.
	callBound = 5 * time.Second
)

func endlessClient(t *testing.T) replytest.Client {
	return replytest.Client{
		Reply: view, MaxWait: callBound, Pause: 100 * time.Millisecond,
		Call: func(server *replytest.Server) error {
			_, err := statusport.Get(t.Context(), server.URL+"/record")
			return err
		},
	}
}

func TestStatusHeaderWithoutEndFillsTheMemory(t *testing.T) { endlessClient(t).CheckHeaders(t) }

func TestRecordOverTheLimitIsTakenAsComplete(t *testing.T) { endlessClient(t).CheckBodies(t) }

func TestSlowStatusWithoutEndHoldsTheCommand(t *testing.T) { endlessClient(t).CheckSlow(t) }

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
