package app_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/standin/pkg/runlog"
)

func TestOneKeySentToTwoHostsAtOnceRunsOnce(t *testing.T) {
	d := deploy(t, 2)
	for range 10 {
		key := newKey()
		replies := make([]reply, 2)
		var callers sync.WaitGroup
		for i := range replies {
			callers.Go(func() { replies[i] = d.send(d.hosts[i], orderRequest(key)) })
		}
		callers.Wait()
		d.is.Equal(d.runCount(key), 1)
		for _, r := range replies {
			d.is.NoErr(r.err)
			d.is.Equal(r.status, http.StatusOK)
		}
		d.is.Equal(replies[0].body, replies[1].body) // both callers get the same answer
	}
}

func TestEndpointThatCutsTheConnectionGetsTheRequestOnce(t *testing.T) {
	d := deploy(t, 1)
	d.is.Equal(d.send(d.hosts[0], orderRequest(newKey())).status, http.StatusOK) // opens the connections
	d.injectFaults(d.desk, `{"cut": true}`)
	for _, method := range []string{"GET", "POST"} {
		toSend := orderRequest(newKey())
		toSend.method = method
		if method == "GET" {
			toSend.body = ""
		}
		first := d.send(d.hosts[0], toSend)
		d.is.Equal(first.outcome, "unknown")
		d.is.Equal(first.reason, "answer-lost")
		second := d.send(d.hosts[0], toSend) // the caller tries the same key again
		d.is.Equal(second.outcome, "unknown")
		d.is.Equal(d.runCount(toSend.key), 1)
	}
}

func TestCrossedAnswerIsNotDelivered(t *testing.T) {
	d := deploy(t, 1)
	d.injectFaults(d.desk, `{"crossed": true}`)
	key := newKey()
	r := d.send(d.hosts[0], orderRequest(key))
	d.is.Equal(r.outcome, "unknown")
	d.is.Equal(r.reason, "answer-crossed")
	d.is.Equal(d.runCount(key), 1)
}

func TestRefusedOrderNeverRuns(t *testing.T) {
	d := deploy(t, 2)
	d.injectFaults(d.desk, `{"refuse": true}`)
	key := newKey()
	toSend := orderRequest(key)
	toSend.timeout = "300ms"
	first := d.send(d.hosts[0], toSend)
	d.is.Equal(first.outcome, "not-run")
	d.injectFaults(d.desk, `{}`)
	// The withdrawal is written to the store in the background; until then no
	// request with the key is sent.
	d.eventually("the key is withdrawn on every host", func() bool {
		r := d.send(d.hosts[1], toSend)
		return r.outcome == "not-run" && r.reason == "key-withdrawn"
	})
	d.is.Equal(d.runCount(key), 0)
}

func TestOrderWaitsForTheKeyValueServiceAndCompletionsContinue(t *testing.T) {
	d := deploy(t, 1)
	d.injectFaults(d.keyValue, `{"down": true}`)
	key := newKey()
	toSend := orderRequest(key)
	toSend.timeout = "400ms"
	r := d.send(d.hosts[0], toSend)
	d.is.Equal(r.outcome, "unknown") // an earlier attempt through another host cannot be ruled out
	d.is.Equal(r.reason, "claims-unreachable")
	d.is.Equal(d.runCount(key), 0)
	q := d.send(d.hosts[0], completionRequest("is there sesame?", 5))
	text, complete := completionText(q.body)
	d.is.True(complete)
	d.is.Equal(text, expectedText("is there sesame?", 5))
	waitingReply := make(chan reply)
	waitingOrder := orderRequest(newKey())
	go func() { waitingReply <- d.send(d.hosts[0], waitingOrder) }()
	time.Sleep(50 * time.Millisecond)
	d.injectFaults(d.keyValue, `{}`)
	d.is.Equal((<-waitingReply).status, http.StatusOK) // within its deadline
	d.is.Equal(d.runCount(waitingOrder.key), 1)
	d.is.Equal(d.send(d.hosts[0], orderRequest(key)).status, http.StatusOK) // the key is still free
	d.is.Equal(d.runCount(key), 1)
}

