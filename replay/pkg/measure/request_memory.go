package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"godwitmoor.example/examples/pkg/hsu"
	"godwitmoor.example/replay/pkg/deployment"
)

const (
	// openBytesBound is the most memory that a host may use for an open request, in
	// KB, from the issue that asked for it.
	openBytesBound = 30.0
	openRequests   = 2000
	openDuration   = 4 * time.Second
)

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
	host := run.Hosts[0]
	ctx, cancel := context.WithCancel(ctx)
	var inFlight sync.WaitGroup
	used, err := growth(func() (usage, error) { return usageOf(host.Process.Pid()) }, usage.minus, func() error {
		for i := range openRequests {
			inFlight.Go(func() { holdOpen(ctx, host.Listen, fmt.Sprint("open ", i)) })
			time.Sleep(time.Millisecond)
		}
		time.Sleep(openDuration)
		return nil
	})
	cancel()
	inFlight.Wait()
	return float64(used.resident) / openRequests, err
}

// holdOpen sends a long request and reads its answer until ctx ends. One that fails
// lowers the figure, which is a mean over all requests.
func holdOpen(ctx context.Context, listen, prompt string) {
	request, err := completionRequest("http://"+listen+"/assistant/v1/completions", prompt, 150)
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
}
