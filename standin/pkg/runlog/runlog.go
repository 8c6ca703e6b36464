// Package runlog writes what an endpoint really ran, a JSON line for each run
// when it starts and when it ends. The auditor takes these logs as the truth.
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

// Headers by which the system names a request to an endpoint.
const (
	RequestHeader = "Request-Id"
	AttemptHeader = "Attempt-Id"
	KeyHeader     = "Request-Key"
	TierHeader    = "Request-Tier"
)

// Phase is the part of a run that a line tells of.
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
	// Prefilled counts prompt tokens computed, without those from the cache.
	Prefilled int `json:"prefilled,omitempty"`
	Generated int `json:"generated,omitempty"`
}

// Of gives the line of a request as its headers name it.
func Of(r *http.Request, phase Phase) Line {
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

// Log writes lines to one file. The zero value drops them.
type Log struct {
	mu       sync.Mutex
	endpoint string
	out      io.Writer
}

// Open appends to the file; an empty name gives a log that drops its lines.
func Open(file, endpoint string) (*Log, error) {
	if file == "" {
		return &Log{endpoint: endpoint}, nil
	}
	out, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open the run log; name a file that can be written")
	}
	return &Log{endpoint: endpoint, out: out}, nil
}

// Write adds one line with the present time.
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
		// A run that is not in the log would falsify every judgement.
		panic(err)
	}
}
