package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/host"
)

// countingConn counts the writes to a connection.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

// earlierCodec serves calls as versions do that know concurrent calls only.
type earlierCodec struct{ serverCodec }

func (c earlierCodec) ReadRequestHeader(r *rpc.Request) error {
	c.openCalls <- struct{}{}
	if err := c.readFrame(); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = c.lastRead.Method, *c.lastRead.Sequence
	return nil
}

// pair is an outbox on one host and the inbox of another, joined by a pipe.
type pair struct {
	outbox   *Outbox
	sender   *Service
	receiver *countingConn // the receiving end, which writes the replies

	mu          sync.Mutex
	received    []int
	unreachable []time.Time
	// block, if not nil, holds each message.
	block chan struct{}
}

func newPair(t *testing.T, earlier bool) *pair {
	p := &pair{sender: newService(t)}
	receiver := newService(t)
	receiver.Handle("owner", Inbox(func(_ host.Identity, message []byte) error { return p.accept(message) }))
	near, far := net.Pipe()
	p.receiver = &countingConn{Conn: far}
	codec := serverCodec{codec: newCodec(p.receiver, callTimeout), receive: receiver.receive}
	if earlier {
		go receiver.server.ServeCodec(earlierCodec{codec})
	} else {
		go receiver.server.ServeCodec(codec)
	}
	sending := p.sender.clientCodec(near)
	p.sender.clients["entry-2"] = &client{Client: rpc.NewClientWithCodec(sending), codec: sending, used: time.Now()}
	p.outbox = &Outbox{
		TargetService: "owner", Service: p.sender,
		Address: func(name string) (string, bool) { return name, true },
		OnUnreachable: func(string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.unreachable = append(p.unreachable, time.Now())
		},
	}
	return p
}

func (p *pair) accept(message []byte) error {
	var number int
	if err := cbor.Unmarshal(message, &number); err != nil {
		return err
	}
	p.mu.Lock()
	p.received = append(p.received, number)
	block := p.block
	p.mu.Unlock()
	if block != nil {
		<-block
	}
	return nil
}

// setBlock makes the receiver hold each message from now on.
func (p *pair) setBlock(block chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.block = block
}

func (p *pair) unreachableTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreachable
}

// send sends the numbers from first to last with a pause after each.
func (p *pair) send(ctx context.Context, first, last int, pause time.Duration) {
	for n := first; n <= last; n++ {
		p.outbox.Send(ctx, "entry-2", n)
		time.Sleep(pause)
	}
}

// runPair runs a test of a pair in a bubble of time.
func runPair(t *testing.T, earlier bool, test func(is *is.I, ctx context.Context, p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPair(t, earlier)
		test(is.New(t), ctx, p)
		cancel()
		_ = p.sender.Stop(ctx)
		_ = p.receiver.Close()
		synctest.Wait()
	})
}

// hasReceived checks that the numbers from 1 to last arrived, in order.
func (p *pair) hasReceived(is *is.I, last int) {
	is.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	is.Equal(len(p.received), last)
	for i, n := range p.received {
		is.Equal(n, i+1)
	}
}

func TestHostThatTakesOneWayCallsAnswersFewOfThem(t *testing.T) {
	runPair(t, false, func(is *is.I, ctx context.Context, p *pair) {
		p.send(ctx, 1, 1000, 10*time.Millisecond)
		time.Sleep(callTimeout)
		p.hasReceived(is, 1000)
		t.Logf("%d replies to 1000 batches in 10 s", p.receiver.writes.Load())
		is.True(p.receiver.writes.Load() <= 32)
		is.Equal(len(p.unreachableTimes()), 0)
	})
}

func TestMessageAfterAPauseIsAnsweredByItself(t *testing.T) {
	runPair(t, false, func(is *is.I, ctx context.Context, p *pair) {
		p.send(ctx, 1, 20, callTimeout)
		p.hasReceived(is, 20)
		is.Equal(p.receiver.writes.Load(), int64(20))
		is.Equal(len(p.unreachableTimes()), 0)
	})
}

func TestMessagesSentAtOnceArriveInOrder(t *testing.T) {
	runPair(t, false, func(is *is.I, ctx context.Context, p *pair) {
		for round := range 20 {
			p.send(ctx, 100*round+1, 100*round+100, 0)
			time.Sleep(callTimeout / 20)
		}
		p.hasReceived(is, 2000)
		is.Equal(len(p.unreachableTimes()), 0)
	})
}

func TestHostOfAnEarlierVersionAnswersEachBatch(t *testing.T) {
	runPair(t, true, func(is *is.I, ctx context.Context, p *pair) {
		p.send(ctx, 1, 100, 10*time.Millisecond)
		p.hasReceived(is, 100)
		is.Equal(p.receiver.writes.Load(), int64(100))
		is.Equal(len(p.unreachableTimes()), 0)
	})
}

