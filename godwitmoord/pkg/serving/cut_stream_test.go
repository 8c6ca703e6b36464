package serving

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/platform"
	"godwitmoor.example/platform/platformtest"
)

// streamRun follows one stream from attempt to attempt, as a requestRun does.
type streamRun struct {
	sender *attempt.Sender
	caller recordingCaller
	relay  relay
}

func newStreamRun() *streamRun {
	s := &streamRun{sender: &attempt.Sender{Dialect: platform.Dialect{}}}
	s.relay = relay{caller: &s.caller, streams: true, resumesByID: true}
	return s
}

// attempt makes one attempt at address and reports whether it completed the stream. An
// error of an endpoint is not forwarded before the stream has begun.
func (s *streamRun) attempt(t *testing.T, address string) bool {
	s.relay.beginAttempt(nil)
	answer, err := s.sender.Send(t.Context(), address, attempt.Request{
		Method: http.MethodPost, Target: "/chat/7", Header: http.Header{"Godwitmoor-Attempt-Id": {"chat-7"}}, EchoesAttempt: true,
		EndpointRequest: exchange.EndpointRequest{Attempt: "chat-7", LastEvent: s.relay.position.lastEvent},
	})
	if err != nil {
		return false
	}
	defer answer.Close()
	if !s.relay.headSent && answer.Status != http.StatusOK {
		return false
	}
	return s.relay.forward(answer) == nil
}

// startCuttingWorker starts a worker that writes first to its first request, next to the
// second one, and the rest of the stream to all others.
func startCuttingWorker(t *testing.T, first []byte, next platformtest.FalseAnswer) *platformtest.RawWorker {
	worker, err := platformtest.StartRawWorker(func(r platformtest.RawRequest, w io.Writer) bool {
		switch r.Total {
		case 1:
			_, _ = w.Write(first)
		case 2:
			if next.Text != "" {
				_, _ = fmt.Fprintf(w, next.Text, r.ID)
			}
		default:
			_, _ = w.Write(platformtest.FramedStream(platformtest.Chunked, r.ID, platformtest.CutStream.After(r.LastEvent)))
		}
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	return worker
}

// checkStream checks that a caller of a stream that began with first, and went on with
// next, never has more than a beginning of the stream.
func checkStream(t *testing.T, first []byte, next platformtest.FalseAnswer, mayEndEarly bool) {
	t.Helper()
	is := is.New(t)
	whole := platformtest.CutStream.After("")
	worker := startCuttingWorker(t, first, next)
	defer worker.Close()
	s := newStreamRun()
	for n := range 3 {
		if n == 1 && s.relay.position.events == 0 && strings.Contains(next.Text, " 200 ") {
			return // it is an answer of its own
		}
		complete := s.attempt(t, worker.Address())
		got := s.caller.got.String()
		if !strings.HasPrefix(whole, got) {
			t.Fatalf("after %q and %s: %q", first, next.Name, got)
		}
		if complete && got != whole && !mayEndEarly {
			t.Fatalf("after %q and %s complete: %q", first, next.Name, got)
		}
		is.True(s.caller.status == 0 || s.caller.status == http.StatusOK)
		if complete || (s.relay.headSent && !s.relay.canContinue()) {
			return
		}
	}
	if s.caller.got.String() != whole {
		t.Fatalf("after %q and %s the stream did not go on: %q", first, next.Name, s.caller.got.String())
	}
}

func TestStreamThatBreaksOffAnywhereIsGoneOnWithAnErrorOrEndsAsComplete(t *testing.T) {
	answers := platformtest.FalseAnswers()
	tried := 0
	for _, framing := range []string{platformtest.Chunked, platformtest.WithLength, platformtest.UntilClose} {
		whole := platformtest.FramedStream(framing, "chat-7", platformtest.CutStream.After(""))
		for cut := range len(whole) {
			// Such a body is whole by the protocol where its connection ends between events.
			mayEndEarly := framing == platformtest.UntilClose
			for range 4 {
				checkStream(t, whole[:cut], answers[tried%len(answers)], mayEndEarly)
				tried++
			}
		}
	}
}

func TestErrorThatAWorkerWritesIntoItsStreamReachesTheCaller(t *testing.T) {
	const failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 14\r\n\r\nthe run failed"
	stream := platformtest.CutStream.After("")
	for cut := range len(stream) {
		lineBegins := cut == 0 || stream[cut-1] == '\n'
		for name, text := range map[string]string{"head": failure, "text": "the run failed\n\n", "JSON": "{\"error\": \"failed\"}\n\n"} {
			if name != "head" && !lineBegins {
				continue // it makes a line of the stream longer, which nothing shows
			}
			next := platformtest.FalseAnswer{Name: name}
			checkStream(t, platformtest.FramedStream(platformtest.UntilClose, "chat-7", stream[:cut]+text), next, false)
			checkStream(t, platformtest.FramedStream(platformtest.Chunked, "chat-7", stream[:cut]+text), next, false)
			raw := strings.TrimSuffix(string(platformtest.FramedStream(platformtest.Chunked, "chat-7", stream[:cut])), "0\r\n\r\n")
			checkStream(t, []byte(raw+text), next, false)
		}
	}
}
