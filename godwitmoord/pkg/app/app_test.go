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
		var both sync.WaitGroup
		for i := range replies {
			both.Go(func() { replies[i] = d.send(d.hosts[i], order(key)) })
		}
		both.Wait()
		d.is.Equal(d.ran(key), 1)
		for _, r := range replies {
			d.is.NoErr(r.err)
			d.is.Equal(r.status, http.StatusOK)
		}
		d.is.Equal(replies[0].body, replies[1].body) // both callers get the same answer
	}
}

func TestEndpointThatCutsTheConnectionGetsTheRequestOnce(t *testing.T) {
	d := deploy(t, 1)
	d.is.Equal(d.send(d.hosts[0], order(newKey())).status, http.StatusOK) // opens the connections
	d.fault(d.desk, `{"cut": true}`)
	for _, method := range []string{"GET", "POST"} {
		w := order(newKey())
		w.method = method
		if method == "GET" {
			w.body = ""
		}
		first := d.send(d.hosts[0], w)
		d.is.Equal(first.outcome, "unknown")
		d.is.Equal(first.reason, "answer-lost")
		second := d.send(d.hosts[0], w) // the caller tries the same key again
		d.is.Equal(second.outcome, "unknown")
		d.is.Equal(d.ran(w.key), 1)
	}
}

func TestCrossedAnswerReachesNobody(t *testing.T) {
	d := deploy(t, 1)
	d.fault(d.desk, `{"crossed": true}`)
	key := newKey()
	r := d.send(d.hosts[0], order(key))
	d.is.Equal(r.outcome, "unknown")
	d.is.Equal(r.reason, "answer-crossed")
	d.is.Equal(d.ran(key), 1)
}

func TestRefusedOrderIsNotRunAndNeverWillBe(t *testing.T) {
	d := deploy(t, 2)
	d.fault(d.desk, `{"refuse": true}`)
	key := newKey()
	w := order(key)
	w.timeout = "300ms"
	first := d.send(d.hosts[0], w)
	d.is.Equal(first.outcome, "not-run")
	d.fault(d.desk, `{}`)
	// The withdrawal is written to the store in the background; until then no
	// request with the key is sent.
	d.eventually("the key is withdrawn on every host", func() bool {
		r := d.send(d.hosts[1], w)
		return r.outcome == "not-run" && r.reason == "key-withdrawn"
	})
	d.is.Equal(d.ran(key), 0)
}

func TestOrderWaitsForTheKeyValueServiceAndQuestionsGoOn(t *testing.T) {
	d := deploy(t, 1)
	d.fault(d.keyValue, `{"down": true}`)
	key := newKey()
	w := order(key)
	w.timeout = "400ms"
	r := d.send(d.hosts[0], w)
	d.is.Equal(r.outcome, "unknown") // an earlier attempt through another host cannot be ruled out
	d.is.Equal(r.reason, "claims-unreachable")
	d.is.Equal(d.ran(key), 0)
	q := d.send(d.hosts[0], question("is there sesame?", 5))
	text, whole := textOf(q.body)
	d.is.True(whole)
	d.is.Equal(text, expected("is there sesame?", 5))
	waiting := make(chan reply)
	patient := order(newKey())
	go func() { waiting <- d.send(d.hosts[0], patient) }()
	time.Sleep(50 * time.Millisecond)
	d.fault(d.keyValue, `{}`)
	d.is.Equal((<-waiting).status, http.StatusOK) // within its deadline
	d.is.Equal(d.ran(patient.key), 1)
	d.is.Equal(d.send(d.hosts[0], order(key)).status, http.StatusOK) // the key is still free
	d.is.Equal(d.ran(key), 1)
}

func TestSlowKeyValueServiceAndLostRepliesRunOrdersOnce(t *testing.T) {
	d := deploy(t, 2)
	for _, fault := range []string{`{"delay-millis": 150}`, `{"lose-replies": 3}`} {
		d.fault(d.keyValue, fault)
		key := newKey()
		first := d.send(d.hosts[0], order(key))
		d.is.Equal(first.status, http.StatusOK)
		d.is.Equal(d.ran(key), 1)
		d.fault(d.keyValue, `{}`)
		d.eventually("the answer is stored", func() bool { return d.send(d.hosts[1], order(key)).body == first.body })
		d.is.Equal(d.ran(key), 1)
	}
}

func TestHostThatStartsWithoutTheKeyValueServiceLearnsFromAPeer(t *testing.T) {
	d := deploy(t, 1)
	d.fault(d.keyValue, `{"down": true}`)
	late := d.start("entry-late") // returns when the host is ready
	q := d.send(late, question("which allowance?", 3))
	_, whole := textOf(q.body)
	d.is.True(whole)
}

func TestHostAloneWithoutConfigurationIsNotReady(t *testing.T) {
	d := deploy(t, 0)
	d.fault(d.keyValue, `{"down": true}`)
	h := d.launch("entry-1")
	r := d.send(h, order(newKey()))
	d.is.Equal(r.outcome, "not-run")
	d.is.Equal(r.reason, "not-ready")
	d.fault(d.keyValue, `{}`)
	d.awaitReady(h)
}

func TestOlderConfigurationIsRefused(t *testing.T) {
	d := deploy(t, 1)
	second := d.start("entry-2")
	d.declared = d.declared.WithCustomer("late-shop", "late", "bench")
	version := d.apply()
	holds := func(h *entryHost) bool { return strings.Contains(d.get(h, "/status"), versionField(version)) }
	d.eventually("version 2 is in force on both", func() bool { return holds(d.hosts[0]) && holds(second) })
	d.putBackOlder()
	d.eventually("the older version was offered", func() bool {
		return strings.Contains(d.get(d.hosts[0], "/metrics")+d.get(second, "/metrics"), "release.refused.older")
	})
	d.is.True(holds(d.hosts[0]))
	d.is.True(holds(second))
}

