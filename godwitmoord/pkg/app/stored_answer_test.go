package app_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/exchange"
)

const (
	claimRetention = 24 * time.Hour
	answerLimit    = 4096
)

// flawedDesk is an application that answers each request by a function of the test
// and counts the requests. Requests under /plans/ may be answered by streams.
type flawedDesk struct {
	answer http.HandlerFunc
	runs   atomic.Int32
}

func (f *flawedDesk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		fmt.Fprint(w, "{}")
		return
	}
	f.runs.Add(1)
	w.Header().Set(exchange.AttemptHeader, r.Header.Get(exchange.AttemptHeader))
	f.answer(w, r)
}

// deployDesk starts a deployment with one host, which stores answers up to limit
// bytes.
func deployDesk(t *testing.T, desk *flawedDesk, limit int) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.desk = d.serve(desk)
	d.engine = d.startEngine(d.runLog)
	d.configuration = d.initialConfiguration(d.engine).
		WithService(configuration.Service{
			Name: "plans", Prefix: "/plans", Kind: configuration.Model, EchoesAttempt: true,
			Endpoints: []configuration.Endpoint{{Name: "planner", Address: strings.TrimPrefix(d.desk.URL, "http://"), DataCentre: "lorient", InFlightLimit: 4}},
		}, "").
		WithRule(configuration.Rule{Service: "plans", Tier: "bench"}, "").
		WithClaims(claimRetention, limit)
	d.startHosts(1)
	return d
}

func writeFlushed(w http.ResponseWriter, part string) {
	fmt.Fprint(w, part)
	_ = http.NewResponseController(w).Flush()
}

func TestIncompleteAnswerIsNotStoredForItsKey(t *testing.T) {
	cases := []struct {
		name, path string
		answer     http.HandlerFunc
	}{
		{"cut", "/carnet/releases", func(w http.ResponseWriter, _ *http.Request) {
			writeFlushed(w, plainPart)
			panic(http.ErrAbortHandler)
		}},
		{"shorter than its length", "/carnet/releases", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			writeFlushed(w, plainPart)
			panic(http.ErrAbortHandler)
		}},
		{"stream without its final event", "/plans/1", func(w http.ResponseWriter, _ *http.Request) {
			beginStream(w)
		}},
		{"stream cut after a token with the text of the final event", "/plans/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			writeFlushed(w, quotingEvents[1]+"\n\n")
			panic(http.ErrAbortHandler)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			desk := &flawedDesk{answer: c.answer}
			d := deployDesk(t, desk, answerLimit)
			toSend := callerRequest{method: "POST", path: c.path, body: "one oak pattern", key: newKey()}
			first := d.send(d.hosts[0], toSend)
			d.is.True(first.err != nil)
			second := d.send(d.hosts[0], toSend)
			d.is.Equal(second.outcome, "unknown")
			d.is.Equal(second.reason, "answer-lost")
			d.is.Equal(desk.runs.Load(), int32(1))
		})
	}
}

func TestAnswerThatIsNotStoredIsNotReplayedWithoutItsBody(t *testing.T) {
	for _, limit := range []int{0, 1, len(plainPart)} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			desk := &flawedDesk{answer: func(w http.ResponseWriter, _ *http.Request) {
				writeFlushed(w, plainPart)
				writeFlushed(w, plainPart)
			}}
			d := deployDesk(t, desk, limit)
			toSend := orderRequest(newKey())
			first := d.send(d.hosts[0], toSend)
			d.is.NoErr(first.err)
			d.is.Equal(first.body, plainPart+plainPart)
			second := d.send(d.hosts[0], toSend)
			d.is.Equal(second.outcome, "unknown")
			d.is.Equal(second.reason, "answer-not-kept")
			d.is.Equal(desk.runs.Load(), int32(1))
		})
	}
}

func TestAnswerWhoseCallerDisconnectsIsStoredOnlyIfItIsWhole(t *testing.T) {
	for name, cut := range map[string]bool{"whole": false, "cut": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			callerGone := make(chan struct{})
			desk := &flawedDesk{answer: func(w http.ResponseWriter, _ *http.Request) {
				writeFlushed(w, plainPart)
				<-callerGone
				for range plainParts / 2 {
					writeFlushed(w, plainPart)
					time.Sleep(time.Millisecond)
				}
				if cut {
					panic(http.ErrAbortHandler)
				}
			}}
			d := deployDesk(t, desk, answerLimit)
			toSend := orderRequest(newKey())
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			request, err := http.NewRequestWithContext(ctx, toSend.method, "http://"+d.hosts[0].listenAddress+toSend.path, strings.NewReader(toSend.body))
			is.NoErr(err)
			request.Header.Set("Authorization", "Bearer secret")
			request.Header.Set("Idempotency-Key", toSend.key)
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			_, err = io.ReadFull(response.Body, make([]byte, len(plainPart)))
			is.NoErr(err)
			disconnect()
			response.Body.Close()
			close(callerGone)
			second := d.send(d.hosts[0], toSend)
			is.Equal(desk.runs.Load(), int32(1))
			if cut {
				is.Equal(second.outcome, "unknown")
				is.Equal(second.reason, "answer-lost")
				return
			}
			is.NoErr(second.err)
			is.True(second.replayed)
			is.Equal(second.body, strings.Repeat(plainPart, plainParts/2+1))
		})
	}
}

func TestStoredAnswerIsReadableWhereItsBodyIsCompressed(t *testing.T) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	fmt.Fprint(w, plainPart)
	is := is.New(t)
	is.NoErr(w.Close())
	d := deployDesk(t, &flawedDesk{answer: func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Accept-Encoding") == "" {
			fmt.Fprint(w, plainPart)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(compressed.Bytes())
	}}, answerLimit)
	toSend := orderRequest(newKey())
	for range 2 {
		r := d.send(d.hosts[0], toSend) // Go's client asks for gzip and decompresses it
		is.NoErr(r.err)
		is.Equal(r.body, plainPart)
	}
}
