package attempt_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/attempt"
)

// A body that was read in pieces must reach the endpoint whole, also at a second attempt.
func TestBodyInPiecesArrivesWhole(t *testing.T) {
	is := is.New(t)
	first, second := bytes.Repeat([]byte("a"), 5000), bytes.Repeat([]byte("b"), 300_000)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil && r.ContentLength == int64(len(body)) && bytes.Equal(body, append(bytes.Clone(first), second...)) {
			_, _ = io.WriteString(w, "whole")
		}
	}))
	defer endpoint.Close()
	var sender attempt.Sender
	request := attempt.Request{Method: http.MethodPost, Target: "/", Body: first, BodyRest: [][]byte{second}}
	for range 2 {
		answer, err := sender.Send(t.Context(), strings.TrimPrefix(endpoint.URL, "http://"), request)
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.Equal(string(body), "whole")
		answer.Close()
	}
}
