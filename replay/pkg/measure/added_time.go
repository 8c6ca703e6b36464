package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"godwitmoor.example/replay/pkg/deployment"
)

const (
	// firstTokenBound and laterTokenBound are the most milliseconds that a host may
	// add to a token, from the issue that asked for them.
	firstTokenBound = 2.0
	laterTokenBound = 0.5

	pathWorkers  = 20
	pathDuration = 12 * time.Second
	pathTokens   = 60
	maxEventLine = 1 << 20
)

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
