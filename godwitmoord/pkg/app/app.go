// Package app assembles the daemon from its services and runs it from start to
// clean shutdown.
//
// # Usage
//
//	godwitmoord --settings host.jsonc
//
// On SIGTERM or SIGINT the daemon reports that it is not ready, keeps accepting
// requests until the balancer has had time to notice, finishes the requests in
// progress and exits with 0. Further signals are logged and have no effect.
// SIGHUP reads the settings file again and logs which settings would change at
// the next start.
package app

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/budget"
	"godwitmoor.example/godwitmoord/pkg/claims"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/discovery"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
	"godwitmoor.example/godwitmoord/pkg/front"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/logs"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/memory"
	"godwitmoor.example/godwitmoord/pkg/notice"
	"godwitmoor.example/godwitmoord/pkg/peer"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/serving"
	"godwitmoor.example/godwitmoord/pkg/settings"
	"godwitmoor.example/godwitmoord/pkg/status"
	"godwitmoor.example/platform"
)

const (
	readyPollInterval = 50 * time.Millisecond
	// pendingWritesTimeout bounds the wait for claims that are not yet written to
	// the store when all requests have ended. The outcome of a claim that is not
	// written by then is reported as unknown.
	pendingWritesTimeout = 15 * time.Second
	// graceReserve is how long before the platform would kill the process it cuts
	// off the remaining requests, so that it exits by itself.
	graceReserve = 250 * time.Millisecond
)

// Main runs the daemon with the arguments of the process. It exits with 1 on an
// error.
func Main() {
	command := &cli.Command{
		Name:  "godwitmoord",
		Usage: "schedule requests between callers and endpoints",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`, JSON with comments"},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the host; overrides the settings file"},
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` for callers; overrides the settings file"},
			&cli.StringFlag{Name: "peer-listen", Usage: "`ADDRESS` for other hosts; overrides the settings file"},
			&cli.StringFlag{Name: "status-listen", Usage: "`ADDRESS` for operators; overrides the settings file"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "godwitmoord:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := loadSettings(c)
	if err != nil || c.Bool("check") {
		return err
	}
	writer := logs.New(os.Stdout)
	go writer.Run()
	defer writer.Close()
	log := logs.NewLogger(writer).With(zap.String("host", s.Name))
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	d := New(s, log)
	if err := d.Start(ctx); err != nil {
		return err
	}
	r := &reloader{log: log, signals: reloadSignals, startedWith: s, load: func() (settings.Settings, error) { return loadSettings(c) }}
	go r.run()
	received := <-stopSignals
	log.Info("stopping", zap.String("signal", received.String()))
	l := &repeatedStopLogger{log: log, signals: stopSignals}
	go l.run()
	return d.Stop()
}

func loadSettings(c *cli.Command) (settings.Settings, error) {
	return settings.Load(c.String("settings"), settings.Overrides{
		Name:         c.String("name"),
		Listen:       c.String("listen"),
		PeerListen:   c.String("peer-listen"),
		StatusListen: c.String("status-listen"),
	})
}

// reloader reads the settings again on SIGHUP and logs which ones differ from
// those in force. Changes take effect at the next start: everything that a
// running host must follow comes from the store and from other hosts.
type reloader struct {
	log         *zap.Logger
	signals     <-chan os.Signal
	startedWith settings.Settings
	load        func() (settings.Settings, error)
}

func (r *reloader) run() {
	for range r.signals {
		loaded, err := r.load()
		if err != nil {
			r.log.Error("settings not reloaded, keeping the current ones", zap.Error(err))
			continue
		}
		r.log.Info("settings reloaded", zap.Strings("from-next-start", settings.ChangedFields(r.startedWith, loaded)))
	}
}

// repeatedStopLogger logs further stop signals, which do not speed up the stop.
type repeatedStopLogger struct {
	log     *zap.Logger
	signals <-chan os.Signal
}

func (l *repeatedStopLogger) run() {
	for received := range l.signals {
		l.log.Warn("already stopping; requests in progress are finished first", zap.String("signal", received.String()))
	}
}

// Daemon holds the services of one host's process.
type Daemon struct {
	common  *common.Common
	kernel  *kernel.Kernel
	members *membership.Service
	release *release.Service
	status  *status.Service
	front   *front.Service
	cancel  context.CancelFunc
}

// New returns a daemon with all its services registered; Start starts them.
func New(s settings.Settings, log *zap.Logger) *Daemon {
	k := kernel.New(log)
	c := &common.Common{
		Log:      log,
		Settings: s,
		Self:     host.Identity{Name: s.Name, Incarnation: time.Now().UnixMilli()},
		Kernel:   k,
		Metrics:  metrics.NewRegistry(),
		Dialect:  exchange.Native{},
		Budget:   budget.New(s.MemoryBytes()),
	}
	c.Shortages = &budget.Reporter{Log: log, Account: c.Budget, Count: c.Count}
	d := &Daemon{common: c, kernel: k, members: membership.New(c), status: status.New(c), front: front.New(c)}
	k.Register(kernel.Memory, &memory.Service{Limit: s.MemoryBytes()})
	k.Register(kernel.Record, record.New(c))
	k.Register(kernel.Peer, peer.New(c))
	k.Register(kernel.Membership, d.members)
	if s.Platform != nil {
		d.registerPlatformServices(s.Platform)
	} else {
		d.registerNativeServices()
	}
	owner := dispatch.NewOwner(c)
	entry := dispatch.NewEntry(c)
	d.members.OnLost(owner.HostLost)
	d.members.OnLost(entry.HostLost)
	k.Register(kernel.Owner, owner)
	k.Register(kernel.Dispatch, entry)
	k.Register(kernel.Serving, serving.New(c))
	k.Register(kernel.Front, d.front)
	k.Register(kernel.Status, d.status)
	return d
}

// registerNativeServices registers the services that use godwitmoor's own
// protocols: the configuration and the claims are in the key-value service.
func (d *Daemon) registerNativeServices() {
	store := &keyvalue.Client{URL: d.common.Settings.KeyValueURL}
	d.release = release.New(d.common, &configuration.Store{KeyValue: store})
	d.kernel.Register(kernel.Release, d.release)
	d.kernel.Register(kernel.Claims, claims.New(d.common, store))
}

// registerPlatformServices registers the services that use the platform's store
// and protocol.
func (d *Daemon) registerPlatformServices(p *settings.Platform) {
	d.common.Dialect, d.common.Features = platform.Dialect{}, platform.Features(p.Terms)
	d.release = release.New(d.common, nil)
	d.members.SetFreshnessProof(d.release)
	notices := notice.New(d.common)
	d.members.SetNoticeDigests(notices)
	d.kernel.Register(kernel.Release, d.release)
	found := discovery.New(d.common, notices, platform.NewStore(p.Store), platform.Layout{})
	d.members.SetStoreReader(found)
	d.kernel.Register(kernel.Discovery, found)
	// Discovery handles notices, so none may arrive before it has started.
	d.kernel.Register(kernel.Notice, notices)
}

// Start starts the services and returns. The host takes its role in the
// background as soon as it is ready.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	if err := d.kernel.Start(ctx); err != nil {
		return err
	}
	go d.run(ctx)
	d.common.Log.Info("started", zap.Int64("incarnation", d.common.Self.Incarnation))
	return nil
}

