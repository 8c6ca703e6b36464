// Command priority adds a route of a very low priority to the configuration.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"godwitmoor.example/review/harness/caller"
	"godwitmoor.example/review/harness/deployment"
	"godwitmoor.example/review/harness/platform"
)

const (
	service  = "order-desk"
	timeout  = 800 * time.Millisecond
	deadline = 1500 * time.Millisecond
	work     = 30 * time.Millisecond
	workers  = 3
	slots    = 6
	// interval is the time between two orders of all clients.
	interval = 50 * time.Millisecond
	// lowPriority is the rank of the added route, usualPriority that of the others.
	lowPriority   = 1_000_000
	usualPriority = 2
	watched       = 70 * time.Second
)

func main() { deployment.Main(3, run) }

func run(d *deployment.Deployment) (bool, error) {
	desk := []*platform.Worker{}
	for n := range workers {
		desk = append(desk, &platform.Worker{
			ID: fmt.Sprintf("i-desk%d", n), Service: service, Zone: "zone-a", Slots: slots, Queue: 24,
			Work: func(*http.Request) time.Duration { return work },
		})
	}
	if err := d.StartWorkers(desk...); err != nil {
		return false, err
	}
	confirm := deployment.Route{Name: "confirm", Kind: "unsafe", Service: service, Timeout: timeout, Goal: 150 * time.Millisecond}
	d.Configure(1, []string{service}, []string{deployment.Key}, confirm)
	if err := d.Fleet.Start(); err != nil {
		return false, err
	}
	watch := d.WatchMemory()
	clients := &clients{deployment: d, end: time.Now().Add(watched)}
	clients.ended.Go(clients.run)
	time.Sleep(5 * time.Second)
	added := confirm
	added.Name, added.Priority = "overnight", usualPriority
	if d.Trouble {
		added.Priority = lowPriority
	}
	d.Record.Line("operator: adds route overnight with priority %d", added.Priority)
	d.Configure(2, []string{service}, []string{deployment.Key}, confirm, added)
	clients.ended.Wait()
	ends, largest := watch.Stop()
	isFault := deployment.IsFault(ends, len(d.Fleet.Hosts))
	d.Record.Line("judged: processes over their memory %v, largest %d MB, orders whole 200 %d of %d, fault %v", ends, largest, clients.served, clients.sent, isFault)
	return isFault, nil
}

// clients sends orders to all hosts in turn.
type clients struct {
	deployment   *deployment.Deployment
	end          time.Time
	ended        sync.WaitGroup
	mu           sync.Mutex
	sent, served int
}

func (c *clients) run() {
	for n := 0; time.Now().Before(c.end); n++ {
		c.ended.Go(func() { c.send(n) })
		time.Sleep(interval)
	}
}

func (c *clients) send(n int) {
	d := c.deployment
	outcome := caller.Request{
		Address: d.Fleet.Hosts[n%len(d.Fleet.Hosts)].Front, Host: deployment.HostName, Method: http.MethodPost, Path: fmt.Sprintf("/confirm/%d", n),
		Key: deployment.Key, ID: fmt.Sprintf("order%d", n), Deadline: deadline, Body: "trays",
	}.Send(d.Record)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if outcome.Answered() && outcome.Status == http.StatusOK {
		c.served++
	}
}
