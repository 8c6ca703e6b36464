// Package app implements the command line of the stand-ins.
//
// # Usage
//
//	standin engine --listen 127.0.0.1:8001 --name engine-1 --run-log engine-1.jsonl
//	standin keyvalue --listen 127.0.0.1:2379
//
// Faults can be injected into a running engine, application service or key-value
// service: POST /faults with a JSON object. The host list has no faults.
package app

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"godwitmoor.example/standin/pkg/application"
	"godwitmoor.example/standin/pkg/engine"
	"godwitmoor.example/standin/pkg/hostlist"
	"godwitmoor.example/standin/pkg/keyvalue"
	"godwitmoor.example/standin/pkg/runlog"
)

const readHeaderTimeout = 10 * time.Second

// Main runs the command line and exits the process.
func Main() { os.Exit(execute()) }

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "simulate an external system",
		Commands: []*cli.Command{
			engineCommand(),
			applicationCommand(),
			keyValueCommand(),
			hostListCommand(),
		},
	}
}

func commonFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "listen", Required: true, Usage: "address to serve on, `IP:PORT`"},
		&cli.StringFlag{Name: "name", Usage: "endpoint name written to the run log"},
		&cli.StringFlag{Name: "run-log", Usage: "`FILE` to which JSON lines are appended at the start and end of each run"},
	}, extra...)
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "simulate a model engine with continuous batching",
		Flags: commonFlags(
			&cli.FloatFlag{Name: "prefill-speed", Value: 8000, Usage: "prompt tokens/s"},
			&cli.DurationFlag{Name: "step", Value: 10 * time.Millisecond, Usage: "time of one decode step with one request"},
			&cli.DurationFlag{Name: "step-each", Value: 300 * time.Microsecond, Usage: "time that each additional request adds to a step"},
			&cli.IntFlag{Name: "cache-tokens", Value: 100_000, Usage: "size of the prefix cache in tokens"},
			&cli.DurationFlag{Name: "load-lag", Value: time.Second, Usage: "delay of the reported load"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			log, err := runlog.Open(c.String("run-log"), c.String("name"))
			if err != nil {
				return err
			}
			model := engine.New(engine.Config{
				Prefill:     c.Float("prefill-speed"),
				Step:        c.Duration("step"),
				StepEach:    c.Duration("step-each"),
				CacheTokens: c.Int("cache-tokens"),
				LoadLag:     c.Duration("load-lag"),
			}, log)
			model.Start(ctx)
			return serve(ctx, c.String("listen"), model.Handler())
		},
	}
}

func applicationCommand() *cli.Command {
	return &cli.Command{
		Name:  "application",
		Usage: "simulate an application service",
		Flags: commonFlags(
			&cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond, Usage: "processing time of one request"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			log, err := runlog.Open(c.String("run-log"), c.String("name"))
			if err != nil {
				return err
			}
			service := application.New(c.Duration("work"), log)
			return serve(ctx, c.String("listen"), service.Handler())
		},
	}
}

func keyValueCommand() *cli.Command {
	return &cli.Command{
		Name:  "keyvalue",
		Usage: "simulate the platform's key-value service",
		Flags: commonFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), keyvalue.New().Handler())
		},
	}
}

func hostListCommand() *cli.Command {
	return &cli.Command{
		Name:  "hostlist",
		Usage: "simulate the platform's delayed list of hosts",
		Flags: commonFlags(
			&cli.DurationFlag{Name: "lag", Value: 2 * time.Second, Usage: "delay until a change appears in the list"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), hostlist.New(c.Duration("lag")).Handler())
		},
	}
}

// serverCloser closes a server when its context is cancelled.
type serverCloser struct{ server *http.Server }

func (c *serverCloser) run(ctx context.Context) {
	<-ctx.Done()
	// A graceful shutdown is not needed: the stand-ins keep no state that an
	// abrupt close would lose.
	_ = c.server.Close()
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	closer := &serverCloser{server: server}
	go closer.run(ctx)
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "listen on %s; choose a free address", address)
}
