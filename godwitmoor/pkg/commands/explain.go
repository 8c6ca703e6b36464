package commands

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoor/pkg/statusport"
)

// maxLineBytes bounds one line of a record, in bytes.
const maxLineBytes = 4 << 20

// NotRecordedError reports that no record of a request was found.
type NotRecordedError struct {
	ID          string
	Unreachable []string
	// Incomplete are the hosts of whose record only a part could be read.
	Incomplete []string
}

func (e *NotRecordedError) Error() string {
	text := fmt.Sprintf("no record of %s was found; for older requests read the hosts' logs with --log", e.ID)
	if len(e.Unreachable) > 0 {
		text += "; not reached: " + strings.Join(e.Unreachable, ", ")
	}
	if len(e.Incomplete) > 0 {
		text += "; record incomplete: " + strings.Join(e.Incomplete, ", ")
	}
	return text
}

// recordLine is one line of a host's record.
type recordLine struct {
	Decision *permit.Line     `json:"decision"`
	Request  *finishedRequest `json:"request"`
}

// finishedRequest is a host's record of a finished request.
type finishedRequest struct {
	Request  string   `json:"request"`
	Host     string   `json:"host"`
	Customer string   `json:"customer"`
	Tier     string   `json:"tier"`
	Key      string   `json:"key"`
	Attempts []string `json:"attempts"`
	Endpoint string   `json:"endpoint"`
	Outcome  string   `json:"outcome"`
	Reason   string   `json:"reason"`
	Took     float64  `json:"took-ms"`
	Deadline float64  `json:"deadline-ms"`
}

func explain(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show how a request was scheduled, from the records or the logs of hosts",
		ArgsUsage: "REQUEST-ID, CALLER-ID or KEY",
		Flags: []cli.Flag{
			hostFlag(),
			&cli.StringSliceFlag{Name: "log", Usage: "`FILE` of a host's log to read instead of its status port; can be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return &UsageError{Message: "pass exactly one request ID, caller ID or key"}
			}
			if files := c.StringSlice("log"); len(files) > 0 {
				return printLogs(out, files, c.Args().First())
			}
			history := requestHistory{requestID: c.Args().First()}
			for _, host := range c.StringSlice("host") {
				history.read(ctx, host)
			}
			return history.print(out)
		},
	}
}

// requestHistory holds the records read from the hosts and the ID of the request
// to explain.
type requestHistory struct {
	requestID   string
	lines       []recordLine
	unreachable []string
	incomplete  []string
}

func (h *requestHistory) read(ctx context.Context, host string) {
	data, err := statusport.Get(ctx, host+"/record")
	if err != nil {
		h.unreachable = append(h.unreachable, host)
		return
	}
	if !h.addLines(data) {
		h.incomplete = append(h.incomplete, host)
	}
}

// addLines adds the lines of a record and reports whether all could be decoded.
func (h *requestHistory) addLines(data []byte) bool {
	complete := true
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var line recordLine
		err := json.Unmarshal(scanner.Bytes(), &line)
		if err != nil || line.Decision == nil && line.Request == nil {
			complete = false
			continue
		}
		h.lines = append(h.lines, line)
	}
	return complete && scanner.Err() == nil
}

func (h *requestHistory) print(out io.Writer) error {
	found := false
	for _, line := range h.lines {
		r := line.Request
		if r == nil || (r.Request != h.requestID && r.Key != h.requestID) {
			continue
		}
		found = true
		h.printDecisions(out, r.Attempts)
		fmt.Fprintln(out, r.describe())
	}
	if !found {
		return &NotRecordedError{ID: h.requestID, Unreachable: h.unreachable, Incomplete: h.incomplete}
	}
	for _, host := range h.unreachable {
		fmt.Fprintf(out, "not reached: %s\n", host)
	}
	for _, host := range h.incomplete {
		fmt.Fprintf(out, "record incomplete: %s\n", host)
	}
	return nil
}

func (h *requestHistory) printDecisions(out io.Writer, attempts []string) {
	for _, line := range h.lines {
		if line.Decision == nil {
			continue
		}
		for _, a := range line.Decision.Actions {
			if text := describeDecision(line.Decision, a, attempts); text != "" {
				fmt.Fprintln(out, text)
			}
		}
	}
}

func describeDecision(d *permit.Line, a permit.ActionLine, attempts []string) string {
	switch a.Kind {
	case "granted":
		var g permit.Granted
		if json.Unmarshal(a.Action, &g) != nil || !slices.Contains(attempts, g.ID) {
			return ""
		}
		return fmt.Sprintf("owner %s, decision %d: granted after waiting %v, on a %s event: endpoint %s had a free place; estimated duration %v",
			d.Owner, d.Number, g.Waited.Round(time.Millisecond), d.Kind, g.Endpoint, g.Estimate.Round(time.Millisecond))
	case "refused":
		var r permit.Refused
		if json.Unmarshal(a.Action, &r) != nil || !slices.Contains(attempts, r.ID) {
			return ""
		}
		return fmt.Sprintf("owner %s, decision %d: refused after waiting %v, on a %s event; reason %s",
			d.Owner, d.Number, r.Waited.Round(time.Millisecond), d.Kind, r.Reason)
	}
	return ""
}

func (r *finishedRequest) describe() string {
	text := fmt.Sprintf("request %s of %s (tier %s) at host %s: %s", r.Request, r.Customer, r.Tier, r.Host, r.Outcome)
	if r.Reason != "" {
		text += ", reason " + r.Reason
	}
	if r.Endpoint != "" {
		text += ", last sent to endpoint " + r.Endpoint
	}
	return text + fmt.Sprintf(", after %.0f ms; deadline %.0f ms", r.Took, r.Deadline)
}