func TestSlowKeyValueServiceAndLostRepliesRunOrdersOnce(t *testing.T) {
	d := deploy(t, 2)
	for _, fault := range []string{`{"delay-millis": 150}`, `{"lose-replies": 3}`} {
		d.injectFaults(d.keyValue, fault)
		key := newKey()
		first := d.send(d.hosts[0], orderRequest(key))
		d.is.Equal(first.status, http.StatusOK)
		d.is.Equal(d.runCount(key), 1)
		d.injectFaults(d.keyValue, `{}`)
		d.eventually("the answer is stored", func() bool { return d.send(d.hosts[1], orderRequest(key)).body == first.body })
		d.is.Equal(d.runCount(key), 1)
	}
}

func TestHostThatStartsWithoutTheKeyValueServiceGetsTheConfigurationFromAPeer(t *testing.T) {
	d := deploy(t, 1)
	d.injectFaults(d.keyValue, `{"down": true}`)
	lateHost := d.startReadyHost("entry-late") // returns when the host is ready
	q := d.send(lateHost, completionRequest("which allowance?", 3))
	_, complete := completionText(q.body)
	d.is.True(complete)
}

func TestSingleHostWithoutConfigurationIsNotReady(t *testing.T) {
	d := deploy(t, 0)
	d.injectFaults(d.keyValue, `{"down": true}`)
	h := d.startHost("entry-1")
	r := d.send(h, orderRequest(newKey()))
	d.is.Equal(r.outcome, "not-run")
	d.is.Equal(r.reason, "not-ready")
	d.injectFaults(d.keyValue, `{}`)
	d.awaitReady(h)
}

func TestOlderConfigurationIsRefused(t *testing.T) {
	d := deploy(t, 1)
	second := d.startReadyHost("entry-2")
	d.configuration = d.configuration.WithCustomer("late-shop", "late", "bench")
	version := d.applyConfiguration()
	hasVersion := func(h *entryHost) bool { return strings.Contains(d.statusPage(h, "/status"), versionField(version)) }
	d.eventually("version 2 is in force on both", func() bool { return hasVersion(d.hosts[0]) && hasVersion(second) })
	d.restoreOldConfiguration()
	d.eventually("the older version was offered", func() bool {
		return strings.Contains(d.statusPage(d.hosts[0], "/metrics")+d.statusPage(second, "/metrics"), "release.refused.older")
	})
	d.is.True(hasVersion(d.hosts[0]))
	d.is.True(hasVersion(second))
}

func TestStopUnderLoadFinishesRequestsInProgress(t *testing.T) {
	d := deploy(t, 2)
	const streams = 8
	replies := make([]reply, streams)
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() { replies[i] = d.send(d.hosts[0], completionRequest("a long review", 300)) })
	}
	keys := []string{newKey(), newKey()}
	d.eventually("work is in progress", func() bool { return d.totalRunCount() >= 4 })
	for _, key := range keys {
		callers.Go(func() { d.send(d.hosts[0], orderRequest(key)) })
	}
	d.is.NoErr(d.hosts[0].daemon.Stop())
	callers.Wait()
	for _, r := range replies {
		d.is.NoErr(r.err)
		text, complete := completionText(r.body)
		d.is.True(complete)
		d.is.Equal(text, expectedText("a long review", 300))
	}
}

func TestBrokenStreamResumesWhereItStopped(t *testing.T) {
	d := deploy(t, 1)
	d.injectFaults(d.engine, `{"cut-after": 4}`)
	second := d.startEngine(&runlog.Log{})
	d.configuration = d.configuration.WithEndpoint("atelier", "engine-2", strings.TrimPrefix(second.URL, "http://"))
	version := d.applyConfiguration()
	d.eventually("the configuration with the second endpoint is in force", func() bool {
		return strings.Contains(d.statusPage(d.hosts[0], "/status"), versionField(version))
	})
	r := d.send(d.hosts[0], completionRequest("core box 12", 20))
	d.is.NoErr(r.err)
	text, complete := completionText(r.body)
	d.is.True(complete)
	d.is.Equal(text, expectedText("core box 12", 20)) // no gap, no repeat
}

