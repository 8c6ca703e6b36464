package measure

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwitmoor.example/replay/pkg/deployment"
)

const (
	rateWorkers  = 32
	rateDuration = 6 * time.Second
)

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
	total := 0
	used, err := growth(func() (usage, error) { return usageOf(host.Process.Pid()) }, usage.minus, func() error {
		total = readStockFor(rateDuration, host.Listen)
		return nil
	})
	if err != nil {
		return err
	}
	r.printFigure("idempotent requests through one host", "%d in %v: %.0f/s, %.0f per core second, %.0f us of a core each",
		total, rateDuration, float64(total)/rateDuration.Seconds(), float64(total)/used.cpu.Seconds(),
		float64(used.cpu.Microseconds())/float64(max(total, 1)))
	return nil
}

// readStockFor sends requests through one host from rateWorkers at a time, and
// returns how many were answered.
func readStockFor(d time.Duration, listen string) int {
	var workers sync.WaitGroup
	counts := make([]int, rateWorkers)
	end := time.Now().Add(d)
	for w := range rateWorkers {
		workers.Go(func() {
			client := &http.Client{}
			for time.Now().Before(end) {
				if readStock(client, listen) == nil {
					counts[w]++
				}
			}
		})
	}
	workers.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
