package app_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/platform/platformtest"
)

// maxCrashesOfAPart is how many endpoints a part of prompts may crash before requests
// with it are refused.
const maxCrashesOfAPart = 5

// prompt lists the parts of a prompt that shares the given part with others.
func prompt(shared string, own int) string { return fmt.Sprintf("5c1e:60,%s:400,%x:250", shared, own) }

func TestPromptPartThatCrashesEnginesIsRefusedByEveryHost(t *testing.T) {
	d := newDeployment(t)
	engines := []*httptest.Server{d.startEngine(d.runLog), d.startEngine(d.runLog), d.startEngine(d.runLog)}
	d.engine = engines[0]
	d.configuration = d.initialConfiguration(engines...)
	d.startHosts(3)
	for _, engine := range engines {
		d.injectFaults(engine, `{"crash-part": "dead"}`)
	}
	sendWith := func(shared string, i int) reply {
		request := completionRequest(fmt.Sprint(shared, i), 3)
		request.parts = prompt(shared, i)
		return d.send(d.hosts[i%3], request)
	}
	runs := func() int { return d.totalRunCount() }
	last := 0
	for i := range 9 {
		d.is.Equal(sendWith("5000", 100+i).status, http.StatusOK)
		before := runs()
		r := sendWith("dead", i)
		last += runs() - before
		d.is.True(r.status >= http.StatusInternalServerError)
		if i < 3 {
			continue
		}
		d.is.Equal(r.reason, "crashes-endpoints")
		d.is.Equal(r.outcome, "not-run")
	}
	d.is.True(last <= maxCrashesOfAPart)
}

func TestKeyedRequestsWithAPartThatCrashesEndpointsAreRefusedAsNotRun(t *testing.T) {
	d := newDeployment(t)
	var crashes atomic.Int32
	sound := d.desk.Config.Handler
	d.desk.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.Header.Get(exchange.PartsHeader), "dead") {
			crashes.Add(1)
			panic(http.ErrAbortHandler)
		}
		sound.ServeHTTP(w, r)
	})
	d.engine = d.startEngine(d.runLog)
	d.configuration = d.initialConfiguration(d.engine)
	d.startHosts(2)
	for i := range 8 {
		request := orderRequest(newKey())
		request.parts = prompt("dead", i)
		r := d.send(d.hosts[i%2], request)
		if i >= maxCrashesOfAPart {
			d.is.Equal(r.reason, "crashes-endpoints")
			d.is.Equal(r.outcome, "not-run")
		}
		request = orderRequest(newKey())
		request.parts = prompt("5000", 100+i)
		d.is.Equal(d.send(d.hosts[i%2], request).status, http.StatusOK)
	}
	d.is.True(crashes.Load() <= maxCrashesOfAPart)
}

// sendPrompt sends a request whose prompt has the given part.
func (s *platformDeployment) sendPrompt(shared string, own int) platformtest.Answer {
	return platformtest.Request{
		Address: s.frontAddress, Host: "shop.example", Path: "/chat/7", APIKey: "good-key",
		AttemptID: uuid.NewString(), Prefix: prompt(shared, own),
	}.Send()
}

// deadlyRuns returns how many requests with the part "dead" the workers began to run.
func (s *platformDeployment) deadlyRuns() int {
	n := 0
	for _, run := range s.runs("pool") {
		if strings.Contains(run.Prefix, "dead") {
			n++
		}
	}
	return n
}

// crashPool sends requests with the part "dead", among sound ones, until one is refused.
func (s *platformDeployment) crashPool() {
	s.t.Helper()
	s.injectFaults("pool", platformtest.WorkerFaults{CrashPart: "dead"})
	own := 0
	s.eventually("a request with the part is refused", func() bool {
		own++
		s.is.Equal(s.sendPrompt("5000", 1000+own).Status, http.StatusOK)
		return s.sendPrompt("dead", own).Status == http.StatusServiceUnavailable
	})
}

func TestPromptPartThatCrashesEndpointsIsRefused(t *testing.T) {
	s := startPlatformDeployment(t)
	s.crashPool()
	runs := s.deadlyRuns()
	s.is.True(runs <= maxCrashesOfAPart)
	for i := range 5 {
		r := s.sendPrompt("dead", 2000+i)
		s.is.Equal(r.Status, http.StatusServiceUnavailable)
		s.is.True(r.RetryAfter != "")
		s.is.Equal(s.sendPrompt("5000", 3000+i).Status, http.StatusOK)
	}
	s.is.Equal(s.deadlyRuns(), runs)
}

func TestHostThatStartsAfterAllWereLostRefusesAPartThatCrashesEndpoints(t *testing.T) {
	s := startPlatformDeployment(t)
	s.crashPool()
	runs := s.deadlyRuns()
	s.eventually("the store knows the part", func() bool { return strings.Contains(s.store.Get("kept/granted/pool/entry-1"), "dead") })
	s.is.NoErr(s.daemon.Stop())
	s.startHost()
	s.eventually("the host is ready", func() bool { return s.readinessStatus() == http.StatusOK })
	s.is.Equal(s.sendPrompt("5000", 1).Status, http.StatusOK)
	s.is.Equal(s.sendPrompt("dead", 1).Status, http.StatusServiceUnavailable)
	s.is.Equal(s.deadlyRuns(), runs)
}