func TestStopUnderLoadCutsNothing(t *testing.T) {
	d := deploy(t, 2)
	const streams = 8
	replies := make([]reply, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() { replies[i] = d.send(d.hosts[0], question("a long review", 300)) })
	}
	keys := []string{newKey(), newKey()}
	d.eventually("work is in progress", func() bool { return d.started() >= 4 })
	for _, key := range keys {
		all.Go(func() { d.send(d.hosts[0], order(key)) })
	}
	d.is.NoErr(d.hosts[0].daemon.Stop())
	all.Wait()
	for _, r := range replies {
		d.is.NoErr(r.err)
		text, whole := textOf(r.body)
		d.is.True(whole)
		d.is.Equal(text, expected("a long review", 300))
	}
}

func TestBrokenStreamGoesOnWhereItStopped(t *testing.T) {
	d := deploy(t, 1)
	d.fault(d.engine, `{"cut-after": 4}`)
	second := d.newEngine(&runlog.Log{})
	d.declared = d.declared.WithEndpoint("atelier", "engine-2", strings.TrimPrefix(second.URL, "http://"))
	version := d.apply()
	d.eventually("the configuration with the second endpoint is in force", func() bool {
		return strings.Contains(d.get(d.hosts[0], "/status"), versionField(version))
	})
	r := d.send(d.hosts[0], question("core box 12", 20))
	d.is.NoErr(r.err)
	text, whole := textOf(r.body)
	d.is.True(whole)
	d.is.Equal(text, expected("core box 12", 20)) // no gap, no repeat
}

func TestHostKilledAfterItsClaimLeavesUnknown(t *testing.T) {
	d := deploy(t, 2)
	// Host 3 reaches the key-value service through a proxy that forwards its claim
	// and then never responds, as if the host was killed before it sent the order.
	var armed atomic.Bool
	target := d.keyValue.URL
	way := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	t.Cleanup(way.Close)
	healthy := d.keyValue
	d.keyValue = way
	doomed := d.start("entry-3")
	d.keyValue = healthy
	d.is.Equal(d.send(doomed, order(newKey())).status, http.StatusOK)
	armed.Store(true)
	key := newKey()
	go d.send(doomed, order(key))
	store := &keyvalue.Client{URL: healthy.URL}
	d.eventually("the claim is stored", func() bool {
		e, err := store.Read(t.Context(), "godwitmoor/claims/carnet/shop/"+key)
		return err == nil && e.Found()
	})
	w := order(key)
	w.timeout = "500ms"
	r := d.send(d.hosts[0], w)
	d.is.Equal(r.outcome, "unknown") // the order may have been sent, so no other host sends it
	d.is.Equal(r.reason, "still-running")
	d.is.Equal(d.ran(key), 0)
}

func TestHostLostBetweenSendingAndTheAnswerLeavesUnknown(t *testing.T) {
	d := deploy(t, 2)
	// The desk runs the order and never answers. To the other host this looks as
	// if the first host was killed after it sent the order.
	d.fault(d.desk, `{"silent": true}`)
	key := newKey()
	go d.send(d.hosts[0], order(key))
	d.eventually("the order runs", func() bool { return d.ran(key) == 1 })
	d.fault(d.desk, `{}`)
	w := order(key)
	w.timeout = "500ms"
	r := d.send(d.hosts[1], w)
	d.is.Equal(r.outcome, "unknown")
	d.is.Equal(d.ran(key), 1) // no host sends it again
}

func TestFaultsOfCallersAreNamed(t *testing.T) {
	d := deploy(t, 1)
	h := d.hosts[0]
	cases := []struct {
		name   string
		wish   wish
		status int
		reason string
	}{
		{"no key", wish{method: "POST", path: "/carnet/releases"}, 400, "key-missing"},
		{"key without a time", wish{method: "POST", path: "/carnet/releases", key: uuid.NewString()}, 400, "key-malformed"},
		{"old key", wish{method: "POST", path: "/carnet/releases", key: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"}, 400, "key-expired"},
		{"no such path", wish{method: "GET", path: "/nowhere"}, 404, "no-such-service"},
		{"no such tier", wish{method: "GET", path: "/carnet/stock/1", tier: "gold"}, 400, "unknown-tier"},
		{"bad timeout", wish{method: "GET", path: "/carnet/stock/1", timeout: "soon"}, 400, "bad-timeout"},
		{"large body", wish{method: "POST", path: "/carnet/stock/1", body: strings.Repeat("x", 5000)}, 413, "body-too-large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := d.send(h, c.wish)
			d.is.NoErr(r.err)
			d.is.Equal(r.status, c.status)
			d.is.Equal(r.reason, c.reason)
		})
	}
	d.is.Equal(d.send(h, wish{method: "GET", path: "/carnet/stock/1"}).status, http.StatusOK) // other requests are not affected
}

func TestSameKeyForAnotherOrderIsRefused(t *testing.T) {
	d := deploy(t, 1)
	key := newKey()
	d.is.Equal(d.send(d.hosts[0], order(key)).status, http.StatusOK)
	other := order(key)
	other.body = "two oak patterns"
	r := d.send(d.hosts[0], other)
	d.is.Equal(r.status, http.StatusUnprocessableEntity)
	d.is.Equal(r.reason, "key-conflict")
	d.is.Equal(d.ran(key), 1)
}
