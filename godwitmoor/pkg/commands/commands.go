// Package commands implements the operators' commands, one in each file. A new
// command is added to All.
package commands

import (
	"io"

	"github.com/urfave/cli/v3"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

// All returns all commands. They print to out.
func All(out io.Writer) []*cli.Command {
	return []*cli.Command{
		validate(out),
		diff(out),
		apply(out),
		status(out),
		explain(out),
	}
}

// UsageError reports that a command was called with wrong arguments or flags.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message + "; see --help" }

// storeFlags returns the flags of commands that use the platform's key-value
// service.
func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "key-value", Required: true, Usage: "`URL` of the platform's key-value service"},
	}
}

func hostFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "host", Usage: "`URL` of a host's status port; can be repeated"}
}

func newConfigurationStore(c *cli.Command) *configuration.Store {
	return &configuration.Store{KeyValue: &keyvalue.Client{URL: c.String("key-value")}}
}