// TestCallOfAnEarlierVersionIsAnsweredAsBefore checks that the reply holds only what
// earlier versions send.
func TestCallOfAnEarlierVersionIsAnsweredAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newService(t)
		s.Handle("echo", func(_ host.Identity, body []byte) ([]byte, error) { return body, nil })
		conn := s.accept()
		request, err := cbor.Marshal(envelope{Version: protocolVersion, To: "echo", From: "entry-2", Incarnation: 1, Body: []byte("hello")})
		is.NoErr(err)
		frame, err := cbor.Marshal(map[int]any{1: rpcMethod, 2: 7, 4: request})
		is.NoErr(err)
		_, err = conn.Write(append(sizeOf(len(frame)), frame...))
		is.NoErr(err)
		var size [4]byte
		_, err = io.ReadFull(conn, size[:])
		is.NoErr(err)
		data := make([]byte, binary.BigEndian.Uint32(size[:]))
		_, err = io.ReadFull(conn, data)
		is.NoErr(err)
		var reply map[int]any
		is.NoErr(cbor.Unmarshal(data, &reply))
		is.Equal(reply, map[int]any{1: rpcMethod, 2: uint64(7), 4: []byte("hello")})
		_ = conn.Close()
		synctest.Wait()
	})
}

func TestHostThatStopsIsUnreachableWithinTheBoundOfACall(t *testing.T) {
	for name, messages := range map[string]int{"one message": 1, "messages until then": 100} {
		t.Run(name, func(t *testing.T) {
			runPair(t, false, func(is *is.I, ctx context.Context, p *pair) {
				p.send(ctx, 1, 10, 10*time.Millisecond)
				time.Sleep(callTimeout) // all are acknowledged
				block := make(chan struct{})
				p.setBlock(block)
				stopped := time.Now()
				p.send(ctx, 11, 10+messages, 15*time.Millisecond)
				time.Sleep(time.Until(stopped.Add(callTimeout)))
				synctest.Wait()
				is.True(len(p.unreachableTimes()) >= 1)
				is.True(!p.unreachableTimes()[0].After(stopped.Add(callTimeout)))
				close(block)
			})
		})
	}
}

func TestHostThatStopsBrieflyStaysReachable(t *testing.T) {
	runPair(t, false, func(is *is.I, ctx context.Context, p *pair) {
		p.send(ctx, 1, 10, 10*time.Millisecond)
		block := make(chan struct{})
		p.setBlock(block)
		p.send(ctx, 11, 60, callTimeout*3/4/50)
		p.setBlock(nil)
		close(block)
		p.send(ctx, 61, 200, 10*time.Millisecond)
		time.Sleep(2 * callTimeout)
		p.hasReceived(is, 200)
		is.Equal(len(p.unreachableTimes()), 0)
	})
}

func TestHostWhoseConnectionEndsBeforeItAcknowledgesIsUnreachable(t *testing.T) {
	runPair(t, false, func(is *is.I, ctx context.Context, p *pair) {
		p.send(ctx, 1, 2, 10*time.Millisecond) // the second is not acknowledged yet
		ended := time.Now()
		_ = p.receiver.Close()
		synctest.Wait()
		is.Equal(p.unreachableTimes(), []time.Time{ended})
	})
}

func TestMessageToAHostThatStartedAgainFindsItUnreachable(t *testing.T) {
	runPair(t, false, func(is *is.I, ctx context.Context, p *pair) {
		p.send(ctx, 1, 10, 10*time.Millisecond)
		time.Sleep(callTimeout) // all are acknowledged
		_ = p.receiver.Close()
		synctest.Wait()
		is.Equal(len(p.unreachableTimes()), 0)
		p.send(ctx, 11, 11, 10*time.Millisecond)
		is.Equal(len(p.unreachableTimes()), 1)
	})
}

func TestHostThatRefusesMessagesIsReachable(t *testing.T) {
	runPair(t, false, func(is *is.I, ctx context.Context, p *pair) {
		for range 50 {
			p.outbox.Send(ctx, "entry-2", "no number")
			time.Sleep(callTimeout / 20)
		}
		time.Sleep(callTimeout)
		is.Equal(len(p.unreachableTimes()), 0)
		p.hasReceived(is, 0)
	})
}

func TestRepliesStayAsTheyWereWhenOthersArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, echo := newService(t), newService(t)
		echo.Handle("echo", func(_ host.Identity, body []byte) ([]byte, error) { return body, nil })
		codec := s.clientCodec(echo.accept())
		s.clients["entry-2"] = &client{Client: rpc.NewClientWithCodec(codec), codec: codec, used: time.Now()}
		var replies [][]byte
		for n := range 100 {
			// Some frames are larger than the reader's buffer.
			reply, err := s.Call(t.Context(), "entry-2", "echo", bytes.Repeat([]byte{byte(n)}, 100*n))
			is.NoErr(err)
			replies = append(replies, reply)
		}
		for n, reply := range replies {
			is.True(bytes.Equal(reply, bytes.Repeat([]byte{byte(n)}, 100*n)))
		}
		_ = s.Stop(t.Context())
		synctest.Wait()
	})
}
