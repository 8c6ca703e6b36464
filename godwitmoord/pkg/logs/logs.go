// Package logs writes the log without ever blocking the code that logs. Lines go
// through a bounded queue to one goroutine, which writes them at a bounded rate.
// Lines that exceed the queue or the rate are dropped, and the number of dropped
// lines is logged before the next line that is written.
//
// # Usage
//
//	writer := logs.New(os.Stdout)
//	go writer.Run()
//	log := logs.NewLogger(writer)
//	defer writer.Close()
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"godwitmoor.example/godwitmoord/pkg/ring"
)

const (
	queueCapacity = 4096
	// bytesPerSecond is the long-term rate at which lines are written; burstBytes
	// may be written at once.
	bytesPerSecond = 512 << 10
	burstBytes     = 1 << 20
	closeTimeout   = 500 * time.Millisecond
)

// Writer queues log lines and writes them at a rate bounded by a token bucket.
// Create it with New.
type Writer struct {
	out     io.Writer
	queue   ring.Ring[[]byte]
	dropped atomic.Int64
	closing chan struct{}
	closed  chan struct{}

	// budget is the number of bytes that could be written at the time refilled.
	budget   float64
	refilled time.Time
}

// New returns a writer to out. Lines are written while Run runs.
func New(out io.Writer) *Writer {
	return &Writer{
		out:      out,
		queue:    ring.New[[]byte](queueCapacity),
		closing:  make(chan struct{}),
		closed:   make(chan struct{}),
		budget:   burstBytes,
		refilled: time.Now(),
	}
}

// Write queues one line, or drops it when the queue is full. It never blocks and
// never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.queue.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; zap requires it. Run writes lines as they arrive.
func (w *Writer) Sync() error { return nil }

// Run writes lines until Close.
func (w *Writer) Run() {
	defer close(w.closed)
	for {
		select {
		case line := <-w.queue.Values():
			w.writeWithinBudget(line)
		case <-w.closing:
			for _, line := range w.queue.Drain(nil, queueCapacity) {
				w.writeWithinBudget(line)
			}
			return
		}
	}
}

// Close lets Run write the queued lines and end. It gives up waiting after
// closeTimeout.
func (w *Writer) Close() {
	close(w.closing)
	select {
	case <-w.closed:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) writeWithinBudget(line []byte) {
	now := time.Now()
	w.budget = min(burstBytes, w.budget+bytesPerSecond*now.Sub(w.refilled).Seconds())
	w.refilled = now
	if w.budget < float64(len(line)) {
		w.dropped.Add(1)
		return
	}
	w.budget -= float64(len(line))
	if dropped := w.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(w.out, "{\"level\":\"warn\",\"ts\":%.3f,\"msg\":\"log lines dropped\",\"lines\":%d}\n", float64(now.UnixMilli())/1000, dropped)
	}
	// A failure to write the log has nowhere to be reported.
	_, _ = w.out.Write(line)
}

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w *Writer) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, w, zap.InfoLevel))
}
