// Package audit judges a run by what the endpoints ran and what the callers
// were told. It shares no code with the scheduler's decisions: it reads files.
//
// # Usage
//
//	evidence, err := audit.Read("out/try")
//	verdicts := audit.Judge(evidence)
package audit

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/replay/pkg/caller"
	"godwitmoor.example/standin/pkg/runlog"
)

// Names of the files of a run.
const (
	CallersFile  = "callers.jsonl"
	TimelineFile = "timeline.jsonl"
	RunLogSuffix = ".runs.jsonl"
)

const maxLine = 1 << 20

// EventKind says what happened in the deployment.
type EventKind string

// The kinds of event in a timeline.
const (
	// Deployed lists the tiers, highest first, and the endpoints' services.
	Deployed EventKind = "deployed"
	// EndpointLeaving is when the first word of it was given.
	EndpointLeaving EventKind = "endpoint-leaving"
	// HostStopping is when a host was asked to stop; HostStopped its exit.
	HostStopping EventKind = "host-stopping"
	HostStopped  EventKind = "host-stopped"
	// Accepted is when a configuration was accepted.
	Accepted EventKind = "accepted"
	// Observed is the version that a host had in force.
	Observed EventKind = "observed"
	// Fault is anything else that was done.
	Fault EventKind = "fault"
)

// Event is one line of a timeline.
type Event struct {
	At      time.Time `json:"at"`
	Kind    EventKind `json:"kind"`
	Target  string    `json:"target,omitempty"`
	Version int64     `json:"version,omitempty"`
	// ExitStatus is that of a stopped host.
	ExitStatus int      `json:"exit-status,omitempty"`
	Tiers      []string `json:"tiers,omitempty"`
	// Services gives the service of each endpoint.
	Services map[string]string `json:"services,omitempty"`
	Note     string            `json:"note,omitempty"`
}

// Evidence is all that a run left behind.
type Evidence struct {
	Runs     []runlog.Line
	Outcomes []caller.Outcome
	Timeline []Event
}

// Read gathers the files of one run's folder.
func Read(folder string) (Evidence, error) {
	var e Evidence
	logs, err := filepath.Glob(filepath.Join(folder, "*"+RunLogSuffix))
	if err != nil {
		return e, errors.Wrap(err, "find the run logs")
	}
	for _, file := range logs {
		if e.Runs, err = readLines(file, e.Runs); err != nil {
			return e, err
		}
	}
	if e.Outcomes, err = readLines(filepath.Join(folder, CallersFile), e.Outcomes); err != nil {
		return e, err
	}
	e.Timeline, err = readLines(filepath.Join(folder, TimelineFile), e.Timeline)
	return e, err
}

func readLines[T any](file string, into []T) ([]T, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open the evidence")
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var line T
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, errors.Wrapf(err, "read a line of %s", file)
		}
		into = append(into, line)
	}
	return into, errors.Wrapf(scanner.Err(), "read %s", file)
}
