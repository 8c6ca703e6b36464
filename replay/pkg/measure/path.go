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
	// Targets of the path, from the issue that asked for them.
	firstTokenBound = 2.0
	laterTokenBound = 0.5
	openBytesBound  = 30.0

	pathWorkers  = 20
	pathDuration = 12 * time.Second
	pathTokens   = 60
	rateWorkers  = 32
	rateDuration = 6 * time.Second
	openRequests = 2000
	openPause    = 4 * time.Second
	countedCalls = 200
	// permitRequests are sent one after the other, so that no two share a call.
	permitRequests = 300
	maxEventLine   = 1 << 20
)

// Path measures what the path through a host adds to a request.
func Path(ctx context.Context, s Setting) error {
	r := &report{out: s.Print}
	steps := []struct {
		name string
		run  func(context.Context, Setting, *report) error
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

// timing gathers the times of one way to an engine.
type timing struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	later *hdrhistogram.Histogram
}

func newTiming() *timing { return &timing{first: newHistogram(), later: newHistogram()} }

func (t *timing) add(h *hdrhistogram.Histogram, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Values outside the histogram's range cannot come from a run this short.
	_ = h.RecordValue(max(int64(d), 1))
}

// addedTime sends the same kind of request to the engines directly and through
// hosts, by turns, and compares what is spent outside the engines. Sender,
// engines and hosts share one machine and one clock.
func addedTime(ctx context.Context, s Setting, r *report) error {
	run, err := start(ctx, s, "path", deployment.Today("hsu", 3))
	if err != nil {
		return err
	}
	defer run.stop()
	direct, through := newTiming(), newTiming()
	var all sync.WaitGroup
	end := time.Now().Add(pathDuration)
	for w := range pathWorkers {
		all.Go(func() { alternate(run, w, end, direct, through) })
	}
	all.Wait()
	compare(r, "first token", direct.first, through.first, firstTokenBound)
	compare(r, "later token", direct.later, through.later, laterTokenBound)
	return nil
}

func alternate(run *running, worker int, end time.Time, direct, through *timing) {
	client := &http.Client{}
	for i := 0; time.Now().Before(end); i++ {
		host := run.Hosts[(worker+i)%len(run.Hosts)]
		engine := run.Endpoints[fmt.Sprintf("assistant-%d", 1+(worker+i)%run.Plan().Engines)]
		prompt := fmt.Sprintf("worker %d question %d", worker, i)
		// A failed request shows in the counts; the distributions hold the rest.
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

type completionWire struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func completionRequest(url, prompt string, tokens int) (*http.Request, error) {
	body, err := json.Marshal(completionWire{Prompt: prompt, MaxTokens: tokens})
	if err != nil {
		return nil, errors.Wrap(err, "encode a question")
	}
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "prepare a question")
	}
	request.Header.Set("Authorization", "Bearer "+hsu.Token(hsu.Offices[0]))
	return request, nil
}

func timeStream(client *http.Client, url, prompt string, t *timing) error {
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
		back := time.Duration(received - c.At)
		if c.Index == 0 {
			t.add(t.first, time.Duration(c.ArrivedAt-sent.UnixNano())+back)
			continue
		}
		t.add(t.later, back)
	}
	return scanner.Err()
}

func compare(r *report, name string, direct, through *hdrhistogram.Histogram, bound float64) {
	for _, q := range []float64{50, 99} {
		d, t := millis(direct.ValueAtQuantile(q)), millis(through.ValueAtQuantile(q))
		r.figure(fmt.Sprintf("%s, p%.0f outside the engine", name, q),
			"direct %.3f ms, through %.3f ms, added %.3f ms (%d and %d samples)",
			d, t, t-d, direct.TotalCount(), through.TotalCount())
		if q == 99 {
			r.target("added to "+name+" p99", t-d, bound, " ms")
		}
	}
}

func millis(nanoseconds int64) float64 { return float64(nanoseconds) / float64(time.Millisecond) }

// requestRate gives the requests that a core of a host carries: its own and
// that of its owner role, as the one host here has both.
func requestRate(ctx context.Context, s Setting, r *report) error {
	plan := deployment.Today("hsu", 1)
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
	var all sync.WaitGroup
	counts := make([]int, rateWorkers)
	end := time.Now().Add(rateDuration)
	for w := range rateWorkers {
		all.Go(func() {
			client := &http.Client{}
			for time.Now().Before(end) {
				if readStock(client, host.Listen) == nil {
					counts[w]++
				}
			}
		})
	}
	all.Wait()
	after, err := usageOf(host.Process.Pid())
	if err != nil {
		return err
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	spent := after.minus(before).cpu
	r.figure("idempotent requests through one host", "%d in %v: %.0f/s, %.0f per core second, %.0f us of a core each",
		total, rateDuration, float64(total)/rateDuration.Seconds(), float64(total)/spent.Seconds(),
		float64(spent.Microseconds())/float64(max(total, 1)))
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
		err = errors.Newf("status %d", response.StatusCode)
	}
	return err
}

