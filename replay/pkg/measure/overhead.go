package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"godwitmoor.example/examples/pkg/hsu"
	"godwitmoor.example/replay/pkg/deployment"
	"godwitmoor.example/replay/pkg/trace"
)

const (
	// Upper bounds of what a host may add, from the issue that asked for them: ms
	// to the first token, ms to later tokens, KB of memory per open request.
	firstTokenBound = 2.0
	laterTokenBound = 0.5
	openBytesBound  = 30.0

	pathWorkers  = 20
	pathDuration = 12 * time.Second
	pathTokens   = 60
	rateWorkers  = 32
	rateDuration = 6 * time.Second
	openRequests = 2000
	openDuration = 4 * time.Second
	countedCalls = 200
	// permitRequests is the number of requests that permitBytes sends. They are
	// sent one after the other, so that no two share a call between hosts.
	permitRequests = 300
	maxEventLine   = 1 << 20
)

// Overhead measures what sending requests through a host costs: added latency,
// request rate, memory, key-value calls, decision time and traffic between hosts.
func Overhead(ctx context.Context, s Options) error {
	r := &report{out: s.Writer}
	steps := []struct {
		name string
		run  func(context.Context, Options, *report) error
	}{{"time", addedTime}, {"rate", requestRate}, {"bytes", openBytes}, {"calls", keyValueCalls}, {"decide", decide}, {"permits", permitBytes}}
	for _, step := range steps {
		if len(s.Only) > 0 && !slices.Contains(s.Only, step.name) {
			continue
		}
		if err := step.run(ctx, s, r); err != nil {
			return err
		}
	}
	return r.err()
}

// tokenLatencies collects the token latencies of one path to the engines, directly
// or through a host.
type tokenLatencies struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	later *hdrhistogram.Histogram
}

func newTokenLatencies() *tokenLatencies {
	return &tokenLatencies{first: newHistogram(), later: newHistogram()}
}

func (t *tokenLatencies) add(h *hdrhistogram.Histogram, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// RecordValue fails only above maxSample, which a run of this length does not
	// reach.
	_ = h.RecordValue(max(int64(d), 1))
}

// addedTime sends the same kind of request alternately to the engines directly and
// through hosts, and compares the time spent outside the engines. Timestamps of the
// engines and of the sender can be subtracted because all processes run on one
// machine with one clock.
func addedTime(ctx context.Context, s Options, r *report) error {
	run, err := start(ctx, s, "path", deployment.CurrentSizePlan("hsu", 3))
	if err != nil {
		return err
	}
	defer run.stop()
	direct, through := newTokenLatencies(), newTokenLatencies()
	var workers sync.WaitGroup
	end := time.Now().Add(pathDuration)
	for w := range pathWorkers {
		workers.Go(func() { sendAlternately(run, w, end, direct, through) })
	}
	workers.Wait()
	reportOverhead(r, "first token", direct.first, through.first, firstTokenBound)
	reportOverhead(r, "later token", direct.later, through.later, laterTokenBound)
	return nil
}

func sendAlternately(run *measuredDeployment, worker int, end time.Time, direct, through *tokenLatencies) {
	client := &http.Client{}
	for i := 0; time.Now().Before(end); i++ {
		host := run.Hosts[(worker+i)%len(run.Hosts)]
		engine := run.Endpoints[fmt.Sprintf("assistant-%d", 1+(worker+i)%run.Plan().Engines)]
		prompt := fmt.Sprintf("worker %d question %d", worker, i)
		// A failed request shows as a lower sample count, which is printed; the
		// distributions contain the other requests.
		if i%2 == 0 {
			_ = timeStream(client, "http://"+engine+"/v1/completions", prompt, direct)
		} else {
			_ = timeStream(client, "http://"+host.Listen+"/assistant/v1/completions", prompt, through)
		}
	}
}

type streamChunk struct {
	Index     int   `json:"index"`
	ArrivedAt int64 `json:"arrived-at"`
	At        int64 `json:"at"`
}

type completionBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func completionRequest(url, prompt string, tokens int) (*http.Request, error) {
	body, err := json.Marshal(completionBody{Prompt: prompt, MaxTokens: tokens})
	if err != nil {
		return nil, errors.Wrap(err, "encode a completion request")
	}
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create a completion request")
	}
	request.Header.Set("Authorization", "Bearer "+hsu.Token(hsu.Offices[0]))
	return request, nil
}

