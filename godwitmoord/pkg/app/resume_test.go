package app_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/standin/pkg/answer"
	"godwitmoor.example/standin/pkg/engine"
	"godwitmoor.example/standin/pkg/runlog"
)

const (
	cutPrompt = "core box 12"
	cutTokens = 20
	// cutEvents is how many events of an answer a caller receives before it breaks off.
	cutEvents  = 4
	finalEvent = "data: [DONE]\n\n"
	// urgentTimeout is short enough that a request of the higher tier suspends
	// another one rather than wait for its end.
	urgentTimeout = "1s"
	plainPart     = "part "
	plainParts    = 200
	plainInterval = 20 * time.Millisecond
)

var resumeFaults = []engine.ResumeFault{engine.ResumeError, engine.ResumeText, engine.ResumeStart, engine.ResumeEnd}

// flawedModel is an engine that answers the lower tier's requests by functions of
// the test, if they are set, and counts those that resume an answer.
type flawedModel struct {
	http.Handler
	first   http.HandlerFunc
	resumed http.HandlerFunc
	resumes atomic.Int32
}

func (m *flawedModel) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler := m.first
	if r.Header.Get(exchange.OffsetHeader) != "" {
		m.resumes.Add(1)
		handler = m.resumed
	}
	if handler == nil || r.Header.Get(exchange.TierHeader) != "review" {
		m.Handler.ServeHTTP(w, r)
		return
	}
	w.Header().Set(exchange.AttemptHeader, r.Header.Get(exchange.AttemptHeader))
	handler(w, r)
}

// deployFlawed starts a deployment with one host. All its model endpoints are
// sockets of the one flawed model.
func deployFlawed(t *testing.T, m *flawedModel, endpoints int) *deployment {
	t.Helper()
	d := newDeployment(t)
	m.Handler = d.newEngine(d.runLog)
	sockets := make([]*httptest.Server, endpoints)
	for i := range sockets {
		sockets[i] = d.serve(m)
	}
	d.engine = sockets[0]
	d.configuration = d.initialConfiguration(sockets...)
	if endpoints == 1 {
		d.configuration = d.configuration.WithInFlightLimit("atelier", 1)
	}
	d.startHosts(1)
	return d
}

// requireWholeOrBroken checks that a caller received the whole stream once, or an
// error of its HTTP client after a beginning of the stream.
func requireWholeOrBroken(t *testing.T, r reply, tokens int) {
	t.Helper()
	is := is.New(t)
	for event := range strings.SplitSeq(strings.TrimSuffix(r.body, "\n\n"), "\n\n") {
		data, isEvent := strings.CutPrefix(event, "data: ")
		is.True(isEvent)                                      // the body holds nothing but events
		is.True(data == "[DONE]" || json.Valid([]byte(data))) // each event is whole
	}
	text, final := completionText(r.body)
	is.True(strings.HasPrefix(expectedText(cutPrompt, tokens), text)) // no event is repeated or left out
	if r.err == nil || final {
		is.Equal(text, expectedText(cutPrompt, tokens))
		is.Equal(strings.Count(r.body, finalEvent), 1)
		is.True(strings.HasSuffix(r.body, finalEvent))
	}
}

// writeEvents writes the events of the answer to cutPrompt from one token to
// another.
func writeEvents(w http.ResponseWriter, from, to int) {
	digest := answer.Digest(cutPrompt)
	for i := from; i < to; i++ {
		fmt.Fprintf(w, "data: {\"index\":%d,\"text\":%q}\n\n", i, answer.Token(digest, i))
	}
	_ = http.NewResponseController(w).Flush()
}

func beginStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	writeEvents(w, 0, cutEvents)
}

