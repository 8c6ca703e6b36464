// Package audit checks, after a run, which of the scheduler's eight promises were
// kept. It compares what the endpoints ran (their run logs) with the responses
// that callers received and with the timeline of the deployment. Its only input
// is these files: it shares no code with the scheduler's decisions.
//
// # Usage
//
//	evidence, err := audit.Read("out/try")
//	report := audit.Check(evidence)
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

// Names of the files in a run's output folder. There is one run log for each
// endpoint; its name ends in RunLogSuffix.
const (
	CallersFile  = "callers.jsonl"
	TimelineFile = "timeline.jsonl"
	RunLogSuffix = ".runs.jsonl"
)

// maxLineBytes bounds one line of these files, in bytes.
const maxLineBytes = 1 << 20

// EventKind is the kind of an event in a timeline.
type EventKind string

// The kinds of events in a timeline.
const (
	// Deployed lists the tiers, highest first, and the services with their
	// path prefixes and endpoints.
	Deployed EventKind = "deployed"
	// EndpointLeaving marks when it was first reported that an endpoint leaves.
	EndpointLeaving EventKind = "endpoint-leaving"
	// HostStopping marks when a host was asked to stop, HostStopped when its
	// process exited.
	HostStopping EventKind = "host-stopping"
	HostStopped  EventKind = "host-stopped"
	// Accepted marks when the apply of a configuration that was accepted, as
	// Version, began.
	Accepted EventKind = "accepted"
	// Observed records the configuration version in force on a host.
	Observed EventKind = "observed"
	// Fault marks any other fault injected into the deployment; Note names it.
	Fault EventKind = "fault"
)

// Event is one line of the timeline file.
type Event struct {
	At      time.Time `json:"at"`
	Kind    EventKind `json:"kind"`
	Target  string    `json:"target,omitempty"`
	Version int64     `json:"version,omitempty"`
	// ExitStatus is 0 if a stopped host exited cleanly, otherwise 1.
	ExitStatus int      `json:"exit-status,omitempty"`
	Tiers      []string `json:"tiers,omitempty"`
	// Services maps endpoint names and path prefixes to the names of services.
	Services map[string]string `json:"services,omitempty"`
	Note     string            `json:"note,omitempty"`
}

// Evidence holds everything that the files of a run record.
type Evidence struct {
	Runs     []runlog.Line
	Outcomes []caller.Outcome
	Timeline []Event
}

// Read reads the files of a run from its output folder.
func Read(folder string) (Evidence, error) {
	var e Evidence
	logs, err := filepath.Glob(filepath.Join(folder, "*"+RunLogSuffix))
	if err != nil {
		return e, errors.Wrap(err, "list the run logs of the endpoints")
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
		return nil, errors.Wrap(err, "open a file of the run; name the output folder of a finished run")
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var line T
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, errors.Wrapf(err, "parse a line of %s", file)
		}
		into = append(into, line)
	}
	return into, errors.Wrapf(scanner.Err(), "read %s", file)
}
