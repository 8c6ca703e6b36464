// Package app wires the daemon together and runs it from its start to a clean
// stop.
//
// # Usage
//
//	godwitmoord --settings host.jsonc
//
// SIGTERM or SIGINT stops it: the host reports that it is not ready, keeps
// taking requests until the balancer has had time to notice, finishes all that
// it holds and exits with 0. A second signal changes nothing.
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
	"godwitmoor.example/godwitmoord/pkg/claims"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/discovery"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
	"godwitmoor.example/godwitmoord/pkg/front"
	"godwitmoor.example/godwitmoord/pkg/kernel"
	"godwitmoor.example/godwitmoord/pkg/logs"
	"godwitmoor.example/godwitmoord/pkg/membership"
	"godwitmoor.example/godwitmoord/pkg/memory"
	"godwitmoor.example/godwitmoord/pkg/peer"
	"godwitmoor.example/godwitmoord/pkg/record"
	"godwitmoor.example/godwitmoord/pkg/release"
	"godwitmoor.example/godwitmoord/pkg/serving"
	"godwitmoor.example/godwitmoord/pkg/settings"
	"godwitmoor.example/godwitmoord/pkg/status"
	"godwitmoor.example/platform"
)

const (
	readyInterval = 50 * time.Millisecond
	// writeBehind bounds the wait for claims that are still to be written when
	// all requests have ended; what is not written then is told as unknown.
	writeBehind = 15 * time.Second
	// graceReserve is how long before the platform's kill the process ends by
	// itself.
	graceReserve = 250 * time.Millisecond
)

// Main runs the daemon and ends the process.
func Main() {
	command := &cli.Command{
		Name:  "godwitmoord",
		Usage: "schedule requests between callers and endpoints",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "`FILE` of settings, JSON with comments"},
			&cli.StringFlag{Name: "name", Usage: "replaces the settings' `NAME`"},
			&cli.StringFlag{Name: "listen", Usage: "replaces the settings' `ADDRESS` for callers"},
			&cli.StringFlag{Name: "peer-listen", Usage: "replaces the settings' `ADDRESS` for other hosts"},
			&cli.StringFlag{Name: "status-listen", Usage: "replaces the settings' `ADDRESS` for operators"},
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
	s, err := load(c)
	if err != nil || c.Bool("check") {
		return err
	}
	writer := logs.New(os.Stdout)
	go writer.Run()
	defer writer.Close()
	log := logs.Logger(writer).With(zap.String("host", s.Name))
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	d := New(s, log)
	if err := d.Start(ctx); err != nil {
		return err
	}
	r := &reloader{log: log, signals: reloads, inForce: s, load: func() (settings.Settings, error) { return load(c) }}
	go r.run()
	received := <-stops
	log.Info("stopping", zap.String("signal", received.String()))
	n := &ignorer{log: log, signals: stops}
	go n.run()
	return d.Stop()
}

func load(c *cli.Command) (settings.Settings, error) {
	return settings.Load(c.String("settings"), settings.Overrides{
		Name:         c.String("name"),
		Listen:       c.String("listen"),
		PeerListen:   c.String("peer-listen"),
		StatusListen: c.String("status-listen"),
	})
}

// reloader reads the settings again when it is told to. All that a running host
// needs to follow comes from the store and from other hosts; so changes are
// told, and count from the next start on.
type reloader struct {
	log     *zap.Logger
	signals <-chan os.Signal
	inForce settings.Settings
	load    func() (settings.Settings, error)
}

func (r *reloader) run() {
	for range r.signals {
		read, err := r.load()
		if err != nil {
			r.log.Error("settings not reloaded, the earlier ones stay", zap.Error(err))
			continue
		}
		r.log.Info("settings reloaded", zap.Strings("from-next-start", settings.Changed(r.inForce, read)))
	}
}

// ignorer says that a further signal does not hurry the stop.
type ignorer struct {
	log     *zap.Logger
	signals <-chan os.Signal
}

func (n *ignorer) run() {
	for received := range n.signals {
		n.log.Warn("already stopping; requests in progress are finished first", zap.String("signal", received.String()))
	}
}

