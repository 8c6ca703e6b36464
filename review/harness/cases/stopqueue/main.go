// Command stopqueue stops a host while orders that it has read wait for a worker.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitmoor.example/review/harness/caller"
	"godwitmoor.example/review/harness/deployment"
	"godwitmoor.example/review/harness/platform"
)

const (
	service  = "order-desk"
	timeout  = 15 * time.Second
	bulkWork = 11 * time.Second
	orderMs  = 30
	workers  = 3
	slots    = 6
	orders   = 4
	// stoppedHost is the host that gets SIGTERM while orders wait there.
	stoppedHost = 1
	// warmUps are the quick orders before, from which the system learns the workers' times.
	warmUps = 60
	// lossSlack is LossSlackMs of the sheet.
	lossSlack = 200 * time.Millisecond
)

func main() { deployment.Main(3, run) }

func run(d *deployment.Deployment) (bool, error) {
	desk := []*platform.Worker{}
	for n := range workers {
		desk = append(desk, &platform.Worker{ID: fmt.Sprintf("i-desk%d", n), Service: service, Zone: "zone-a", Slots: slots, Queue: 24, Work: work})
	}
	if err := d.StartWorkers(desk...); err != nil {
		return false, err
	}
	d.Configure(1, []string{service}, []string{deployment.Key},
		deployment.Route{Name: "bulk", Kind: "unsafe", Service: service, Timeout: timeout, Goal: 150 * time.Millisecond},
		deployment.Route{Name: "confirm", Kind: "unsafe", Service: service, Timeout: timeout, Goal: 150 * time.Millisecond},
	)
	if err := d.Fleet.Start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var all sync.WaitGroup
	for n := range warmUps {
		all.Go(func() { request(d, n%3, "confirm", 100+n).Send(d.Record) })
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	for n := range workers * slots {
		all.Go(func() { request(d, 2*(n%2), "bulk", n).Send(d.Record) })
	}
	time.Sleep(time.Second)
	outcomes := make([]caller.Outcome, orders)
	for n := range orders {
		all.Go(func() { outcomes[n] = request(d, stoppedHost, "confirm", n).Send(d.Record) })
	}
	time.Sleep(time.Second)
	stopped := d.Fleet.Hosts[stoppedHost]
	if d.Trouble {
		d.Record.Line("platform: SIGTERM to %s", stopped.Name)
		stopped.Signal(syscall.SIGTERM)
		go func() {
			<-stopped.Exited()
			d.Record.Line("platform: %s has ended", stopped.Name)
		}()
	}
	all.Wait()
	return judge(d, desk, outcomes), nil
}

func work(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, "/bulk/") {
		return bulkWork
	}
	return orderMs * time.Millisecond
}

func request(d *deployment.Deployment, host int, route string, n int) caller.Request {
	return caller.Request{
		Address: d.Fleet.Hosts[host].Front, Host: deployment.HostName, Method: http.MethodPost, Path: fmt.Sprintf("/%s/%d", route, n),
		Key: deployment.Key, ID: fmt.Sprintf("%s%d", route, n), Deadline: timeout, Body: "trays",
	}
}

// judge reports whether an order that the host had read ended without an answer: later
// than LossSlackMs after its last byte, before its deadline and with no worker at work
// on it.
func judge(d *deployment.Deployment, desk []*platform.Worker, outcomes []caller.Outcome) bool {
	isBroken := false
	for n, o := range outcomes {
		id := fmt.Sprintf("confirm%d", n)
		runs := 0
		for _, w := range desk {
			runs += w.Runs(id)
		}
		after := o.EndedAt.Sub(o.SentAt)
		isLost := !o.Answered() && after > lossSlack && after < timeout && runs == 0
		d.Record.Line("judged: %s answered %v, runs %d, LOST %v", id, o.Answered(), runs, isLost)
		isBroken = isBroken || isLost
	}
	return isBroken
}
