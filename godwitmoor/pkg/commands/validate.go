package commands

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
)

const validateDescription = `Reports every error, each entry that can never match (such as a rule hidden by
one before it) and limits that contradict each other, with place, value and remedy.

` + exitStatusHelp

func validate(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "validate",
		Usage:       "check a configuration file",
		Description: validateDescription,
		ArgsUsage:   "FILE",
		Flags:       checkFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			report := reporter{out: out, asJSON: c.Bool("json")}
			file, err := checkFile(c)
			if printErr := report.warnings(file.warnings); printErr != nil {
				return printErr
			}
			if err != nil {
				return report.errors(err)
			}
			if err := report.valid(file.configuration); err != nil {
				return err
			}
			return warningsError(file.warnings)
		},
	}
}
