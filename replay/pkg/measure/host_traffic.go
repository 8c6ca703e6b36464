package measure

import (
	"context"
	"net/http"
	"time"

	"godwitmoor.example/replay/pkg/deployment"
)

// permitRequests is the number of requests that permitBytes sends. They are
// sent one after the other, so that no two share a call between hosts.
const permitRequests = 300

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
	started := time.Now()
	busy, err := growth(run.sampleUsage, resourceUsage.minus, func() error {
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
	idle, err := growth(run.sampleUsage, resourceUsage.minus, func() error { time.Sleep(duration); return nil })
	if err != nil {
		return err
	}
	const remoteRequests = permitRequests * (hosts - 1) / hosts
	r.printFigure("messages of a request with its owner elsewhere", "%.0f bytes in %.2f calls",
		(busy.bytes-idle.bytes)/remoteRequests, (busy.calls-idle.calls)/remoteRequests)
	return nil
}
