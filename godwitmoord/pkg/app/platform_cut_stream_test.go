package app_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"godwitmoor.example/platform/platformtest"
)

// streamCuts are parts of a chunked stream after which it breaks off: between events, in
// an event, in a character and in the length of a chunk.
var streamCuts = []string{"one\n\n", "Löw", "zw\xc3", "drei\n\nid: 5\nda\r\na"}

// nextAnswers are the answers that follow a stream that broke off.
var nextAnswers = []string{
	"none", "500 text", "500 events", "500 cut body", "503 empty", "503 not run", "429 text", "404 text", "404 cut head", "plain text", "text as events",
	"error head as events",
}

// cuttingWorkers cut the first stream of each path and answer its next request with
// next. They send what is left of the stream to later requests.
type cuttingWorkers struct {
	first, next string

	mu       sync.Mutex
	requests map[string]int
}

func (c *cuttingWorkers) answer(r platformtest.RawRequest, w io.Writer) bool {
	c.mu.Lock()
	c.requests[r.ID]++
	request := c.requests[r.ID]
	c.mu.Unlock()
	switch {
	case request == 1:
		whole := string(platformtest.FramedStream(platformtest.Chunked, r.ID, platformtest.CutStream.After("")))
		before, _, found := strings.Cut(whole, c.first)
		if !found {
			panic("the stream has no " + c.first)
		}
		_, _ = io.WriteString(w, before+c.first)
	case request > 2:
		_, _ = w.Write(platformtest.FramedStream(platformtest.Chunked, r.ID, platformtest.CutStream.After(r.LastEvent)))
	case c.next != "":
		_, _ = fmt.Fprintf(w, c.next, r.ID)
	}
	return false
}

func TestErrorOfTheNextWorkerStandsInAStreamThatBrokeOffOrEndsIt(t *testing.T) {
	whole := platformtest.CutStream.After("")
	tried := 0
	for _, answer := range platformtest.FalseAnswers() {
		if !slices.Contains(nextAnswers, answer.Name) {
			continue
		}
		t.Run(answer.Name, func(t *testing.T) {
			s := newPlatformDeployment(t)
			workers := &cuttingWorkers{first: streamCuts[tried%len(streamCuts)], next: answer.Text, requests: map[string]int{}}
			tried++
			for _, name := range []string{"pool-1", "pool-2"} {
				worker, err := platformtest.StartRawWorker(workers.answer)
				s.is.NoErr(err)
				t.Cleanup(worker.Close)
				s.workerAddresses[name] = worker.Address()
				s.registerWorker(name, false)
			}
			s.writeConfiguration()
			s.startHost()
			s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
			for _, route := range []string{"/chat/7", "/long-chat/7", "/plan/7"} {
				r := s.send(route, "good-key")
				s.is.True(strings.HasPrefix(whole, r.Body) || r.Status != http.StatusOK)
				s.is.True(r.Err != nil || r.Body == whole || r.Status != http.StatusOK)
				s.is.True(r.Status != http.StatusOK || r.Stamp != "")
			}
		})
	}
	if tried != len(nextAnswers) {
		t.Fatalf("%d of %d answers are known", tried, len(nextAnswers))
	}
}
