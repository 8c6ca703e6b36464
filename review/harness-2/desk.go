package main

import (
	"time"
)

// deskRoutes are the routes of a deployment with one application service.
func deskRoutes() []route {
	return []route{
		{name: "lookup", kind: "safe", service: serviceName, timeout: 800 * time.Millisecond, attempts: 2},
		{name: "confirm", kind: "unsafe", service: serviceName, timeout: 800 * time.Millisecond, attempts: 1},
	}
}

// desk starts machines in front of a sound application service.
func (s *scene) desk(count int) ([]*node, *runLog, error) {
	text := configuration(1, deskRoutes(), []map[string]any{application(serviceName)}, []string{apiKey})
	_, nodes, log, err := s.deploy(count, text)
	return nodes, log, err
}

// deploy starts a store with a configuration, the two workers of an application service and
// machines, and waits until these are ready.
func (s *scene) deploy(count int, configuration string) (*store, []*node, *runLog, error) {
	st, log := newStore(), &runLog{}
	l, err := listen()
	if err != nil {
		return nil, nil, nil, err
	}
	go st.serve(l)
	if err := addDesk(st, log); err != nil {
		return nil, nil, nil, err
	}
	st.set("op/config", configuration)
	nodes, err := s.newNodes(count, l.Addr().String())
	if err != nil {
		return nil, nil, nil, err
	}
	return st, nodes, log, startAll(nodes)
}

// addDesk starts the two workers of the application service.
func addDesk(st *store, log *runLog) error {
	for _, id := range []string{"w-1", "w-2"} {
		l, err := listen()
		if err != nil {
			return err
		}
		w := newWorker(id, 6, 30*time.Millisecond, log)
		go w.serve(l)
		st.set("servers/"+id, w.entry(serviceName, l.Addr().String(), time.Now()))
	}
	return nil
}

// startAll starts machines and waits until all are ready. After an error none runs.
func startAll(nodes []*node) error {
	for _, n := range nodes {
		if err := n.start(); err != nil {
			stopAll(nodes)
			return err
		}
	}
	for _, n := range nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			stopAll(nodes)
			return err
		}
	}
	return nil
}

// stopAll ends all processes.
func stopAll(nodes []*node) {
	for _, n := range nodes {
		n.kill()
	}
}
