// Package record writes down what a case sent, got answered and ran.
package record

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the text file of one run of a case. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// Create creates the file of a run, whose times count from now.
func Create(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Line adds a line with the time since the start, in seconds.
func (r *Record) Line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }
