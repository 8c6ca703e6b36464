package audit

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Counts returns the number of promises with each status.
func (r Report) Counts() (held, broken, notJudged int) {
	for _, result := range r.Results {
		switch result.Status {
		case Held:
			held++
		case Broken:
			broken++
		case NotJudged:
			notJudged++
		}
	}
	return held, broken, notJudged
}

// WastedShare returns the share of the prefilled prompt tokens that were computed
// for cancelled runs.
func (r Report) WastedShare() float64 {
	if r.Prefilled == 0 {
		return 0
	}
	return float64(r.Wasted) / float64(r.Prefilled)
}

// Print writes the table of promises, the table of tiers, the wasted prefill and
// examples of violations. The last line counts the promises by status.
func (r Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tPROMISE\tSTANDING\tCASES\tAGAINST")
	for _, result := range r.Results {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%d\n", result.Number, result.Promise, result.Status, result.Cases, result.Violations)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "TIER\tSENT\tIN TIME\tSHARE\tLATE\tNOT RUN\tUNKNOWN\tBROKEN OFF\tFAILED\tFIRST P50\tFIRST P99")
	for _, t := range r.Tiers {
		share := 100 * float64(t.InTime) / float64(max(t.Sent, 1))
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%v\t%v\n",
			t.Name, t.Sent, t.InTime, share, t.Late, t.NotRun, t.Unknown, t.BrokenOff, t.Failed,
			t.FirstP50.Round(time.Millisecond), t.FirstP99.Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print the tables")
	}
	fmt.Fprintf(w, "\nwasted prefill: %d of %d tokens (%.2f%%)\n", r.Wasted, r.Prefilled, 100*r.WastedShare())
	for _, result := range r.Results {
		for _, example := range result.Examples {
			fmt.Fprintf(w, "against promise %d: %s\n", result.Number, example)
		}
	}
	held, broken, notJudged := r.Counts()
	_, err := fmt.Fprintf(w, "promises: %d held, %d broken, %d not judged\n", held, broken, notJudged)
	return errors.Wrap(err, "print the number of promises")
}
