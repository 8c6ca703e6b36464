// Package app implements the commands of the replay program.
//
// # Usage
//
//	replay try --bin bin --out out/try
//	replay run --bin bin replay/traces/lunch-3x.jsonc
//	replay audit out/try
package app

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"godwitmoor.example/replay/pkg/audit"
	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/replay/pkg/measure"
	"godwitmoor.example/replay/pkg/recheck"
	"godwitmoor.example/replay/pkg/reference"
	"godwitmoor.example/replay/pkg/trace"
	"godwitmoor.example/replay/pkg/trial"
	"godwitmoor.example/replay/traces"
)

// Main runs the command and ends the process.
func Main() { os.Exit(execute()) }

func execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "replay",
		Usage:    "run traces against a deployment and audit the results",
		Commands: []*cli.Command{tryCommand(), runCommand(), auditCommand(), measureCommand(), capacityCommand(), referenceCommand(), checkCommand()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		return 1
	}
	return 0
}

// ExpectationError reports that a run broke a promise or did not meet an
// expectation of its trace.
type ExpectationError struct{ Unmet []string }

func (e *ExpectationError) Error() string {
	return "the run did not meet the expectations of its trace: " + strings.Join(e.Unmet, "; ") + "; see the files of the run"
}

func binFlag() cli.Flag {
	return &cli.StringFlag{Name: "bin", Value: "bin", Usage: "`FOLDER` of the programs"}
}

func outFlag() cli.Flag {
	return &cli.StringFlag{Name: "out", Value: "out", Usage: "`FOLDER` for the files of each run"}
}

func tryCommand() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run the built-in short mixed trace",
		Flags: []cli.Flag{binFlag(), outFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			t, err := trace.Parse("try.jsonc", traces.Try)
			if err != nil {
				return err
			}
			return runTrace(ctx, c, t, t.Seed)
		},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "run traces by file name",
		ArgsUsage: "FILE ...",
		Flags: []cli.Flag{binFlag(), outFlag(), &cli.Uint64Flag{Name: "seed", Usage: "seed to use instead of the trace's own"},
			&cli.FloatFlag{Name: "goodput-weight", Usage: "goodput weight to use instead of the trace's or deployment's own"},
			&cli.StringFlag{Name: "policy", Usage: "send directly to the endpoints by the policy `NAME`: random, round-robin or reported-load"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			var failed error
			for _, file := range c.Args().Slice() {
				t, err := trace.Load(file)
				if err != nil {
					return err
				}
				seed := t.Seed
				if c.IsSet("seed") {
					seed = c.Uint64("seed")
				}
				if c.IsSet("goodput-weight") {
					weight := c.Float("goodput-weight")
					t.GoodputWeight = &weight
				}
				failed = errors.CombineErrors(failed, runTrace(ctx, c, t, seed))
			}
			return failed
		},
	}
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:      "audit",
		Usage:     "check the promises against the files of an earlier run",
		ArgsUsage: "FOLDER",
		Action: func(_ context.Context, c *cli.Command) error {
			evidence, err := audit.Read(c.Args().First())
			if err != nil {
				return err
			}
			return audit.Check(evidence).Print(os.Stdout)
		},
	}
}

func referenceCommand() *cli.Command {
	return &cli.Command{
		Name:  "reference",
		Usage: "print the reference page of all settings, generated from the source",
		Flags: []cli.Flag{&cli.StringFlag{Name: "root", Value: ".", Usage: "`FOLDER` of the repository"}},
		Action: func(_ context.Context, c *cli.Command) error {
			return reference.Write(os.Stdout, c.String("root"))
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "repeat recorded decisions and compare the results byte for byte",
		ArgsUsage: "FILE ...",
		Action: func(_ context.Context, c *cli.Command) error {
			return repeatDecisions(c.Args().Slice())
		},
	}
}

// repeatDecisions reads hosts' logs or records, repeats the decisions recorded in
// them and compares the results.
func repeatDecisions(files []string) error {
	var records recheck.Records
	for _, file := range files {
		in, err := os.Open(file)
		if err != nil {
			return errors.Wrap(err, "open a record")
		}
		err = records.Read(in)
		_ = in.Close()
		if err != nil {
			return errors.Wrap(err, file)
		}
	}
	result, err := records.Check()
	if err != nil {
		return err
	}
	fmt.Printf("decisions run again: %d of %d owners, all the same; %d owners without the beginning of their record\n",
		result.Decisions, result.ServiceOwners, result.Skipped)
	return nil
}

func measureSetting(c *cli.Command) measure.Options {
	return measure.Options{Bin: c.String("bin"), Out: filepath.Join(c.String("out"), "measure"), Writer: os.Stdout}
}

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure the overhead that a host adds to a request",
		Flags: []cli.Flag{binFlag(), outFlag(), &cli.StringSliceFlag{Name: "only", Usage: "what to measure: time, rate, bytes or calls; default all"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			setting := measureSetting(c)
			setting.Only = c.StringSlice("only")
			return measure.Overhead(ctx, setting)
		},
	}
}

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the control overhead of hosts as their number grows",
		Flags: []cli.Flag{binFlag(), outFlag(), &cli.IntSliceFlag{Name: "hosts", Value: []int{9, 30, 100}, Usage: "numbers of hosts to measure"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return measure.Capacity(ctx, measureSetting(c), c.IntSlice("hosts"))
		},
	}
}

func runTrace(ctx context.Context, c *cli.Command, t trace.Trace, seed uint64) error {
	out := filepath.Join(c.String("out"), t.Name)
	run := trial.Trial{Trace: t, Seed: seed, Policy: caller.Policy(c.String("policy")), Bin: c.String("bin"), Out: out}
	report, err := run.Run(ctx, os.Stderr)
	if err != nil {
		return err
	}
	fmt.Printf("trace %s, seed %d, policy %s, files in %s\n\n", t.Name, seed, cmp.Or(c.String("policy"), "godwitmoor"), out)
	if c.String("policy") == "" {
		logs, err := filepath.Glob(filepath.Join(out, "entry-*.log"))
		if err != nil {
			return errors.Wrap(err, "find the hosts' logs")
		}
		if err := repeatDecisions(logs); err != nil {
			return err
		}
	}
	unmet := report.UnmetExpectations(t.Expect)
	for _, expectation := range unmet {
		fmt.Println("missed:", expectation)
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if len(unmet) > 0 {
		return &ExpectationError{Unmet: unmet}
	}
	return nil
}
