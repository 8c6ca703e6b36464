package commands

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
	"godwitmoor.example/coordination/pkg/configuration"
)

func diff(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a file would change in the configuration in force",
		ArgsUsage: "FILE",
		Flags:     storeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			_, after, err := readFile(c)
			if err != nil {
				return err
			}
			current, err := newConfigurationStore(c).Current(ctx)
			if err != nil {
				return err
			}
			var before configuration.Configuration
			if current.Version > 0 {
				if before, err = current.Decode(); err != nil {
					return err
				}
			}
			fmt.Fprintf(out, "in force: version %d\n", current.Version)
			return printDifferences(out, before, after)
		},
	}
}
