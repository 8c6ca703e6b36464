// Package recheck replays recorded decisions and compares the actions with the
// recorded ones byte for byte.
//
// # Usage
//
//	var records recheck.Records
//	err := records.Read(file) // once for each file
//	result, err := records.Check()
//
// The input is the log of one or more hosts, or the records that their status ports
// serve under /record. The first event of an epoch has number 1. A record without it
// can't be replayed, as the state before its first line is unknown; Check skips and
// counts such records.
package recheck

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/permit"
)

// maxLineBytes is the longest line that Read accepts, in bytes.
const maxLineBytes = 8 << 20

// DifferenceError reports a decision whose replay returned other actions than the
// record holds.
type DifferenceError struct {
	Line permit.Line
	// Recorded holds the actions of the record, as JSON.
	Recorded string
	// Replayed holds the actions of the replay, as JSON.
	Replayed string
}

func (e *DifferenceError) Error() string {
	return fmt.Sprintf("decision %d of %s by %s (epoch %d), event %s %s: recorded actions %s, replayed actions %s; the record is damaged, or another version wrote it: check it with that version",
		e.Line.Number, e.Line.Service, e.Line.Owner, e.Line.Epoch, e.Line.Kind, e.Line.Event, e.Recorded, e.Replayed)
}

// Result counts what Check replayed.
type Result struct {
	Decisions int
	// ServiceOwners counts the owners of services whose records were replayed. Each
	// epoch counts by itself.
	ServiceOwners int
	// Skipped counts those that were not replayed because their records lack the
	// beginning.
	Skipped int
}

// logLine is a line of a host's log, or of the records under /record.
type logLine struct {
	Record   *logRecord   `json:"record"`
	Decision *permit.Line `json:"decision"`
}

// logRecord is the record field of a log line.
type logRecord struct {
	Decision *permit.Line `json:"decision"`
}

// serviceOwner identifies one owner's state for one service. Each epoch begins with
// an empty state.
type serviceOwner struct {
	service string
	owner   string
	epoch   int64
}

// Records holds the decisions read so far, by service owner. The zero value is ready
// to use.
type Records struct {
	lines map[serviceOwner][]permit.Line
}

// Read adds the decisions of one file and ignores the lines that hold none.
func (r *Records) Read(in io.Reader) error {
	if r.lines == nil {
		r.lines = map[serviceOwner][]permit.Line{}
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var line logLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return errors.Wrap(err, "decode a line of the record")
		}
		decision := line.Decision
		if line.Record != nil {
			decision = line.Record.Decision
		}
		if decision != nil {
			key := serviceOwner{decision.Service, decision.Owner, decision.Epoch}
			r.lines[key] = append(r.lines[key], *decision)
		}
	}
	return errors.Wrap(scanner.Err(), "read the record")
}

// Check replays all complete records and stops at the first error, which is a
// *DifferenceError if a decision differs.
func (r *Records) Check() (Result, error) {
	var result Result
	for _, lines := range r.lines {
		slices.SortFunc(lines, func(a, b permit.Line) int { return int(a.Number - b.Number) })
		if lines[0].Number != 1 {
			result.Skipped++
			continue
		}
		result.ServiceOwners++
		n, err := checkOwner(lines)
		result.Decisions += n
		if err != nil {
			return result, err
		}
	}
	return result, nil
}

// checkOwner replays the decisions of one service owner in an empty core and returns
// how many were equal.
func checkOwner(lines []permit.Line) (int, error) {
	var core permit.Core
	for i, line := range lines {
		if line.Number != int64(i+1) {
			return i, errors.Newf("decision %d of %s by %s is missing; pass all files of the record", i+1, line.Service, line.Owner)
		}
		event, err := line.Decode()
		if err != nil {
			return i, err
		}
		replayedLine, err := line.WithDecision(event, core.Step(event))
		if err != nil {
			return i, err
		}
		recorded, replayed := encode(line.Actions), encode(replayedLine.Actions)
		if !bytes.Equal(recorded, replayed) {
			return i, &DifferenceError{Line: line, Recorded: string(recorded), Replayed: string(replayed)}
		}
	}
	return len(lines), nil
}

func encode(actions []permit.ActionLine) []byte {
	if len(actions) == 0 {
		return []byte("[]")
	}
	data, err := json.Marshal(actions)
	if err != nil {
		// Raw messages that were decoded or encoded before are always valid JSON.
		panic(err)
	}
	return data
}
