// Package logs writes the log without ever holding up what it tells of. Lines
// go through a bounded ring to one thread that writes them, at a bounded rate;
// what finds no room is dropped, and the number of dropped lines is written as
// soon as there is room again.
//
// # Usage
//
//	writer := logs.New(os.Stdout)
//	go writer.Run()
//	log := logs.Logger(writer)
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
	ringLines = 4096
	// bytesPerSecond is the rate at which lines are written in the long run,
	// burstBytes what may come at once.
	bytesPerSecond = 512 << 10
	burstBytes     = 1 << 20
	closeTimeout   = 500 * time.Millisecond
)

// Writer is the way of all lines. Make it with New.
type Writer struct {
	out     io.Writer
	lines   ring.Ring[[]byte]
	dropped atomic.Int64
	closing chan struct{}
	closed  chan struct{}

	budget float64
	filled time.Time
}

// New makes a writer; Run sets it to work.
func New(out io.Writer) *Writer {
	return &Writer{
		out:     out,
		lines:   ring.New[[]byte](ringLines),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
		budget:  burstBytes,
		filled:  time.Now(),
	}
}

// Write queues one line, or drops it when the ring is full. It never blocks and
// never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.Offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync is for zap; lines are written as they come.
func (w *Writer) Sync() error { return nil }

// Run writes lines until Close.
func (w *Writer) Run() {
	defer close(w.closed)
	for {
		select {
		case line := <-w.lines.Slots():
			w.write(line)
		case <-w.closing:
			for _, line := range w.lines.Drain(nil, ringLines) {
				w.write(line)
			}
			return
		}
	}
}

// Close writes what waits, for as long as that takes no more than a moment.
func (w *Writer) Close() {
	close(w.closing)
	select {
	case <-w.closed:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) write(line []byte) {
	now := time.Now()
	w.budget = min(burstBytes, w.budget+bytesPerSecond*now.Sub(w.filled).Seconds())
	w.filled = now
	if w.budget < float64(len(line)) {
		w.dropped.Add(1)
		return
	}
	w.budget -= float64(len(line))
	if dropped := w.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(w.out, "{\"level\":\"warn\",\"ts\":%.3f,\"msg\":\"log lines dropped\",\"lines\":%d}\n", float64(now.UnixMilli())/1000, dropped)
	}
	// There is nobody to tell of a log that can't be written.
	_, _ = w.out.Write(line)
}

// Logger gives a logger of JSON lines on the writer.
func Logger(w *Writer) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, w, zap.InfoLevel))
}
