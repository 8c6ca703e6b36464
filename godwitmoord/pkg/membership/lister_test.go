package membership

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/reply/replytest"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/settings"
)

const (
	oneHost = `[{"name":"entry-1","address":"10.0.0.1:80","role":"entry","state":"live"}]`
)

func listerOf(url string) *lister {
	return &lister{service: New(&common.Common{
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Settings: settings.Settings{HostListURL: url},
	})}
}

func endlessClient(t *testing.T) replytest.Client {
	return replytest.Client{
		Reply: oneHost, MaxWait: 2 * listTimeout, Pause: 50 * time.Millisecond,
		Call: func(server *replytest.Server) error {
			_, err := listerOf(server.URL).read(t.Context())
			return err
		},
	}
}

func TestHostListHeaderWithoutEndFillsTheMemory(t *testing.T) { endlessClient(t).CheckHeaders(t) }

func TestHostListWithoutEndIsTakenAsComplete(t *testing.T) { endlessClient(t).CheckBodies(t) }

func TestSlowHostListWithoutEndHoldsTheReader(t *testing.T) { endlessClient(t).CheckSlow(t) }

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