func timeStream(client *http.Client, url, prompt string, t *tokenLatencies) error {
	request, err := completionRequest(url, prompt, pathTokens)
	if err != nil {
		return err
	}
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEventLine)
	for scanner.Scan() {
		data, event := strings.CutPrefix(scanner.Text(), "data: {")
		if !event {
			continue
		}
		received := time.Now().UnixNano()
		var c streamChunk
		if err := json.Unmarshal([]byte("{"+data), &c); err != nil {
			return err
		}
		transit := time.Duration(received - c.At)
		if c.Index == 0 {
			t.add(t.first, time.Duration(c.ArrivedAt-sent.UnixNano())+transit)
			continue
		}
		t.add(t.later, transit)
	}
	return scanner.Err()
}

func reportOverhead(r *report, name string, direct, through *hdrhistogram.Histogram, bound float64) {
	for _, q := range []float64{50, 99} {
		d, t := millis(direct.ValueAtQuantile(q)), millis(through.ValueAtQuantile(q))
		r.printFigure(fmt.Sprintf("%s, p%.0f outside the engine", name, q),
			"direct %.3f ms, through %.3f ms, added %.3f ms (%d and %d samples)",
			d, t, t-d, direct.TotalCount(), through.TotalCount())
		if q == 99 {
			r.checkTarget("added to "+name+" p99", t-d, bound, " ms")
		}
	}
}

func millis(nanoseconds int64) float64 { return float64(nanoseconds) / float64(time.Millisecond) }

// requestRate measures how many requests a host serves per second of processor
// time. The deployment has one host, so the figure includes its work both as entry
// and as owner.
func requestRate(ctx context.Context, s Options, r *report) error {
	plan := deployment.CurrentSizePlan("hsu", 1)
	plan.Desks = 8
	run, err := start(ctx, s, "rate", plan)
	if err != nil {
		return err
	}
	defer run.stop()
	host := run.Hosts[0]
	before, err := usageOf(host.Process.Pid())
	if err != nil {
		return err
	}
	var workers sync.WaitGroup
	counts := make([]int, rateWorkers)
	end := time.Now().Add(rateDuration)
	for w := range rateWorkers {
		workers.Go(func() {
			client := &http.Client{}
			for time.Now().Before(end) {
				if readStock(client, host.Listen) == nil {
					counts[w]++
				}
			}
		})
	}
	workers.Wait()
	after, err := usageOf(host.Process.Pid())
	if err != nil {
		return err
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	cpu := after.minus(before).cpu
	r.printFigure("idempotent requests through one host", "%d in %v: %.0f/s, %.0f per core second, %.0f us of a core each",
		total, rateDuration, float64(total)/rateDuration.Seconds(), float64(total)/cpu.Seconds(),
		float64(cpu.Microseconds())/float64(max(total, 1)))
	return nil
}

func readStock(client *http.Client, listen string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+listen+"/orders/stock/7", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+hsu.Token(hsu.Offices[0]))
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Newf("GET /orders/stock/7 returned status %d", response.StatusCode)
	}
	return err
}

// openBytes measures the memory that a host uses per waiting request and per
// streaming request.
func openBytes(ctx context.Context, s Options, r *report) error {
	slow := []deployment.Generation{{Prefill: 1e6, Decode: 5, Step: 200 * time.Millisecond}}
	for _, kind := range []struct {
		name     string
		inFlight int
	}{{"waiting", 1}, {"streaming", openRequests}} {
		plan := deployment.Plan{Kind: "hsu", Hosts: 1, Engines: 1, Desks: 1, Generations: slow, InFlight: kind.inFlight}
		run, err := start(ctx, s, "open-"+kind.name, plan)
		if err != nil {
			return err
		}
		bytes, err := memoryPerRequest(ctx, run)
		run.stop()
		if err != nil {
			return err
		}
		r.checkTarget("bytes of a "+kind.name+" request", bytes/kilobyte, openBytesBound, " KB")
	}
	return nil
}

