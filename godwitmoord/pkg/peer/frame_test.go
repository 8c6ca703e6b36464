package peer

import (
	"encoding/binary"
	"net"
	"testing"
	"testing/synctest"

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