// openBytes gives what a host holds for each waiting and each streaming request.
func openBytes(ctx context.Context, s Setting, r *report) error {
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
		bytes, err := hold(ctx, run)
		run.stop()
		if err != nil {
			return err
		}
		r.target("bytes of a "+kind.name+" request", bytes/kilobyteFloat, openBytesBound, " KB")
	}
	return nil
}

// hold opens requests, lets them stand, and gives the bytes that each holds.
func hold(ctx context.Context, run *running) (float64, error) {
	pid := run.Hosts[0].Process.Pid()
	before, err := usageOf(pid)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var open sync.WaitGroup
	for i := range openRequests {
		open.Go(func() {
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
	time.Sleep(openPause)
	after, err := usageOf(pid)
	cancel()
	open.Wait()
	return float64(after.minus(before).resident) / openRequests, err
}

// keyValueCalls counts the calls to the key-value service by kind of request.
func keyValueCalls(ctx context.Context, s Setting, r *report) error {
	run, err := start(ctx, s, "calls", deployment.Today("hsu", 1))
	if err != nil {
		return err
	}
	defer run.stop()
	client := &http.Client{}
	idle, err := run.countCalls(func() error { time.Sleep(openPause); return nil })
	if err != nil {
		return err
	}
	r.figure("key-value calls of an idle host", "%.2f reads/s, %.2f writes/s",
		float64(idle.Reads)/openPause.Seconds(), float64(idle.Writes)/openPause.Seconds())
	stock, err := run.countCalls(func() error { return repeat(func() error { return readStock(client, run.Hosts[0].Listen) }) })
	if err != nil {
		return err
	}
	r.target("key-value writes of an idempotent request", float64(stock.Writes)/countedCalls, 0, "")
	orders, err := run.countCalls(func() error { return repeat(func() error { return sendOrder(client, run.Hosts[0].Listen) }) })
	if err != nil {
		return err
	}
	r.figure("key-value calls of a non-idempotent request", "%.2f reads, %.2f writes (with the host's own reads)",
		float64(orders.Reads)/countedCalls, float64(orders.Writes)/countedCalls)
	return nil
}

// permitBytes gives what hosts tell each other for a request: its ask, permit
// and end, where two of three requests have their owner on another host.
func permitBytes(ctx context.Context, s Setting, r *report) error {
	const hosts = 3
	run, err := start(ctx, s, "permits", deployment.Today("hsu", hosts))
	if err != nil {
		return err
	}
	defer run.stop()
	told := func(work func() error) (spent, error) {
		before, err := sample(run)
		if err != nil {
			return spent{}, err
		}
		if err := work(); err != nil {
			return spent{}, err
		}
		after, err := sample(run)
		return spent{bytes: after.bytes - before.bytes, calls: after.calls - before.calls}, err
	}
	began := time.Now()
	busy, err := told(func() error {
		client := &http.Client{}
		for i := range permitRequests {
			if err := readStock(client, run.Hosts[i%hosts].Listen); err != nil {
				return err
			}
		}
		return nil
	})
	took := time.Since(began)
	if err != nil {
		return err
	}
	idle, err := told(func() error { time.Sleep(took); return nil })
	if err != nil {
		return err
	}
	const remote = permitRequests * (hosts - 1) / hosts
	r.figure("messages of a request with its owner elsewhere", "%.0f bytes in %.2f calls",
		(busy.bytes-idle.bytes)/remote, (busy.calls-idle.calls)/remote)
	return nil
}

func repeat(call func() error) error {
	for range countedCalls {
		if err := call(); err != nil {
			return err
		}
	}
	// Answers are stored behind the request.
	time.Sleep(time.Second)
	return nil
}

func (r *running) countCalls(work func() error) (calls, error) {
	before, err := r.calls()
	if err != nil {
		return calls{}, err
	}
	if err := work(); err != nil {
		return calls{}, err
	}
	after, err := r.calls()
	return calls{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes}, err
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
		return errors.Newf("an order was answered %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
