package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/reply/replytest"
)

const (
	idleEndpoint = `{"running":0,"leaving":false}`
)

func pollOf(address string) *poll {
	return &poll{poller: &poller{client: newLoadClient()}, endpoint: configuration.Endpoint{Address: address}}
}

func endlessClient(t *testing.T) replytest.Client {
	return replytest.Client{
		Reply: idleEndpoint, MaxWait: 2 * pollTimeout, Pause: 100 * time.Millisecond,
		Call: func(server *replytest.Server) error {
			_, err := pollOf(server.Address).read(t.Context())
			return err
		},
	}
}

func TestLoadHeaderWithoutEndFillsTheMemory(t *testing.T) { endlessClient(t).CheckHeaders(t) }

func TestLoadReportWithoutEndIsTakenAsComplete(t *testing.T) { endlessClient(t).CheckBodies(t) }

func TestSlowLoadReportWithoutEndHoldsThePoll(t *testing.T) { endlessClient(t).CheckSlow(t) }

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