// run waits until this host has a configuration and knows the
// other hosts, or has waited for them long enough, and announces it as ready.
func (d *Daemon) run(ctx context.Context) {
	for !d.release.Ready() || !d.members.FleetDiscovered() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyPollInterval):
		}
	}
	d.members.SetPhase(membership.Ready)
	d.common.Log.Info("ready")
}

// Stop announces that this host is leaving, waits until no request is in
// progress and stops the services.
func (d *Daemon) Stop() error {
	started := time.Now()
	d.status.BeginStop()
	bound := d.stopBound()
	end := time.Time{}
	if bound > 0 {
		end = started.Add(bound)
	}
	d.front.BeginStop(end)
	d.members.SetPhase(membership.Leaving)
	time.Sleep(d.common.Settings.StopNotice.Std())
	ctx, cancel := context.WithCancel(context.Background())
	if bound > 0 {
		ctx, cancel = context.WithDeadline(context.Background(), end)
	}
	defer cancel()
	err := d.front.Stop(ctx)
	servicesCtx, cancelServices := context.WithTimeout(context.Background(), pendingWritesTimeout)
	defer cancelServices()
	err = errors.CombineErrors(err, d.kernel.Stop(servicesCtx))
	d.cancel()
	d.common.Log.Info("stopped", zap.Duration("after", time.Since(started)), zap.Error(err))
	return err
}

// stopBound returns how long after the start of the stop the requests still in
// progress are cut off; zero means never.
func (d *Daemon) stopBound() time.Duration {
	if p := d.common.Settings.Platform; p != nil {
		return p.StopGrace.Std() - graceReserve
	}
	if bound := d.common.Settings.StopBound.Std(); bound > 0 {
		return d.common.Settings.StopNotice.Std() + bound
	}
	return 0
}
