package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// blockedOutput is an output that blocks every write until release is closed.
type blockedOutput struct {
	mu      sync.Mutex
	written bytes.Buffer
	release chan struct{}
}

func (s *blockedOutput) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(line)
}

func TestBlockedOutputDoesNotBlockLoggingAndDropsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedOutput{release: make(chan struct{})}
		w := New(out)
		go w.Run()
		log := NewLogger(w)
		for range queueCapacity + 100 {
			log.Info("request finished") // returns although nothing can be written
		}
		close(out.release)
		synctest.Wait()
		log.Info("after")
		w.Close()
		is.True(strings.Contains(out.written.String(), `"msg":"log lines dropped"`))
		is.True(strings.Contains(out.written.String(), `"msg":"after"`))
	})
}

func TestWriteRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := New(&out)
		go w.Run()
		log := NewLogger(w)
		long := strings.Repeat("x", 4<<10)
		for range 2000 { // eight megabytes at one instant of the fake clock
			log.Info("line", zap.String("long", long))
			synctest.Wait()
		}
		w.Close()
		is.True(out.Len() <= burstBytes+8<<10)
	})
}
