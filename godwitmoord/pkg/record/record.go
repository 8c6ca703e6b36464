// Package record keeps the record: decisions of the owners with the events that led
// to them, and the results of requests. Hosts have no disks, so the newest lines stay
// in a bounded buffer that operators read through the status port, and with the
// setting record each line is also written to the log as JSON. Lines are encoded only
// when somebody reads them, because most are never read.
package record

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/permit"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	// maxLines limits the lines in memory.
	maxLines  = 4096
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

// Decision is one step of an owner's decision core: an event and the actions it caused.
// Line identifies it. Neither the event nor the actions may change afterwards.
type Decision struct {
	Line    permit.Line
	Event   permit.Event
	Actions []permit.Action
}

// Line is one line of the record: a decision or a finished request.
type Line struct {
	Decision *Decision
	Request  *Request
}

// lineText is the JSON form of a line.
type lineText struct {
	Decision *permit.Line `json:"decision,omitempty"`
	Request  *Request     `json:"request,omitempty"`
}

// encode returns the line as JSON.
func (l Line) encode() ([]byte, error) {
	text := lineText{Request: l.Request}
	if l.Decision != nil {
		decision, err := l.Decision.Line.WithDecision(l.Decision.Event, l.Decision.Actions)
		if err != nil {
			return nil, err
		}
		text.Decision = &decision
	}
	data, err := json.Marshal(text)
	return data, errors.Wrap(err, "encode a line of the record")
}

// Service holds the newest lines of the record, and writes them to the log in a
// goroutine of its own.
type Service struct {
	common *common.Common
	queue  ring.Ring[Line]

	mu sync.Mutex
	// lines holds the newest lines in a circle; next is the index of the oldest one
	// once the circle is full.
	lines []Line
	next  int
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

// Add adds a line. If the lines are also written to the log and too many wait for
// that, it is only kept in memory, and counted, because recording must not block the
// recorded work.
func (s *Service) Add(line Line) {
	if line.Request != nil {
		s.count(*line.Request)
	}
	s.keep(line)
	if s.common.Settings.Record && !s.queue.Offer(line) {
		s.common.Count("record.dropped")
	}
}

func (s *Service) keep(line Line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lines) < maxLines {
		s.lines = append(s.lines, line)
		return
	}
	s.lines[s.next] = line
	s.next = (s.next + 1) % maxLines
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
	data, err := line.encode()
	if err != nil {
		s.common.Log.Error("record line cannot be encoded", zap.Error(err))
		return
	}
	s.common.Log.Info("record", zap.Any("record", json.RawMessage(data)))
}

// Recent returns the lines in memory as JSON Lines, oldest first.
func (s *Service) Recent() []byte {
	s.mu.Lock()
	lines := append(append([]Line(nil), s.lines[s.next:]...), s.lines[:s.next]...)
	s.mu.Unlock()
	encoded := make([][]byte, 0, len(lines))
	for _, line := range lines {
		data, err := line.encode()
		if err != nil {
			s.common.Log.Error("record line cannot be encoded", zap.Error(err))
			continue
		}
		encoded = append(encoded, data)
	}
	return bytes.Join(encoded, []byte{'\n'})
}
