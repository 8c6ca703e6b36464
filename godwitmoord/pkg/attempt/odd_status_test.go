package attempt_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/godwitmoord/pkg/attempt"
)

// oddStatuses are three characters in place of a final status, and others of another length.
var oddStatuses = []string{
	"000", "001", "020", "099", "600", "601", "700", "999",
	"2x0", "x00", "20x", "+20", "-01", "-00", " 20", "2 0", "0x1", "1e2", "2.0", "20", "2", "2000", "00200", "\xff\xfe\xfd", "٢٠٠",
}

// oddStatusAnswers are answers with an odd status, each with what follows it.
func oddStatusAnswers(status string) map[string]string {
	head := "HTTP/1.1 " + status + " Odd\r\nAttempt-Id: a\r\n"
	whole := okAnswer("a", "of another")
	return map[string]string{
		"alone":               head + "\r\n",
		"empty":               head + "Content-Length: 0\r\n\r\n",
		"length":              head + "Content-Length: 5\r\n\r\nwrong",
		"chunks":              head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
		"until close":         head + "Connection: close\r\n\r\nwrong",
		"events":              head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: wrong\n\n",
		"no reason":           "HTTP/1.1 " + status + "\r\nAttempt-Id: a\r\nContent-Length: 5\r\n\r\nwrong",
		"an answer after it":  head + "\r\n" + whole,
		"an answer as body":   fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(whole), whole),
		"behind an interim":   interimHead + head + "Content-Length: 5\r\n\r\nwrong",
		"before an interim":   head + "\r\n" + interimHead + whole,
		"behind another one":  okAnswer("late", "late") + head + "Content-Length: 5\r\n\r\nwrong",
		"of the old protocol": "HTTP/1.0 " + status + " Odd\r\nAttempt-Id: a\r\n\r\nwrong",
		"not run":             head + "Godwitmoor-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
	}
}

// Guards against an answer with a status that is none of HTTP's final ones, which would
// reach the caller as a response or be passed over for what follows it.
func TestAnswerWithAnOddStatusIsLost(t *testing.T) {
	for _, status := range oddStatuses {
		for name, text := range oddStatusAnswers(status) {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				for _, p := range []attempt.Request{requestOf("a"), runsOnce(requestOf("a"))} {
					e := startEndpoint(t, text)
					got, err := sendAndRead(t, &attempt.Sender{}, e, p)
					if err == nil {
						t.Fatalf("taken as %q", got)
					}
					if errors.HasType(err, (*attempt.NotSentError)(nil)) {
						t.Fatalf("taken as not run: %v", err)
					}
				}
			})
		}
	}
}

func runsOnce(p attempt.Request) attempt.Request {
	p.RunsOnce = true
	return p
}

// Guards against an odd status on a kept connection, where the next request would take
// what follows it for its answer.
func TestConnectionIsNotUsedAgainAfterAnOddStatus(t *testing.T) {
	is := is.New(t)
	for _, status := range []string{"000", "099", "600", "999"} {
		odd := "HTTP/1.1 " + status + " Odd\r\nAttempt-Id: b\r\nContent-Length: 0\r\n\r\n"
		e := startEndpoint(t, okAnswer("a", "one"), odd, okAnswer("c", "three"))
		sender := &attempt.Sender{}
		_, err := sendAndRead(t, sender, e, requestOf("a"))
		is.NoErr(err)
		_, err = sendAndRead(t, sender, e, requestOf("b"))
		is.True(errors.HasType(err, (*attempt.LostError)(nil)))
		got, err := sendAndRead(t, sender, e, requestOf("c"))
		is.NoErr(err)
		is.Equal(got, "three")
		is.Equal(e.connections(), 2)
	}
}

// Guards against interim answers that are taken as final, or whose bodies are taken as
// answers.
func TestInterimAnswerOutOfPlaceIsNoAnswer(t *testing.T) {
	whole := okAnswer("a", "of another")
	for name, text := range map[string]string{
		"alone":              interimHead,
		"switched protocol":  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + whole,
		"answer as body":     fmt.Sprintf("HTTP/1.1 102 Processing\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole),
		"answer in a chunk":  fmt.Sprintf("HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(whole), whole),
		"chunked, not begun": "HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n" + whole,
		"body":               "HTTP/1.1 199 Odd\r\nContent-Length: 5\r\n\r\nwrong",
		"body until close":   "HTTP/1.1 199 Odd\r\nConnection: close\r\n\r\nwrong",
		"in a body":          "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 400\r\n\r\n" + interimHead + whole,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startEndpoint(t, text)
			if got, err := sendAndRead(t, &attempt.Sender{}, e, requestOf("a")); err == nil {
				t.Fatalf("taken as %q", got)
			}
		})
	}
}

// Guards against the loss of answers behind usual interim answers, some with a length of
// zero.
func TestAnswerBehindInterimAnswersIsWhole(t *testing.T) {
	is := is.New(t)
	for _, interim := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 Odd"} {
		for _, header := range []string{"", "Content-Length: 0\r\n", "Link: a\r\n"} {
			e := startEndpoint(t, "HTTP/1.1 "+interim+"\r\n"+header+"\r\n"+okAnswer("a", "one"))
			got, err := sendAndRead(t, &attempt.Sender{}, e, requestOf("a"))
			is.NoErr(err)
			is.Equal(got, "one")
		}
	}
}

// Guards against an interim answer behind a final one, which the next request on the
// connection would meet.
func TestInterimAnswerBehindAFinalOneEndsItsConnection(t *testing.T) {
	is := is.New(t)
	e := startEndpoint(t, okAnswer("a", "one")+interimHead, okAnswer("b", "two"))
	sender := &attempt.Sender{}
	got, err := sendAndRead(t, sender, e, requestOf("a"))
	is.NoErr(err)
	is.Equal(got, "one")
	got, err = sendAndRead(t, sender, e, requestOf("b"))
	is.NoErr(err)
	is.Equal(got, "two")
	is.Equal(e.connections(), 2)
}

// Guards against the loss of answers with a status that is valid, registered or not.
func TestFinalStatusIsPassedOn(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{200, 201, 299, 300, 399, 400, 418, 499, 500, 599} {
		e := startEndpoint(t, fmt.Sprintf("HTTP/1.1 %d Any\r\nAttempt-Id: a\r\nContent-Length: 3\r\n\r\none", status))
		answer, err := (&attempt.Sender{}).Send(t.Context(), e.listener.Addr().String(), requestOf("a"))
		is.NoErr(err)
		is.Equal(answer.Status, status)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		is.Equal(string(body), "one")
		answer.Close()
	}
}

// Guards against heads of odd answers that tell of an endpoint: what answers there is none.
func TestOddStatusTellsNothingOfItsEndpoint(t *testing.T) {
	is := is.New(t)
	for _, status := range []string{"000", "600"} {
		e := startEndpoint(t, strings.Replace(okAnswer("a", "one"), "200", status, 1))
		heads := 0
		p := requestOf("a")
		p.OnHead = func(exchange.EndpointResponse) { heads++ }
		_, err := sendAndRead(t, &attempt.Sender{}, e, p)
		is.True(err != nil)
		is.Equal(heads, 0)
	}
}
