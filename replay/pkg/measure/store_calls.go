package measure

import (
	"context"
	"net/http"
	"time"

	"godwitmoor.example/replay/pkg/deployment"
)

const (
	countedCalls      = 200
	idleCallsDuration = 4 * time.Second
)

// keyValueCalls measures the calls to the key-value service of an idle host and
// per idempotent and non-idempotent request.
func keyValueCalls(ctx context.Context, s Options, r *report) error {
	run, err := start(ctx, s, "calls", deployment.CurrentSizePlan("hsu", 1))
	if err != nil {
		return err
	}
	defer run.stop()
	client := &http.Client{}
	idle, err := growth(run.calls, storeCalls.minus, func() error { time.Sleep(idleCallsDuration); return nil })
	if err != nil {
		return err
	}
	r.printFigure("key-value calls of an idle host", "%.2f reads/s, %.2f writes/s",
		float64(idle.Reads)/idleCallsDuration.Seconds(), float64(idle.Writes)/idleCallsDuration.Seconds())
	idempotent, err := growth(run.calls, storeCalls.minus, func() error { return repeatCall(func() error { return readStock(client, run.Hosts[0].Listen) }) })
	if err != nil {
		return err
	}
	r.checkTarget("key-value writes of an idempotent request", float64(idempotent.Writes)/countedCalls, 0, "")
	nonIdempotent, err := growth(run.calls, storeCalls.minus, func() error { return repeatCall(func() error { return sendOrder(client, run.Hosts[0].Listen) }) })
	if err != nil {
		return err
	}
	r.printFigure("key-value calls of a non-idempotent request", "%.2f reads, %.2f writes (with the host's own reads)",
		float64(nonIdempotent.Reads)/countedCalls, float64(nonIdempotent.Writes)/countedCalls)
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
