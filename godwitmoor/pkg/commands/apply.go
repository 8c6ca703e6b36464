package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/godwitmoor/pkg/statusport"
)

const (
	applyTimeout = 30 * time.Second
	pollInterval = 100 * time.Millisecond
)

// SupersededError reports that another change was accepted since the base version,
// so that nothing was applied.
type SupersededError struct{ Current configuration.Superseded }

func (e *SupersededError) Error() string {
	return fmt.Sprintf("nothing was applied: version %d by %s (change %s) was accepted first; review it with diff, then apply again with --base %d",
		e.Current.Version, e.Current.By, e.Current.Change, e.Current.Version)
}

// NotInForceError reports that an accepted version is not yet in force on all
// live hosts.
type NotInForceError struct {
	Version       int64
	InForce, Live int
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is accepted, but in force on only %d of %d live hosts; run status to see the others", e.Version, e.InForce, e.Live)
}

func apply(out io.Writer) *cli.Command {
	flags := append(storeFlags(),
		&cli.Int64Flag{Name: "base", Value: -1, Usage: "apply only if this `VERSION` is in force; default: the one in force now"},
		&cli.StringFlag{Name: "change-id", Usage: "`ID` of an earlier apply whose outcome is unknown, to repeat it; default: a new one"},
		&cli.StringFlag{Name: "by", Usage: "`NAME` shown to operators whose change conflicts with this one; default: $USER"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the version is in force on every live host; needs --host"},
		&cli.DurationFlag{Name: "timeout", Value: applyTimeout, Usage: "give up after this time"},
		hostFlag(),
	)
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a configuration file",
		ArgsUsage: "FILE",
		Flags:     flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			version, err := applyFile(ctx, c)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "accepted: version %d\n", version)
			if !c.Bool("wait") {
				return nil
			}
			return waitUntilInForce(ctx, c, out, version)
		},
	}
}

func applyFile(ctx context.Context, c *cli.Command) (int64, error) {
	file, err := checkFile(c)
	if err != nil {
		return 0, err
	}
	if c.Bool("wait") && len(c.StringSlice("host")) == 0 {
		return 0, &UsageError{Message: "--wait needs --host"}
	}
	store := newConfigurationStore(c)
	base := c.Int64("base")
	if base < 0 {
		current, err := store.Current(ctx)
		if err != nil {
			return 0, err
		}
		base = current.Version
	}
	change := configuration.Change{ID: c.String("change-id"), By: c.String("by"), Text: file.text, Base: base}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if change.By == "" {
		change.By = os.Getenv("USER")
	}
	result, err := store.Apply(ctx, change)
	if err != nil {
		return 0, err
	}
	switch r := result.(type) {
	case configuration.Applied:
		return r.Version, nil
	case configuration.Superseded:
		return 0, &SupersededError{Current: r}
	}
	return 0, nil
}

// waitUntilInForce polls the hosts until the version is in force on all live ones.
func waitUntilInForce(ctx context.Context, c *cli.Command, out io.Writer, version int64) error {
	start := time.Now()
	inForce, live := 0, 0
	for {
		if view, err := statusport.Any(ctx, c.StringSlice("host")); err == nil {
			inForce, live = view.CountInForce(version)
			if inForce == live && live > 0 {
				fmt.Fprintf(out, "in force on %d of %d hosts after %v\n", inForce, live, time.Since(start).Round(time.Millisecond))
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{Version: version, InForce: inForce, Live: live}
		case <-time.After(pollInterval):
		}
	}
}
