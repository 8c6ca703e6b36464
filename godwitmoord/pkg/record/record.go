// Package record keeps the record: decisions of the owners with the events that led
// to them, and the results of requests. Hosts have no disks, so each line is written
// to the log as JSON, and the newest lines stay in a bounded buffer that operators
// read through the status port.
package record

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	// maxBytes limits the total size of the lines in memory.
	maxBytes  = 2 << 20
	queueSize = 8192
)

// Request is the line that reports the outcome of one request at its entry host.
type Request struct {
	Request  string   `json:"request"`
	Host     string   `json:"host"`
	Customer string   `json:"customer"`
	Service  string   `json:"service"`
	Tier     string   `json:"tier"`
	Key      string   `json:"key,omitempty"`
	Attempts []string `json:"attempts,omitempty"`
	Endpoint string   `json:"endpoint,omitempty"`
	// Outcome is "answered", "not-run", "unknown" or "broken-off".
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Took and Deadline are in milliseconds since the request arrived.
	Took     float64 `json:"took-ms"`
	Deadline float64 `json:"deadline-ms"`
	InTime   bool    `json:"in-time"`
}

// Line is one line of the record: a decision or a finished request.
type Line struct {
	Decision *permit.Line `json:"decision,omitempty"`
	Request  *Request     `json:"request,omitempty"`
}

// Service writes the lines of the record in a goroutine of its own.
type Service struct {
	common *common.Common
	queue  ring.Ring[Line]

	mu         sync.Mutex
	lines      [][]byte
	totalBytes int
}

// New creates the service with an empty record.
func New(c *common.Common) *Service {
	return &Service{common: c, queue: ring.New[Line](queueSize)}
}

// Start begins to write queued lines.
func (s *Service) Start(ctx context.Context) error {
	go s.run(ctx)
	return nil
}

// Stop writes the lines that are still queued.
func (s *Service) Stop(context.Context) error {
	for _, line := range s.queue.Drain(nil, queueSize) {
		s.write(line)
	}
	return nil
}

// Add queues a line. If the queue is full, Add drops the line and counts it, because
// recording must not block the recorded work.
func (s *Service) Add(line Line) {
	if !s.queue.Offer(line) {
		s.common.Count("record.dropped")
	}
}

func (s *Service) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-s.queue.Values():
			s.write(line)
		}
	}
}

func (s *Service) write(line Line) {
	data, err := json.Marshal(line)
	if err != nil {
		s.common.Log.Error("record line cannot be encoded", zap.Error(err))
		return
	}
	if s.common.Settings.Record {
		s.common.Log.Info("record", zap.Any("record", json.RawMessage(data)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, data)
	s.totalBytes += len(data)
	for s.totalBytes > maxBytes {
		s.totalBytes -= len(s.lines[0])
		s.lines[0] = nil
		s.lines = s.lines[1:]
	}
}

// Recent returns the lines in memory as JSON Lines, oldest first.
func (s *Service) Recent() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Join(s.lines, []byte{'\n'})
}
