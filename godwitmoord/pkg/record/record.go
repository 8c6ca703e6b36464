// Package record keeps what was decided and why. Hosts have no disks: each line
// goes to the log as JSON, and the newest ones stay in a bounded buffer that
// operators read through the status port.
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
	// keptBytes bounds the lines in memory.
	keptBytes = 2 << 20
	ringSize  = 8192
)

// Request is the line that tells how one request went at its entry host.
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
	// Took and Deadline are in milliseconds from the request's arrival.
	Took     float64 `json:"took-ms"`
	Deadline float64 `json:"deadline-ms"`
	InTime   bool    `json:"in-time"`
}

// Line is one line of the record: a decision or a finished request.
type Line struct {
	Decision *permit.Line `json:"decision,omitempty"`
	Request  *Request     `json:"request,omitempty"`
}

// Service writes the record.
type Service struct {
	common *common.Common
	ring   ring.Ring[Line]

	mu   sync.Mutex
	kept [][]byte
	size int
}

// New makes the service.
func New(c *common.Common) *Service {
	return &Service{common: c, ring: ring.New[Line](ringSize)}
}

// Start begins to write.
func (s *Service) Start(ctx context.Context) error {
	go s.run(ctx)
	return nil
}

// Stop writes what still waits.
func (s *Service) Stop(context.Context) error {
	for _, line := range s.ring.Drain(nil, ringSize) {
		s.write(line)
	}
	return nil
}

// Add queues a line. A full queue drops it and counts that: a record must not
// hold up what it records.
func (s *Service) Add(line Line) {
	if !s.ring.Offer(line) {
		s.common.Count("record.dropped")
	}
}

func (s *Service) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-s.ring.Slots():
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
	s.kept = append(s.kept, data)
	s.size += len(data)
	for s.size > keptBytes {
		s.size -= len(s.kept[0])
		s.kept[0] = nil
		s.kept = s.kept[1:]
	}
}

// Kept gives the lines in memory, oldest first, a JSON text on each line.
func (s *Service) Kept() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Join(s.kept, []byte{'\n'})
}
