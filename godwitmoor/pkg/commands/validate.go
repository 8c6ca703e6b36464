package commands

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

func validate(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a configuration file",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			_, parsed, err := readFile(c)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "valid: %d tiers, %d customers, %d services, %d rules\n",
				len(parsed.Tiers), len(parsed.Customers), len(parsed.Services), len(parsed.Rules))
			return nil
		},
	}
}
