package reply_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/reply"
)

func TestReplyOverTheLimitIsCutInsteadOfRefused(t *testing.T) {
	is := is.New(t)
	const limit = 16
	data, err := reply.Read(strings.NewReader(strings.Repeat("a", limit)), limit)
	is.NoErr(err)
	is.Equal(len(data), limit)
	_, err = reply.Read(strings.NewReader(strings.Repeat("a", limit+1)), limit)
	var tooLarge *reply.TooLargeError
	is.True(errors.As(err, &tooLarge))
	is.Equal(tooLarge.Limit, limit)
}

func TestReplyResetBeforeItsLengthIsTakenAsComplete(t *testing.T) {
	for name, response := range map[string]string{
		"length": "Content-Length: 100\r\n\r\n{}",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s", response)
				_ = conn.Close()
			}))
			defer server.Close()
			client := &http.Client{Transport: reply.NewTransport()}
			result, err := client.Get(server.URL)
			is.NoErr(err)
			defer result.Body.Close()
			_, err = reply.Read(result.Body, 1<<10)
			is.True(err != nil)
		})
	}
}
