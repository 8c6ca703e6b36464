package commands

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
	"godwitmoor.example/coordination/pkg/configuration"
)

const diffDescription = `Checks the file as validate does, then prints each field that differs from the
version in force.

` + exitStatusHelp + ` A
difference does not change it.`

func diff(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "show what a file would change in the configuration in force",
		Description: diffDescription,
		ArgsUsage:   "FILE",
		Flags:       append(storeFlags(), checkFlags()...),
		Action: func(ctx context.Context, c *cli.Command) error {
			report := reporter{out: out, asJSON: c.Bool("json")}
			file, err := checkFile(c)
			if printErr := report.warnings(file.warnings); printErr != nil {
				return printErr
			}
			if err != nil {
				return report.errors(err)
			}
			if err := printDiff(ctx, newConfigurationStore(c), report, file.configuration); err != nil {
				return err
			}
			return warningsError(file.warnings)
		},
	}
}

// printDiff prints the version in force and what differs from it.
func printDiff(ctx context.Context, store *configuration.Store, report reporter, after configuration.Configuration) error {
	current, err := store.Current(ctx)
	if err != nil {
		return err
	}
	var before configuration.Configuration
	if current.Version > 0 {
		if before, err = current.Decode(); err != nil {
			return err
		}
	}
	if err := report.inForce(current.Version); err != nil {
		return err
	}
	return report.differences(before, after)
}
