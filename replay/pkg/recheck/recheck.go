// Package recheck runs recorded decisions again and compares them byte for byte.
//
// # Usage
//
//	result, err := recheck.Read(file)
//
// The input is the log of one or more hosts, or what their status ports give
// under /record. A record whose beginning is missing (an epoch's first event
// has number 1) cannot be run again and is counted as such.
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

const maxLine = 8 << 20

// DifferenceError is the first decision that came out differently.
type DifferenceError struct {
	Line     permit.Line
	Recorded string
	Now      string
}

func (e *DifferenceError) Error() string {
	return fmt.Sprintf("decision %d of %s by %s (epoch %d), event %s %s: recorded %s, now %s; the record is damaged or comes from another version",
		e.Line.Number, e.Line.Service, e.Line.Owner, e.Line.Epoch, e.Line.Kind, e.Line.Event, e.Recorded, e.Now)
}

// Result counts what was run again.
type Result struct {
	Decisions int
	Seats     int
	// Headless counts the seats whose record begins in the middle.
	Headless int
}

// logLine is a line of a host's log, or of its record.
type logLine struct {
	Record   *recorded    `json:"record"`
	Decision *permit.Line `json:"decision"`
}

type recorded struct {
	Decision *permit.Line `json:"decision"`
}

// seat is one owner's time with one service.
type seat struct {
	service string
	owner   string
	epoch   int64
}

// Records holds the decisions read so far, by seat. The zero value works.
type Records struct{ lines map[seat][]permit.Line }

// Read adds the decisions of one file. Lines of other kinds are passed over.
func (r *Records) Read(in io.Reader) error {
	if r.lines == nil {
		r.lines = map[seat][]permit.Line{}
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var line logLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return errors.Wrap(err, "read a line of the record")
		}
		decision := line.Decision
		if line.Record != nil {
			decision = line.Record.Decision
		}
		if decision != nil {
			key := seat{decision.Service, decision.Owner, decision.Epoch}
			r.lines[key] = append(r.lines[key], *decision)
		}
	}
	return errors.Wrap(scanner.Err(), "read the record")
}

// Check runs everything again. The error is a *DifferenceError at the first
// decision that differs.
func (r *Records) Check() (Result, error) {
	var result Result
	for _, lines := range r.lines {
		slices.SortFunc(lines, func(a, b permit.Line) int { return int(a.Number - b.Number) })
		if lines[0].Number != 1 {
			result.Headless++
			continue
		}
		result.Seats++
		n, err := checkSeat(lines)
		result.Decisions += n
		if err != nil {
			return result, err
		}
	}
	return result, nil
}

func checkSeat(lines []permit.Line) (int, error) {
	var core permit.Core
	for i, line := range lines {
		if line.Number != int64(i+1) {
			return i, errors.Newf("decision %d of %s by %s is missing; give the whole record", i+1, line.Service, line.Owner)
		}
		event, err := line.Decode()
		if err != nil {
			return i, err
		}
		again, err := line.WithDecision(event, core.Step(event))
		if err != nil {
			return i, err
		}
		was, now := encode(line.Actions), encode(again.Actions)
		if !bytes.Equal(was, now) {
			return i, &DifferenceError{Line: line, Recorded: string(was), Now: string(now)}
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
		// Raw messages that were decoded once are always valid.
		panic(err)
	}
	return data
}