// memoryPerRequest opens requests, keeps them open, and returns the growth of the
// resident memory of the host in bytes per request.
func memoryPerRequest(ctx context.Context, run *measuredDeployment) (float64, error) {
	pid := run.Hosts[0].Process.Pid()
	before, err := usageOf(pid)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var inFlight sync.WaitGroup
	for i := range openRequests {
		inFlight.Go(func() {
			request, err := completionRequest("http://"+run.Hosts[0].Listen+"/assistant/v1/completions", fmt.Sprint("open ", i), 150)
			if err != nil {
				return
			}
			request.Header.Set("Request-Tier", hsu.Plan)
			response, err := http.DefaultClient.Do(request.WithContext(ctx))
			if err != nil {
				return
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
		})
		time.Sleep(time.Millisecond)
	}
	time.Sleep(openDuration)
	after, err := usageOf(pid)
	cancel()
	inFlight.Wait()
	return float64(after.minus(before).resident) / openRequests, err
}

// keyValueCalls measures the calls to the key-value service of an idle host and
// per idempotent and non-idempotent request.
func keyValueCalls(ctx context.Context, s Options, r *report) error {
	run, err := start(ctx, s, "calls", deployment.CurrentSizePlan("hsu", 1))
	if err != nil {
		return err
	}
	defer run.stop()
	client := &http.Client{}
	idle, err := run.countCalls(func() error { time.Sleep(openDuration); return nil })
	if err != nil {
		return err
	}
	r.printFigure("key-value calls of an idle host", "%.2f reads/s, %.2f writes/s",
		float64(idle.Reads)/openDuration.Seconds(), float64(idle.Writes)/openDuration.Seconds())
	idempotent, err := run.countCalls(func() error { return repeatCall(func() error { return readStock(client, run.Hosts[0].Listen) }) })
	if err != nil {
		return err
	}
	r.checkTarget("key-value writes of an idempotent request", float64(idempotent.Writes)/countedCalls, 0, "")
	nonIdempotent, err := run.countCalls(func() error { return repeatCall(func() error { return sendOrder(client, run.Hosts[0].Listen) }) })
	if err != nil {
		return err
	}
	r.printFigure("key-value calls of a non-idempotent request", "%.2f reads, %.2f writes (with the host's own reads)",
		float64(nonIdempotent.Reads)/countedCalls, float64(nonIdempotent.Writes)/countedCalls)
	return nil
}

// permitBytes measures the traffic between hosts per request: the messages for its
// ask, its permit and its end. Only requests whose owner is another host cause
// these, which is two of three requests in a deployment of three hosts. The traffic
// of the same time without requests is subtracted.
func permitBytes(ctx context.Context, s Options, r *report) error {
	const hosts = 3
	run, err := start(ctx, s, "permits", deployment.CurrentSizePlan("hsu", hosts))
	if err != nil {
		return err
	}
	defer run.stop()
	measureTraffic := func(work func() error) (resourceUsage, error) {
		before, err := sampleUsage(run)
		if err != nil {
			return resourceUsage{}, err
		}
		if err := work(); err != nil {
			return resourceUsage{}, err
		}
		after, err := sampleUsage(run)
		return resourceUsage{bytes: after.bytes - before.bytes, calls: after.calls - before.calls}, err
	}
	started := time.Now()
	busy, err := measureTraffic(func() error {
		client := &http.Client{}
		for i := range permitRequests {
			if err := readStock(client, run.Hosts[i%hosts].Listen); err != nil {
				return err
			}
		}
		return nil
	})
	duration := time.Since(started)
	if err != nil {
		return err
	}
	idle, err := measureTraffic(func() error { time.Sleep(duration); return nil })
	if err != nil {
		return err
	}
	const remoteRequests = permitRequests * (hosts - 1) / hosts
	r.printFigure("messages of a request with its owner elsewhere", "%.0f bytes in %.2f calls",
		(busy.bytes-idle.bytes)/remoteRequests, (busy.calls-idle.calls)/remoteRequests)
	return nil
}

func repeatCall(call func() error) error {
	for range countedCalls {
		if err := call(); err != nil {
			return err
		}
	}
	// Answers are stored after the response was sent; wait so that these writes
	// are counted.
	time.Sleep(time.Second)
	return nil
}

func (r *measuredDeployment) countCalls(work func() error) (storeCalls, error) {
	before, err := r.calls()
	if err != nil {
		return storeCalls{}, err
	}
	if err := work(); err != nil {
		return storeCalls{}, err
	}
	after, err := r.calls()
	return storeCalls{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes}, err
}

func sendOrder(client *http.Client, listen string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+listen+"/orders/confirmations", strings.NewReader("twelve trays"))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+hsu.Token(hsu.Offices[0]))
	request.Header.Set("Idempotency-Key", trace.NewKey())
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("POST /orders/confirmations returned status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
