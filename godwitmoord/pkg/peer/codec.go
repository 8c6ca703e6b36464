package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"godwitmoor.example/godwitmoord/pkg/budget"
)

const (
	// maxFrame bounds the frame of one call or reply, in bytes.
	maxFrame = 1 << 20
	// initialFrameBytes is the room for a frame before its bytes arrive; most frames
	// are smaller.
	initialFrameBytes = 4 << 10
	// maxPooledFrameBytes bounds the buffers that are kept for later frames.
	maxPooledFrameBytes = 16 << 10
	// sizeBytes is the length of the size before a frame.
	sizeBytes = 4
	// maxOpenCalls bounds the calls of one connection that are handled at once.
	maxOpenCalls = 32
)

var (
	// frameEncoding encodes frames into the buffers of frameBuffers.
	frameEncoding = newFrameEncoding()
	frameBuffers  = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

func newFrameEncoding() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// releaseFrame keeps the buffer of a sent frame for a later one.
func releaseFrame(frame *bytes.Buffer) {
	if frame.Cap() <= maxPooledFrameBytes {
		frame.Reset()
		frameBuffers.Put(frame)
	}
}

// errFrameRefused reports a frame for which this host has no room.
var errFrameRefused = errors.New("no room for a frame of another host; look for what the host holds in the lines of its memory budget")

// FrameTooLargeError reports a frame larger than maxFrame, received or about to be
// sent.
type FrameTooLargeError struct{ Bytes uint32 }

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d; check that the other end is another godwitmoord", e.Bytes, maxFrame)
}

// delivery is how a host handles a call. In the reply to an ordered call it says that
// the host handles calls so; hosts of earlier versions ignore and omit it.
type delivery uint8

const (
	// concurrent calls are handled beside each other and answered.
	concurrent delivery = iota
	// ordered calls are handled before the next frame is read, and answered.
	ordered
	// oneWay calls are handled like ordered ones, and not answered.
	oneWay
)

// framePayload is the content of a frame: the net/rpc header of a call or reply
// and its body.
type framePayload struct {
	Method string `cbor:"1,keyasint,omitempty"`
	// Sequence is nil in a map that is no call or reply.
	Sequence *uint64 `cbor:"2,keyasint"`
	Failure  string  `cbor:"3,keyasint,omitempty"`
	Body     []byte  `cbor:"4,keyasint,omitempty"`
	// Delivery is concurrent in calls and replies of net/rpc's own.
	Delivery delivery `cbor:"5,keyasint,omitempty"`
}

// codec encodes the calls and replies of net/rpc as frames: a length, then a CBOR
// map. The gob codec of net/rpc is not used because it starts to decode before the
// size of the message is known, so the size cannot be bounded.
type codec struct {
	conn net.Conn
	// idleTimeout bounds the wait for a frame, and frameTimeout the time that one
	// takes to arrive or to be sent. An idleTimeout of zero means no bound.
	idleTimeout  time.Duration
	frameTimeout time.Duration

	reader    *bufio.Reader
	writeMu   sync.Mutex
	lastRead  framePayload
	openCalls chan struct{}
	// takesOneWay is set once the other end has answered an ordered call as one.
	takesOneWay atomic.Bool
	// ended is closed when no more replies can be read.
	ended chan struct{}
	// account is charged for large frames while they are read, and shortages reports
	// those for which it has no room.
	account   *budget.Account
	shortages *budget.Reporter
}

func newCodec(conn net.Conn, frameTimeout time.Duration) *codec {
	return &codec{
		conn: conn, frameTimeout: frameTimeout,
		reader: bufio.NewReader(conn), openCalls: make(chan struct{}, maxOpenCalls),
		ended: make(chan struct{}),
	}
}

// awaitFrame waits for the first byte of a frame.
func (c *codec) awaitFrame() error {
	if c.reader.Buffered() > 0 {
		return nil
	}
	var idleDeadline time.Time
	if c.idleTimeout > 0 {
		idleDeadline = time.Now().Add(c.idleTimeout)
	}
	if err := c.conn.SetReadDeadline(idleDeadline); err != nil {
		return err
	}
	_, err := c.reader.Peek(1)
	return err
}

func (c *codec) readFrame() error {
	if err := c.awaitFrame(); err != nil {
		return err
	}
	if whole := c.bufferedFrame(); whole != nil {
		err := c.decodeFrame(whole)
		_, _ = c.reader.Discard(sizeBytes + len(whole)) // never fails for buffered bytes
		return err
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(c.frameTimeout)); err != nil {
		return err
	}
	var size [sizeBytes]byte
	if _, err := io.ReadFull(c.reader, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return errors.WithStack(&FrameTooLargeError{Bytes: n})
	}
	if n > initialFrameBytes {
		if !c.account.ReserveForHosts(int64(n)) {
			c.shortages.Report(budget.FrameRefused)
			return errors.WithStack(errFrameRefused)
		}
		defer c.account.Add(-int64(n))
	}
	// The buffer grows with the bytes that arrive, as the size may be wrong.
	var data bytes.Buffer
	data.Grow(min(int(n), initialFrameBytes) + bytes.MinRead)
	if _, err := io.CopyN(&data, c.reader, int64(n)); errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	return c.decodeFrame(data.Bytes())
}

