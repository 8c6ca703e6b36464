package peer

import (
	"encoding/binary"
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/reply/replytest"
	"godwitmoor.example/godwitmoord/pkg/common"
)

const (
	connsAtOnce = 32
	// maxAllocatedForFrame is what a connection may allocate for a frame of which
	// nothing but the size has arrived.
	maxAllocatedForFrame = 64 << 10
	// closeBound is how long a test waits for a connection to be closed.
	closeBound = 10 * time.Minute
)

func newService(t *testing.T) *Service {
	s := New(&common.Common{Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Self: host.Identity{Name: "entry-1", Incarnation: 1}})
	if err := s.server.RegisterName(rpcName, &receiver{service: s}); err != nil {
		t.Fatal(err)
	}
	return s
}

// accept serves one end of a pipe as an accepted connection and returns the other.
func (s *Service) accept() net.Conn {
	near, far := net.Pipe()
	s.trackAccepted(near)
	c := &serverConn{service: s, conn: near}
	go c.run()
	return far
}

func sizeOf(n int) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

func TestFrameSizeAloneFillsTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t)
		var conns []net.Conn
		allocated := replytest.Allocated(func() {
			for range connsAtOnce {
				conn := s.accept()
				conns = append(conns, conn)
				_, err := conn.Write(sizeOf(maxFrame))
				is.NoErr(err)
			}
			synctest.Wait()
		})
		t.Logf("%d bytes allocated a connection", allocated/connsAtOnce)
		for _, conn := range conns {
			is.NoErr(conn.Close())
		}
		is.True(allocated < connsAtOnce*maxAllocatedForFrame)
	})
}

// awaitClose sends bytes with a pause before each until the other end closes the
// connection or closeBound has passed, and returns how long that took.
func awaitClose(conn net.Conn, pause time.Duration) time.Duration {
	started := time.Now()
	for time.Since(started) < closeBound {
		_ = conn.SetReadDeadline(time.Now().Add(pause))
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if _, err := conn.Write([]byte{0}); err != nil {
			break
		}
	}
	_ = conn.Close()
	return time.Since(started)
}

func TestFrameWithoutEndHoldsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn := newService(t).accept()
		_, err := conn.Write(sizeOf(maxFrame))
		is.NoErr(err)
		is.True(awaitClose(conn, 100*time.Millisecond) <= 2*callTimeout)
		synctest.Wait()
	})
}

func TestAcceptedConnectionWithoutCallsStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		conn := newService(t).accept()
		is.True(awaitClose(conn, closeBound) < closeBound)
		synctest.Wait()
	})
}