// sendSuspended sends a request of the lower tier, suspends it by a request of the
// higher tier and returns the reply to it. It calls resume before the request is
// sent on.
func (d *deployment) sendSuspended(toSend callerRequest, resume func()) reply {
	d.t.Helper()
	suspended := make(chan reply, 1)
	go func() { suspended <- d.send(d.hosts[0], toSend) }()
	d.eventually("the request runs", func() bool { return d.totalRunCount() > 0 })
	urgent := completionRequest("is there sesame?", 3)
	urgent.tier, urgent.timeout = "bench", urgentTimeout
	r := d.send(d.hosts[0], urgent)
	d.is.NoErr(r.err)
	d.is.Equal(r.status, http.StatusOK)
	resume()
	return <-suspended
}

func TestWrongAnswerToAResumedRequestIsNotJoinedToACutStream(t *testing.T) {
	for _, cut := range []string{`"cut-after": 4`, `"cut-after": 4, "end-in-event": true`} {
		for _, fault := range resumeFaults {
			t.Run(fmt.Sprintf("%s %s", cut, fault), func(t *testing.T) {
				m := &flawedModel{}
				d := deployFlawed(t, m, 2)
				d.injectFaults(d.engine, fmt.Sprintf(`{%s, "resume": %q}`, cut, fault))
				r := d.send(d.hosts[0], completionRequest(cutPrompt, cutTokens))
				d.is.True(m.resumes.Load() > 0)
				requireWholeOrBroken(t, r, cutTokens)
			})
		}
	}
}

func TestWrongAnswerToAResumedRequestIsNotJoinedToASuspendedStream(t *testing.T) {
	const tokens = 200
	for _, fault := range resumeFaults {
		t.Run(string(fault), func(t *testing.T) {
			m := &flawedModel{}
			d := deployFlawed(t, m, 1)
			d.injectFaults(d.engine, fmt.Sprintf(`{"slow": 25, "resume": %q}`, fault))
			r := d.sendSuspended(completionRequest(cutPrompt, tokens), func() {
				d.injectFaults(d.engine, fmt.Sprintf(`{"resume": %q}`, fault))
			})
			d.is.True(m.resumes.Load() > 0)
			requireWholeOrBroken(t, r, tokens)
		})
	}
}

func TestWrongAnswerToAResumedRequestIsNotJoinedToAStreamThatFellSilent(t *testing.T) {
	for _, fault := range resumeFaults {
		t.Run(string(fault), func(t *testing.T) {
			m := &flawedModel{first: func(w http.ResponseWriter, r *http.Request) {
				beginStream(w)
				<-r.Context().Done()
			}}
			d := deployFlawed(t, m, 2)
			d.injectFaults(d.engine, fmt.Sprintf(`{"resume": %q}`, fault))
			r := d.send(d.hosts[0], completionRequest(cutPrompt, cutTokens))
			d.is.True(m.resumes.Load() > 0)
			requireWholeOrBroken(t, r, cutTokens)
		})
	}
}

func TestResumedAnswerThatDoesNotBeginAtTheOffsetIsNotJoined(t *testing.T) {
	stream := func(status, from int, stated string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(exchange.OffsetHeader, stated)
			w.WriteHeader(status)
			writeEvents(w, from, cutTokens)
			fmt.Fprint(w, finalEvent)
		}
	}
	for name, resumed := range map[string]http.HandlerFunc{
		"a lower offset":       stream(http.StatusOK, cutEvents-1, fmt.Sprint(cutEvents-1)),
		"a higher offset":      stream(http.StatusOK, cutEvents+1, fmt.Sprint(cutEvents+1)),
		"no number":            stream(http.StatusOK, 0, "four"),
		"an error as a stream": stream(http.StatusInternalServerError, 0, ""),
		"no content":           func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
	} {
		t.Run(name, func(t *testing.T) {
			m := &flawedModel{resumed: resumed, first: func(w http.ResponseWriter, _ *http.Request) {
				beginStream(w)
				panic(http.ErrAbortHandler)
			}}
			d := deployFlawed(t, m, 2)
			r := d.send(d.hosts[0], completionRequest(cutPrompt, cutTokens))
			d.is.True(m.resumes.Load() > 0)
			requireWholeOrBroken(t, r, cutTokens)
		})
	}
}

