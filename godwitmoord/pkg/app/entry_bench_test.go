package app_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/app"
	"godwitmoor.example/godwitmoord/pkg/logs"
	"godwitmoor.example/godwitmoord/pkg/settings"
	"godwitmoor.example/platform/platformtest"
)

// benchEventText is the text of one event of a benchmark's stream.
var benchEventText = strings.Repeat("x", 300)

// streamHandler answers as the named worker with a stream of events, one each pause.
func streamHandler(worker string, events int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		header := w.Header()
		header.Set("Godwitmoor-Attempt-Id", r.Header.Get("Godwitmoor-Attempt-Id"))
		header.Set("Godwitmoor-Server-Stamp", worker)
		header.Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for id := 1; id <= events; id++ {
			time.Sleep(pause)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, benchEventText)
			_ = control.Flush()
		}
	}
}

// startPair starts two hosts before six workers of service pool, and returns the
// addresses of the host that owns the service and of the other one.
func startPair(t testing.TB, events int, pause time.Duration) (owner, other string) {
	is := is.New(t)
	store := platformtest.NewStore()
	store.SetConfiguration(platformtest.Configuration{
		Version: 1, Host: "shop.example", Services: []string{"pool"}, Tenant: "tower", Keys: []string{"good-key"},
		Routes: []platformtest.Route{{Name: "chat", Kind: "streaming", Service: "pool", Timeout: 9 * time.Second, Resumable: true}},
	})
	for i := range 6 {
		name := "pool-" + strconv.Itoa(i)
		server := httptest.NewServer(streamHandler(name, events, pause))
		t.Cleanup(server.Close)
		store.SetWorker(name, "pool", strings.TrimPrefix(server.URL, "http://"), false)
	}
	standin := httptest.NewServer(store)
	t.Cleanup(standin.Close)
	names := []string{"entry-1", "entry-2"}
	peers := []string{benchAddress(), benchAddress()}
	fronts := map[string]string{}
	for i, name := range names {
		fronts[name] = benchAddress()
		readiness := benchAddress()
		text := fmt.Sprintf(`{"name": "%s", "data-centre": "a", "listen": "%s", "peer-listen": "%s", "status-listen": "%s",
			"heartbeat": "250ms", "dead-after": "1s", "stop-notice": "10ms", "memory": 284, "descriptors": 1024,
			"platform": {"store": "%s", "readiness": "%s", "hosts": ["%s"], "key-revocation": "3s", "stop-grace": "5s", "terms": ["pressure"],
				"repeat-ratio": 0.2, "repeat-slack": 50, "repeat-window": "10s", "first-start": true, "quota-window": "8s"}}`,
			name, fronts[name], peers[i], benchAddress(), strings.TrimPrefix(standin.URL, "http://"), readiness, peers[1-i])
		parsed, err := settings.Parse("host.jsonc", []byte(text), settings.Overrides{})
		is.NoErr(err)
		writer := logs.New(io.Discard)
		go writer.Run()
		daemon := app.New(parsed, logs.NewLogger(writer))
		is.NoErr(daemon.Start(context.Background()))
		t.Cleanup(func() { _ = daemon.Stop() })
	}
	time.Sleep(3 * time.Second)
	first := host.Ranked(names, "pool", 1)[0]
	for _, name := range names {
		if name != first {
			other = fronts[name]
		}
	}
	return fronts[first], other
}

func benchAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

// BenchmarkRequest measures what a request costs all parts in one process: caller,
// hosts, endpoint.
func BenchmarkRequest(b *testing.B) {
	for _, test := range []struct {
		name   string
		events int
		remote bool
	}{
		{name: "one event, own owner", events: 1},
		{name: "one event, other owner", events: 1, remote: true},
		{name: "forty events, own owner", events: 40},
		{name: "forty events, other owner", events: 40, remote: true},
	} {
		b.Run(test.name, func(b *testing.B) {
			owner, other := startPair(b, test.events, 5*time.Millisecond)
			address := owner
			if test.remote {
				address = other
			}
			callAll(b, address, 200)
			cpu, reads, writes := processCosts()
			b.ResetTimer()
			failed := callAll(b, address, b.N)
			b.StopTimer()
			cpuEnd, readsEnd, writesEnd := processCosts()
			n := float64(b.N)
			b.ReportMetric(float64((cpuEnd-cpu).Microseconds())/n, "cpu-us/op")
			b.ReportMetric(float64(readsEnd-reads)/n, "reads/op")
			b.ReportMetric(float64(writesEnd-writes)/n, "writes/op")
			b.ReportMetric(float64(failed)/n, "failed/op")
			b.ReportAllocs()
		})
	}
}

// callAll sends n requests, a few at a time, and returns how many failed.
func callAll(b *testing.B, address string, n int) int {
	b.Helper()
	var left, failed atomic.Int64
	left.Store(int64(n))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for left.Add(-1) >= 0 {
				request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/chat/7", strings.NewReader("a question"))
				request.Host = "shop.example"
				request.Header.Set("Godwitmoor-Attempt-Id", uuid.NewString())
				request.Header.Set("Godwitmoor-Deadline-Ms", "9000")
				request.Header.Set("X-Api-Key", "good-key")
				request.Header.Set("Godwitmoor-Token-Count", "1,1")
				request.Header.Set("Godwitmoor-Prompt-Prefix", "5c1e07a2:1")
				response, err := client.Do(request)
				if err != nil {
					failed.Add(1)
					continue
				}
				body, err := io.ReadAll(response.Body)
				response.Body.Close()
				if (err != nil || response.StatusCode != http.StatusOK) && failed.Add(1) == 1 {
					b.Logf("first failure: status %d, %v: %.300s", response.StatusCode, err, body)
				}
			}
		})
	}
	callers.Wait()
	return int(failed.Load())
}

// processCosts returns the processor time and the calls that read and write of this process.
func processCosts() (cpu time.Duration, reads, writes int64) {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	data, _ := os.ReadFile("/proc/self/io")
	for _, line := range strings.Split(string(data), "\n") {
		_, _ = fmt.Sscanf(line, "syscr: %d", &reads)
		_, _ = fmt.Sscanf(line, "syscw: %d", &writes)
	}
	return cpu, reads, writes
}