func TestOutcomeIsUnknownWhenTheHostIsKilledAfterItsClaim(t *testing.T) {
	d := deploy(t, 2)
	// Host 3 reaches the key-value service through a proxy that forwards its claim
	// and then never responds, as if the host was killed before it sent the order.
	var armed atomic.Bool
	target := d.keyValue.URL
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := http.Post(target+r.URL.Path, "application/json", r.Body)
		if err != nil {
			return
		}
		defer response.Body.Close()
		if armed.Load() && r.URL.Path == "/v3/kv/txn" {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
	t.Cleanup(proxy.Close)
	healthy := d.keyValue
	d.keyValue = proxy
	failingHost := d.startReadyHost("entry-3")
	d.keyValue = healthy
	d.is.Equal(d.send(failingHost, orderRequest(newKey())).status, http.StatusOK)
	armed.Store(true)
	key := newKey()
	go d.send(failingHost, orderRequest(key))
	store := &keyvalue.Client{URL: healthy.URL}
	d.eventually("the claim is stored", func() bool {
		e, err := store.Read(t.Context(), "godwitmoor/claims/carnet/shop/"+key)
		return err == nil && e.Found()
	})
	toSend := orderRequest(key)
	toSend.timeout = "500ms"
	r := d.send(d.hosts[0], toSend)
	d.is.Equal(r.outcome, "unknown") // the order may have been sent, so no other host sends it
	d.is.Equal(r.reason, "still-running")
	d.is.Equal(d.runCount(key), 0)
}

func TestOutcomeIsUnknownWhenTheHostIsLostBeforeTheAnswer(t *testing.T) {
	d := deploy(t, 2)
	// The desk runs the order and never answers. To the other host this looks as
	// if the first host was killed after it sent the order.
	d.injectFaults(d.desk, `{"silent": true}`)
	key := newKey()
	go d.send(d.hosts[0], orderRequest(key))
	d.eventually("the order runs", func() bool { return d.runCount(key) == 1 })
	d.injectFaults(d.desk, `{}`)
	toSend := orderRequest(key)
	toSend.timeout = "500ms"
	r := d.send(d.hosts[1], toSend)
	d.is.Equal(r.outcome, "unknown")
	d.is.Equal(d.runCount(key), 1) // no host sends it again
}

func TestInvalidRequestsAreRefusedWithAReason(t *testing.T) {
	d := deploy(t, 1)
	h := d.hosts[0]
	cases := []struct {
		name    string
		request callerRequest
		status  int
		reason  string
	}{
		{"no key", callerRequest{method: "POST", path: "/carnet/releases"}, 400, "key-missing"},
		{"key without a time", callerRequest{method: "POST", path: "/carnet/releases", key: uuid.NewString()}, 400, "key-malformed"},
		{"old key", callerRequest{method: "POST", path: "/carnet/releases", key: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"}, 400, "key-expired"},
		{"no such path", callerRequest{method: "GET", path: "/nowhere"}, 404, "no-such-service"},
		{"no such tier", callerRequest{method: "GET", path: "/carnet/stock/1", tier: "gold"}, 400, "unknown-tier"},
		{"bad timeout", callerRequest{method: "GET", path: "/carnet/stock/1", timeout: "soon"}, 400, "bad-timeout"},
		{"large body", callerRequest{method: "POST", path: "/carnet/stock/1", body: strings.Repeat("x", 5000)}, 413, "body-too-large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := d.send(h, c.request)
			d.is.NoErr(r.err)
			d.is.Equal(r.status, c.status)
			d.is.Equal(r.reason, c.reason)
		})
	}
	d.is.Equal(d.send(h, callerRequest{method: "GET", path: "/carnet/stock/1"}).status, http.StatusOK) // other requests are not affected
}

func TestSameKeyForAnotherOrderIsRefused(t *testing.T) {
	d := deploy(t, 1)
	key := newKey()
	d.is.Equal(d.send(d.hosts[0], orderRequest(key)).status, http.StatusOK)
	other := orderRequest(key)
	other.body = "two oak patterns"
	r := d.send(d.hosts[0], other)
	d.is.Equal(r.status, http.StatusUnprocessableEntity)
	d.is.Equal(r.reason, "key-conflict")
	d.is.Equal(d.runCount(key), 1)
}
