package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/rpc"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/reply/replytest"
	"godwitmoor.example/godwitmoord/pkg/budget"
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

func TestHostThatDoesNotReadHoldsACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t)
		near, far := net.Pipe() // a pipe has no buffer, as a connection whose buffers are full
		defer far.Close()
		s.clients["entry-2"] = &client{Client: rpc.NewClientWithCodec(s.clientCodec(near)), used: time.Now()}
		done := make(chan error, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() {
			_, err := s.Call(ctx, "entry-2", "echo", nil)
			done <- err
		}()
		select {
		case err := <-done:
			var timeout *TimeoutError
			is.True(errors.As(err, &timeout))
			_, err = far.Write([]byte{0})
			is.True(err != nil) // the connection is closed
		case <-time.After(2 * callTimeout):
			_ = near.Close()
			<-done
			t.Error("the call did not return")
		}
	})
}

func TestCallerThatDoesNotReadHoldsItsReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t)
		s.Handle("echo", func(host.Identity, []byte) ([]byte, error) { return []byte("reply"), nil })
		conn := s.accept()
		request, err := cbor.Marshal(envelope{Version: protocolVersion, To: "echo", From: "entry-2", Incarnation: 1})
		is.NoErr(err)
		frame, err := cbor.Marshal(map[int]any{1: rpcMethod, 2: 0, 4: request})
		is.NoErr(err)
		_, err = conn.Write(append(sizeOf(len(frame)), frame...))
		is.NoErr(err)
		time.Sleep(2 * callTimeout)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, err = io.ReadAll(conn)
		is.NoErr(err) // the connection is closed
		_ = conn.Close()
		synctest.Wait()
	})
}

func TestFrameThatIsNoReplyAnswersTheFirstCall(t *testing.T) {
	for name, frame := range map[string][]byte{
		"empty":     {},
		"null":      {0xf6},
		"empty map": {0xa0},
		"cut":       {0xa1, 2},
		"trailing":  {0xa1, 2, 0, 0xa0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newService(t)
				near, far := net.Pipe()
				defer far.Close()
				s.clients["entry-2"] = &client{Client: rpc.NewClientWithCodec(s.clientCodec(near)), used: time.Now()}
				go func() {
					_, _ = newCodec(far, callTimeout).reader.Discard(4)
					_, _ = far.Write(append(sizeOf(len(frame)), frame...))
				}()
				_, err := s.Call(t.Context(), "entry-2", "echo", nil)
				var timeout *TimeoutError
				is.True(errors.As(err, &timeout))
			})
		})
	}
}

// Frames of other hosts took memory that the host's bound did not count.
func TestLargeFrameWithoutRoomEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t)
		s.common.Budget = budget.New(1 << 20)
		s.common.Budget.Add(s.common.Budget.Limit())
		held := s.common.Budget.Held()
		conn := s.accept()
		defer conn.Close()
		_, err := conn.Write(sizeOf(maxFrame / 4))
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(callTimeout / 2))
		_, err = conn.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.Equal(s.common.Budget.Held(), held)
	})
}

// Connections of other hosts used up the descriptors of the process.
func TestConnectionsOfOtherHostsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newService(t)
	is.True(!s.isFull())
	s.common.Settings.Descriptors = 16
	for range budget.Connections(16) {
		is.True(!s.isFull())
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		s.trackAccepted(near)
	}
	is.True(s.isFull())
}

// Replies that were refused for lack of room were neither counted nor logged.
func TestReplyWithoutRoomIsCounted(t *testing.T) {
	is := is.New(t)
	s := newService(t)
	s.common.Budget = budget.New(1 << 20)
	s.common.Budget.Add(2 * s.common.Budget.Limit())
	s.common.Shortages = &budget.Reporter{Log: zap.NewNop(), Account: s.common.Budget, Count: s.common.Count}
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = far.Write(sizeOf(maxFrame / 4)) }()
	is.True(errors.Is(s.clientCodec(near).readFrame(), errFrameRefused))
	is.Equal(metrics.GetOrRegisterCounter("budget."+string(budget.FrameRefused), s.common.Metrics).Count(), int64(1))
}
