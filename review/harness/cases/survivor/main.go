// Command survivor takes eight of nine machines away at the moment at which a worker
// leaves.
package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"godwitmoor.example/review/harness/caller"
	"godwitmoor.example/review/harness/deployment"
	"godwitmoor.example/review/harness/fleet"
	"godwitmoor.example/review/harness/platform"
)

const (
	service  = "order-desk"
	timeout  = 800 * time.Millisecond
	deadline = 1500 * time.Millisecond
	work     = 30 * time.Millisecond
	machines = 9
	slots    = 6
	// survivor is the machine that stays.
	survivor = "edge-taipei-a-1"
	// drainBound is DrainMs of the sheet, dark how long the other machines are without
	// power.
	drainBound = 2 * time.Second
	dark       = 2 * time.Second
	interval   = 20 * time.Millisecond
	// watched is how long after a leaving the worker is watched, calm how long the
	// machines run between two losses.
	watched = 4 * time.Second
	calm    = 13 * time.Second
	rounds  = 5
)

func main() { deployment.Main(machines, run) }

func run(d *deployment.Deployment) (bool, error) {
	var desk []*platform.Worker
	for n := range rounds + 3 {
		desk = append(desk, &platform.Worker{
			ID: fmt.Sprintf("i-desk%d", n), Service: service, Zone: "taipei-a", Slots: slots, Queue: 24,
			Work: func(*http.Request) time.Duration { return work },
		})
	}
	if err := d.StartWorkers(desk...); err != nil {
		return false, err
	}
	d.Configure(1, []string{service}, []string{deployment.Key}, deployment.Route{Name: "confirm", Kind: "unsafe", Service: service, Timeout: timeout, Goal: 150 * time.Millisecond})
	if err := d.Fleet.Start(); err != nil {
		return false, err
	}
	c := &clients{deployment: d, stop: make(chan struct{})}
	for _, h := range d.Fleet.Hosts {
		if h.Name == survivor {
			c.host = h
		}
	}
	go c.run()
	defer close(c.stop)
	isBroken := false
	for round := range rounds {
		time.Sleep(calm)
		late, err := lose(d, desk[round])
		if err != nil {
			return false, err
		}
		isBroken = isBroken || late > drainBound
	}
	return isBroken, nil
}

// lose takes the power of all machines but the survivor while a worker leaves, and
// returns how long after that was acknowledged the last request reached the worker.
func lose(d *deployment.Deployment, leaving *platform.Worker) (time.Duration, error) {
	lost := others(d)
	if d.Trouble {
		// A stopped process answers nothing, and its connections stay open, like those of
		// a machine without power. It doesn't run on: it is killed before it would.
		for _, h := range lost {
			h.Signal(syscall.SIGSTOP)
		}
		d.Record.Line("platform: %d machines without power", len(lost))
	}
	acknowledged := leaving.Leave()
	d.Record.Line("store: acknowledged that %s is gone", leaving.ID)
	time.Sleep(time.Until(acknowledged.Add(dark)))
	if d.Trouble {
		for _, h := range lost {
			h.Signal(syscall.SIGKILL)
			<-h.Exited()
			if err := d.Fleet.StartHost(h); err != nil {
				return 0, err
			}
		}
		d.Record.Line("platform: they start again")
	}
	time.Sleep(time.Until(acknowledged.Add(watched)))
	late := leaving.LastArrival().Sub(acknowledged)
	d.Record.Line("judged: the last request reached %s %v after its leaving was acknowledged, bound %v", leaving.ID, late.Round(time.Millisecond), drainBound)
	return late, nil
}

// others returns all hosts but the survivor.
func others(d *deployment.Deployment) []*fleet.Host {
	var hosts []*fleet.Host
	for _, h := range d.Fleet.Hosts {
		if h.Name != survivor {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// clients send orders to one host.
type clients struct {
	deployment *deployment.Deployment
	host       *fleet.Host
	stop       chan struct{}
}

func (c *clients) run() {
	for n := 0; ; n++ {
		request := caller.Request{
			Address: c.host.Front, Host: deployment.HostName, Method: http.MethodPost, Path: fmt.Sprintf("/confirm/%d", n),
			Key: deployment.Key, ID: fmt.Sprintf("order%d", n), Deadline: deadline, Body: "trays",
		}
		go request.Send(c.deployment.Record)
		select {
		case <-c.stop:
			return
		case <-time.After(interval):
		}
	}
}