func TestStreamThatEndsRegularlyInAnEventIsNotComplete(t *testing.T) {
	d := deployFlawed(t, &flawedModel{}, 1)
	d.injectFaults(d.engine, `{"cut-after": 4, "end-in-event": true}`)
	r := d.send(d.hosts[0], completionRequest(cutPrompt, cutTokens))
	d.is.True(r.err != nil)
	requireWholeOrBroken(t, r, cutTokens)
}

func TestStreamCutBeforeItsFinalEventEndsWithoutARepeatedToken(t *testing.T) {
	d := deployFlawed(t, &flawedModel{first: func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, 0, cutTokens)
		panic(http.ErrAbortHandler)
	}}, 2)
	r := d.send(d.hosts[0], completionRequest(cutPrompt, cutTokens))
	d.is.NoErr(r.err)
	requireWholeOrBroken(t, r, cutTokens)
}

// drip writes the rest of a plain body slowly.
func drip(w http.ResponseWriter, r *http.Request) {
	for range plainParts - 1 {
		fmt.Fprint(w, plainPart)
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(plainInterval)
	}
}

func TestSecondPlainBodyIsNotJoinedToABrokenOne(t *testing.T) {
	whole := strings.Repeat(plainPart, plainParts)
	send := func(d *deployment, toSend callerRequest) reply { return d.send(d.hosts[0], toSend) }
	suspend := func(d *deployment, toSend callerRequest) reply { return d.sendSuspended(toSend, func() {}) }
	cases := []struct {
		name     string
		breakOff http.HandlerFunc
		send     func(*deployment, callerRequest) reply
	}{
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, send},
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, send},
		{"suspended", drip, suspend},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var answers atomic.Int32
			m := &flawedModel{}
			d := deployFlawed(t, m, 1)
			m.first = func(w http.ResponseWriter, r *http.Request) {
				d.runLog.Write(runlog.NewLine(r, runlog.Started))
				w.Header().Set("Content-Type", "text/plain")
				if answers.Add(1) > 1 {
					fmt.Fprint(w, whole)
					return
				}
				fmt.Fprint(w, plainPart)
				_ = http.NewResponseController(w).Flush()
				c.breakOff(w, r)
			}
			r := c.send(d, completionRequest(cutPrompt, plainParts))
			d.is.True(strings.HasPrefix(whole, r.body)) // no part is repeated
			if r.err == nil {
				d.is.Equal(r.body, whole)
			}
			d.is.Equal(answers.Load(), int32(1)) // a second run would be in vain
		})
	}
}

// quotingEvents is a stream in which a token is the text of the final event.
var quotingEvents = []string{
	`data: {"index":0,"text":"a stream ends with "}`,
	`data: {"index":1,"text":"data: [DONE]"}`,
	`data: {"index":2,"text":", doesn't it?"}`,
}

func TestTokenWithTheTextOfTheFinalEventDoesNotEndTheStream(t *testing.T) {
	for name, cut := range map[string]bool{"whole": false, "cut": true} {
		t.Run(name, func(t *testing.T) {
			fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
			d := deployFlawed(t, &flawedModel{resumed: fail, first: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for _, event := range quotingEvents {
					fmt.Fprint(w, event+"\n\n")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(plainInterval)
				}
				if cut {
					panic(http.ErrAbortHandler)
				}
				fmt.Fprint(w, finalEvent)
			}}, 1)
			r := d.send(d.hosts[0], completionRequest(cutPrompt, len(quotingEvents)))
			events := strings.Join(quotingEvents, "\n\n") + "\n\n"
			if cut {
				d.is.True(r.err != nil)
				d.is.Equal(r.body, events)
				return
			}
			d.is.NoErr(r.err)
			d.is.Equal(r.body, events+finalEvent)
		})
	}
}
