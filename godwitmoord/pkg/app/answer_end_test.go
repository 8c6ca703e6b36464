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

	"github.com/cockroachdb/errors"
)

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