// Daemon is one host's process.
type Daemon struct {
	common  *common.Common
	kernel  *kernel.Kernel
	members *membership.Service
	release *release.Service
	status  *status.Service
	front   *front.Service
	cancel  context.CancelFunc
}

// New makes a daemon that Start sets to work.
func New(s settings.Settings, log *zap.Logger) *Daemon {
	k := kernel.New(log)
	c := &common.Common{
		Log:      log,
		Settings: s,
		Self:     host.Identity{Name: s.Name, Incarnation: time.Now().UnixMilli()},
		Kernel:   k,
		Metrics:  metrics.NewRegistry(),
		Dialect:  exchange.Native{},
	}
	d := &Daemon{common: c, kernel: k, members: membership.New(c), status: status.New(c), front: front.New(c)}
	k.Register(kernel.Memory, &memory.Service{})
	k.Register(kernel.Record, record.New(c))
	k.Register(kernel.Peer, peer.New(c))
	k.Register(kernel.Membership, d.members)
	if s.Platform != nil {
		d.onPlatform(s.Platform)
	} else {
		d.onOwnInterfaces()
	}
	owner := dispatch.NewOwner(c)
	d.members.OnLost(owner.HostLost)
	k.Register(kernel.Owner, owner)
	k.Register(kernel.Dispatch, dispatch.NewEntry(c))
	k.Register(kernel.Serving, serving.New(c))
	k.Register(kernel.Front, d.front)
	k.Register(kernel.Status, d.status)
	return d
}

// onOwnInterfaces registers what meets the world through the product's own
// interfaces.
func (d *Daemon) onOwnInterfaces() {
	store := &keyvalue.Client{URL: d.common.Settings.KeyValueURL}
	d.release = release.New(d.common, &configuration.Register{Store: store})
	d.kernel.Register(kernel.Release, d.release)
	d.kernel.Register(kernel.Claims, claims.New(d.common, store))
}

// onPlatform registers what meets the world through the users' platform.
func (d *Daemon) onPlatform(p *settings.Platform) {
	d.common.Dialect = platform.Dialect{}
	d.release = release.New(d.common, nil)
	d.members.ShareProof(d.release)
	d.kernel.Register(kernel.Release, d.release)
	d.kernel.Register(kernel.Discovery, discovery.New(d.common, platform.NewStore(p.Store), platform.Layout{}))
}

// Start starts the services; the host takes a role once it is ready.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(ctx)
	if err := d.kernel.Start(ctx); err != nil {
		return err
	}
	go d.run(ctx)
	d.common.Log.Info("started", zap.Int64("incarnation", d.common.Self.Incarnation))
	return nil
}

// run takes the host's role up when it has a configuration.
func (d *Daemon) run(ctx context.Context) {
	for !d.release.Ready() || !d.members.Settled() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyInterval):
		}
	}
	d.members.SetPhase(membership.Ready)
	d.common.Log.Info("ready")
}

// Stop leaves the fleet in good order and ends when nothing is in progress.
func (d *Daemon) Stop() error {
	started := time.Now()
	d.status.BeginStop()
	d.front.BeginStop()
	d.members.SetPhase(membership.Leaving)
	time.Sleep(d.common.Settings.StopNotice.Std())
	ctx, cancel := context.WithCancel(context.Background())
	if bound := d.stopBound(); bound > 0 {
		ctx, cancel = context.WithDeadline(context.Background(), started.Add(bound))
	}
	defer cancel()
	err := d.front.Stop(ctx)
	rest, cancelRest := context.WithTimeout(context.Background(), writeBehind)
	defer cancelRest()
	err = errors.CombineErrors(err, d.kernel.Stop(rest))
	d.cancel()
	d.common.Log.Info("stopped", zap.Duration("after", time.Since(started)), zap.Error(err))
	return err
}

// stopBound is how long after the signal what still runs is cut; zero never
// cuts.
func (d *Daemon) stopBound() time.Duration {
	if p := d.common.Settings.Platform; p != nil {
		return p.StopGrace.Std() - graceReserve
	}
	if bound := d.common.Settings.StopBound.Std(); bound > 0 {
		return d.common.Settings.StopNotice.Std() + bound
	}
	return 0
}
