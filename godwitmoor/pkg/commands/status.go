package commands

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
	"godwitmoor.example/godwitmoor/pkg/statusport"
)

func status(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the hosts and the configuration version in force on each",
		Flags: []cli.Flag{hostFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			view, err := statusport.Any(ctx, c.StringSlice("host"))
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "HOST\tDATA CENTRE\tPHASE\tSTATE\tVERSION")
			for _, h := range view.Hosts {
				fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\n", h.Name, h.DataCentre, h.Phase, h.State, h.Version)
			}
			fmt.Fprintf(table, "as seen by %s\n", view.Host)
			return table.Flush()
		},
	}
}