// bufferedFrame returns the next frame without its size if all of it has arrived in the
// reader's buffer, nil otherwise. The bytes are valid until the next read.
func (c *codec) bufferedFrame() []byte {
	buffered := c.reader.Buffered()
	if buffered < sizeBytes {
		return nil
	}
	arrived, err := c.reader.Peek(buffered)
	if err != nil {
		return nil
	}
	n := binary.BigEndian.Uint32(arrived)
	arrived = arrived[sizeBytes:]
	if n > uint32(len(arrived)) {
		return nil
	}
	return arrived[:n]
}

// decodeFrame stores the decoded frame in lastRead.
func (c *codec) decodeFrame(data []byte) error {
	c.lastRead = framePayload{}
	if err := cbor.Unmarshal(data, &c.lastRead); err != nil {
		return errors.Wrap(err, "decode frame")
	}
	if c.lastRead.Sequence == nil {
		return errors.New("frame without a sequence number; check that the other end is another godwitmoord")
	}
	return nil
}

// writeFrame sends a frame within frameTimeout, and by the deadline unless that is zero.
func (c *codec) writeFrame(payload framePayload, deadline time.Time) error {
	frame := frameBuffers.Get().(*bytes.Buffer)
	defer releaseFrame(frame)
	frame.Write(make([]byte, sizeBytes))
	if err := frameEncoding.MarshalToBuffer(payload, frame); err != nil {
		return errors.Wrap(err, "encode frame")
	}
	n := uint32(frame.Len() - sizeBytes)
	if n > maxFrame {
		return errors.WithStack(&FrameTooLargeError{Bytes: n})
	}
	binary.BigEndian.PutUint32(frame.Bytes(), n)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if bound := time.Now().Add(c.frameTimeout); deadline.IsZero() || bound.Before(deadline) {
		deadline = bound
	}
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return errors.Wrap(err, "write frame")
	}
	if _, err := c.conn.Write(frame.Bytes()); err != nil {
		// Part of the frame may have been sent, so no other can follow.
		_ = c.conn.Close()
		return errors.Wrap(err, "write frame")
	}
	return nil
}

// readBody stores the body of the last frame read in into, which is nil when
// net/rpc discards the body.
func (c *codec) readBody(into any) error {
	switch target := into.(type) {
	case nil:
		return nil
	case *[]byte:
		*target = c.lastRead.Body
		return nil
	default:
		return errors.Newf("cannot decode the body of a frame into %T; use *[]byte", into)
	}
}

// bodyBytes returns the bytes of an argument or reply. It returns nil for any
// other type, such as the empty struct that net/rpc sends with an error.
func bodyBytes(value any) []byte {
	switch v := value.(type) {
	case []byte:
		return v
	case orderedCall:
		return v.body
	case *[]byte:
		return *v
	default:
		return nil
	}
}

// orderedCall is the argument of an ordered call, which must be sent by the deadline.
type orderedCall struct {
	body     []byte
	deadline time.Time
}

// serverCodec implements rpc.ServerCodec and clientCodec rpc.ClientCodec.
type (
	serverCodec struct {
		*codec
		receive func(request []byte) ([]byte, error)
	}
	clientCodec struct{ *codec }
)

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	// Blocking here stops reading from a host that sends calls faster than they
	// are handled.
	c.openCalls <- struct{}{}
	if err := c.readFrame(); err != nil {
		return err
	}
	for c.lastRead.Delivery != concurrent {
		if err := c.handleInOrder(); err != nil {
			return err
		}
		if err := c.readFrame(); err != nil {
			return err
		}
	}
	r.ServiceMethod, r.Seq = c.lastRead.Method, *c.lastRead.Sequence
	return nil
}

// handleInOrder handles the last frame read, and answers it unless it is a one-way call.
// net/rpc handles calls concurrently, so it is not used here.
func (c serverCodec) handleInOrder() error {
	call := c.lastRead
	reply, err := c.receive(call.Body)
	if call.Delivery == oneWay {
		return nil
	}
	answer := framePayload{Method: call.Method, Sequence: call.Sequence, Body: reply, Delivery: ordered}
	if err != nil {
		answer.Body, answer.Failure = nil, err.Error()
	}
	return c.writeFrame(answer, time.Time{})
}

func (c serverCodec) ReadRequestBody(into any) error { return c.readBody(into) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.openCalls
	return c.writeFrame(framePayload{Method: r.ServiceMethod, Sequence: &r.Seq, Failure: r.Error, Body: bodyBytes(body)}, time.Time{})
}

func (c serverCodec) Close() error { return c.conn.Close() }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	call := framePayload{Method: r.ServiceMethod, Sequence: &r.Seq, Body: bodyBytes(body)}
	var deadline time.Time
	if o, isOrdered := body.(orderedCall); isOrdered {
		call.Delivery, deadline = ordered, o.deadline
	}
	return c.writeFrame(call, deadline)
}

// writeOneWay sends a call that is not answered.
func (c clientCodec) writeOneWay(body []byte, deadline time.Time) error {
	return c.writeFrame(framePayload{Sequence: new(uint64), Body: body, Delivery: oneWay}, deadline)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.readFrame(); err != nil {
		close(c.ended) // net/rpc reads nothing after an error
		return err
	}
	if c.lastRead.Delivery == ordered {
		c.takesOneWay.Store(true)
	}
	r.ServiceMethod, r.Seq, r.Error = c.lastRead.Method, *c.lastRead.Sequence, c.lastRead.Failure
	return nil
}

func (c clientCodec) ReadResponseBody(into any) error { return c.readBody(into) }

func (c clientCodec) Close() error { return c.conn.Close() }
