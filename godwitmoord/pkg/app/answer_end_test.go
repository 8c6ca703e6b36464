package app_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// headTimeout bounds the wait for an answer without a body. It is below the service's
// gap timeout, so that a wait for a body that cannot come is noticed.
const headTimeout = 800 * time.Millisecond

// sendHTTP10 sends a request as an HTTP/1.0 caller. For such a caller the end of the
// connection is the end of a body without Content-Length.
func (d *deployment) sendHTTP10(h *entryHost, toSend callerRequest) reply {
	connection, err := net.Dial("tcp", h.listenAddress)
	if err != nil {
		return reply{err: err}
	}
	defer connection.Close()
	_, err = fmt.Fprintf(connection, "%s %s HTTP/1.0\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s",
		toSend.method, toSend.path, len(toSend.body), toSend.body)
	if err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(data), err: err}
}

func TestBrokenAnswerIsNotWholeForAnHTTP10Caller(t *testing.T) {
	d := deploy(t, 1)
	toSend := completionRequest(cutPrompt, cutTokens)
	whole := d.sendHTTP10(d.hosts[0], toSend)
	d.is.NoErr(whole.err)
	text, complete := completionText(whole.body)
	d.is.True(complete)
	d.is.Equal(text, expectedText(cutPrompt, cutTokens))
	refused := d.sendHTTP10(d.hosts[0], callerRequest{method: "GET", path: "/nowhere"})
	d.is.NoErr(refused.err)
	d.is.Equal(refused.status, http.StatusNotFound)
	d.is.True(strings.HasSuffix(refused.body, "}\n"))
	d.injectFaults(d.engine, `{"cut-after": 4}`)
	broken := d.sendHTTP10(d.hosts[0], toSend)
	d.is.Equal(broken.status, http.StatusOK)
	d.is.True(errors.Is(broken.err, syscall.ECONNRESET))
}

func TestBodyShorterThanItsContentLengthIsNotWhole(t *testing.T) {
	d := deployFlawed(t, &flawedModel{first: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(2*len(plainPart)))
		fmt.Fprint(w, plainPart)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}}, 1)
	for _, send := range []func(*entryHost, callerRequest) reply{d.send, d.sendHTTP10} {
		r := send(d.hosts[0], completionRequest(cutPrompt, 2))
		d.is.Equal(r.status, http.StatusOK)
		d.is.Equal(r.body, plainPart)
		d.is.True(r.err != nil)
	}
}

func TestAnswerWithoutABodyEndsWithItsHead(t *testing.T) {
	cases := []struct {
		name, method, contentType, length string
		status                            int
	}{
		{"HEAD", "HEAD", "text/plain", "", http.StatusOK},
		{"HEAD with a length", "HEAD", "text/plain", "100", http.StatusOK},
		{"HEAD of a stream", "HEAD", "text/event-stream", "", http.StatusOK},
		{"204", "GET", "", "", http.StatusNoContent},
		{"204 of a stream", "GET", "text/event-stream", "", http.StatusNoContent},
		{"304 with a length", "GET", "text/plain", "100", http.StatusNotModified},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := deployFlawed(t, &flawedModel{first: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", c.contentType)
				if c.length != "" {
					w.Header().Set("Content-Length", c.length)
				}
				w.WriteHeader(c.status)
			}}, 2)
			start := time.Now()
			r := d.send(d.hosts[0], callerRequest{method: c.method, path: "/atelier/v1/completions"})
			is.NoErr(r.err)
			is.Equal(r.status, c.status)
			is.Equal(r.body, "")
			is.True(time.Since(start) < headTimeout)
		})
	}
}
