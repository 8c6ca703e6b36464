// Package runlog records the requests that an endpoint actually ran. It writes a
// JSON line when a run starts and another when it ends. The auditor treats these
// logs as the ground truth.
package runlog

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers that identify a request to an endpoint.
const (
	RequestHeader = "Request-Id"
	AttemptHeader = "Attempt-Id"
	KeyHeader     = "Request-Key"
	TierHeader    = "Request-Tier"
)

// Phase is the event in a run that a line records.
type Phase string

// The phases of a run.
const (
	Started   Phase = "started"
	Finished  Phase = "finished"
	Cancelled Phase = "cancelled"
)

// Line is one line of a run log.
type Line struct {
	At       time.Time `json:"at"`
	Endpoint string    `json:"endpoint"`
	Phase    Phase     `json:"phase"`
	Request  string    `json:"request"`
	Attempt  string    `json:"attempt"`
	Key      string    `json:"key,omitempty"`
	Tier     string    `json:"tier,omitempty"`
	Method   string    `json:"method,omitempty"`
	Path     string    `json:"path,omitempty"`
	// Prefilled is the number of prompt tokens computed, without those found in
	// the cache.
	Prefilled int `json:"prefilled,omitempty"`
	Generated int `json:"generated,omitempty"`
}

// NewLine returns a line for a request, identified by its headers.
func NewLine(r *http.Request, phase Phase) Line {
	return Line{
		Phase:   phase,
		Request: r.Header.Get(RequestHeader),
		Attempt: r.Header.Get(AttemptHeader),
		Key:     r.Header.Get(KeyHeader),
		Tier:    r.Header.Get(TierHeader),
		Method:  r.Method,
		Path:    r.URL.Path,
	}
}

// Log appends lines to a file. The zero value discards them.
type Log struct {
	mu       sync.Mutex
	endpoint string
	out      io.Writer
}

// Open opens a run log for appending. With an empty file name it returns a log
// that discards its lines.
func Open(file, endpoint string) (*Log, error) {
	if file == "" {
		return &Log{endpoint: endpoint}, nil
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the run log; set --run-log to a writable file")
	}
	return &Log{endpoint: endpoint, out: out}, nil
}

// Write appends a line with the current time and the name of the endpoint.
func (l *Log) Write(line Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil {
		return
	}
	line.At = time.Now()
	line.Endpoint = l.endpoint
	data, err := json.Marshal(line)
	if err != nil {
		panic(err)
	}
	if _, err := l.out.Write(append(data, '\n')); err != nil {
		// The auditor would draw wrong conclusions from a log that lacks a run.
		panic(err)
	}
}
