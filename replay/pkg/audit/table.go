package audit

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Counts returns the number of promises with each status.
func (j Judgement) Counts() (held, broken, notJudged int) {
	for _, v := range j.Verdicts {
		switch v.Standing {
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
func (j Judgement) WastedShare() float64 {
	if j.Prefilled == 0 {
		return 0
	}
	return float64(j.Wasted) / float64(j.Prefilled)
}

// Print writes the table of promises, the table of tiers, the wasted prefill and
// examples of violations. The last line counts the promises by status.
func (j Judgement) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tPROMISE\tSTANDING\tCASES\tAGAINST")
	for _, v := range j.Verdicts {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%d\n", v.Number, v.Promise, v.Standing, v.Seen, v.Against)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "TIER\tSENT\tIN TIME\tSHARE\tLATE\tNOT RUN\tUNKNOWN\tBROKEN OFF\tFAILED\tFIRST P50\tFIRST P99")
	for _, t := range j.Tiers {
		share := 100 * float64(t.InTime) / float64(max(t.Sent, 1))
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%v\t%v\n",
			t.Name, t.Sent, t.InTime, share, t.Late, t.NotRun, t.Unknown, t.BrokeOff, t.Failed,
			t.FirstP50.Round(time.Millisecond), t.FirstP99.Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print the tables")
	}
	fmt.Fprintf(w, "\nwasted prefill: %d of %d tokens (%.2f%%)\n", j.Wasted, j.Prefilled, 100*j.WastedShare())
	for _, v := range j.Verdicts {
		for _, example := range v.Examples {
			fmt.Fprintf(w, "against promise %d: %s\n", v.Number, example)
		}
	}
	held, broken, notJudged := j.Counts()
	_, err := fmt.Fprintf(w, "promises: %d held, %d broken, %d not judged\n", held, broken, notJudged)
	return errors.Wrap(err, "print the number of promises")
}
