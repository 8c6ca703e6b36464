// Package deployment runs a case: a small deployment of the order desk, with stand-ins
// for the platform's store and the workers.
package deployment

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"godwitmoor.example/review/harness/fleet"
	"godwitmoor.example/review/harness/platform"
	"godwitmoor.example/review/harness/record"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	longestS  = 115
	storePath = "127.0.0.1:0"
)

// HostName is the Host header of all routes, Key the API key of the one tenant.
const (
	HostName = "desk.example"
	Key      = "k-desk-1"
	Tenant   = "desk"
)

// Deployment is what a case works with.
type Deployment struct {
	Record *record.Record
	Store  *platform.Store
	Fleet  *fleet.Fleet
	// Trouble is false if the case must run without its disruption.
	Trouble bool
	ctx     context.Context
}

// Route is a route of the configuration.
type Route struct {
	Name, Kind, Service string
	Timeout, Goal       time.Duration
	Resumable           bool
	// Priority is the route's rank; zero means 2, as most routes of the sheet.
	Priority    int
	MaxAttempts int
}

// Main runs a case with the given number of hosts and exits with its code. The case
// returns whether the rule was broken.
func Main(hosts int, run func(d *Deployment) (isBroken bool, err error)) {
	code := couldNot
	switch isBroken, err := start(hosts, run); {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
	case isBroken:
		code = broken
		fmt.Println("the rule was broken")
	default:
		code = held
		fmt.Println("the rule held")
	}
	os.Exit(code)
}

// start sets the deployment up, runs the case and ends all processes.
func start(hosts int, run func(d *Deployment) (bool, error)) (bool, error) {
	root, folder := os.Getenv("ROOT"), os.Getenv("CASE")
	lines, err := record.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer lines.Close()
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temporary)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	store := platform.NewStore()
	listener, err := net.Listen("tcp", storePath)
	if err != nil {
		return false, err
	}
	go func() { _ = http.Serve(listener, store) }()
	f, err := fleet.New(root, temporary, listener.Addr().String(), hosts)
	if err != nil {
		return false, err
	}
	defer f.Stop()
	d := &Deployment{Record: lines, Store: store, Fleet: f, Trouble: os.Getenv("TROUBLE") != "0", ctx: ctx}
	lines.Line("disruption: %v, logs in %s", d.Trouble, temporary)
	return d.await(run)
}

// await runs the case until it ends, its time is over or it is interrupted.
func (d *Deployment) await(run func(d *Deployment) (bool, error)) (bool, error) {
	type result struct {
		isBroken bool
		err      error
	}
	results := make(chan result, 1)
	go func() {
		isBroken, err := run(d)
		results <- result{isBroken: isBroken, err: err}
	}()
	select {
	case r := <-results:
		return r.isBroken, r.err
	case <-d.ctx.Done():
		return false, d.ctx.Err()
	case <-time.After(longestS * time.Second):
		return false, fmt.Errorf("not done after %d s", longestS)
	}
}

// StartWorkers starts sound workers of a service.
func (d *Deployment) StartWorkers(workers ...*platform.Worker) error {
	for _, w := range workers {
		w.Record = d.Record
		if err := w.Start(d.ctx, d.Store); err != nil {
			return err
		}
	}
	return nil
}

// Configure writes a configuration as the operator does.
func (d *Deployment) Configure(version int, services []string, keys []string, routes ...Route) {
	wireRoutes, wireServices := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"Name": r.Name, "Host": HostName, "PathPrefix": "/" + r.Name + "/", "RouteKind": r.Kind, "Service": r.Service,
			"TimeoutMs": r.Timeout.Milliseconds(), "GoalMs": r.Goal.Milliseconds(), "GapGoalMs": 300, "Priority": cmp.Or(r.Priority, 2),
			"MaxAttempts": max(r.MaxAttempts, 1), "Anonymous": false, "Sticky": false, "Resumable": r.Resumable,
		})
	}
	for _, name := range services {
		wireServices = append(wireServices, map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": false})
	}
	d.Store.Set("op/config", map[string]any{
		"Version": version, "Routes": wireRoutes, "Services": wireServices,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": Tenant, "ApiKeys": keys, "Priority": 1, "Unit": "tokens", "UncachedTokens": 200, "RatePerS": 0, "Burst": 0}},
	})
	d.Record.Line("operator: version %d acknowledged, keys %v", version, keys)
}
