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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxFrame bounds the frame of one call or reply, in bytes.
	maxFrame = 1 << 20
	// initialFrameBytes is the room for a frame before its bytes arrive; most frames
	// are smaller.
	initialFrameBytes = 4 << 10
	// maxOpenCalls bounds the calls of one connection that are handled at once.
	maxOpenCalls = 32
)

// FrameTooLargeError reports a frame larger than maxFrame, received or about to be
// sent.
type FrameTooLargeError struct{ Bytes uint32 }

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d; check that the other end is another godwitmoord", e.Bytes, maxFrame)
}

// framePayload is the content of a frame: the net/rpc header of a call or reply
// and its body.
type framePayload struct {
	Method string `cbor:"1,keyasint,omitempty"`
	// Sequence is nil in a map that is no call or reply.
	Sequence *uint64 `cbor:"2,keyasint"`
	Failure  string  `cbor:"3,keyasint,omitempty"`
	Body     []byte  `cbor:"4,keyasint,omitempty"`
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
}

func newCodec(conn net.Conn, frameTimeout time.Duration) *codec {
	return &codec{
		conn: conn, frameTimeout: frameTimeout,
		reader: bufio.NewReader(conn), openCalls: make(chan struct{}, maxOpenCalls),
	}
}

// awaitFrame waits for the first byte of a frame and sets the deadline of the rest.
func (c *codec) awaitFrame() error {
	var idleDeadline time.Time
	if c.idleTimeout > 0 {
		idleDeadline = time.Now().Add(c.idleTimeout)
	}
	if err := c.conn.SetReadDeadline(idleDeadline); err != nil {
		return err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Now().Add(c.frameTimeout))
}

func (c *codec) readFrame() error {
	if err := c.awaitFrame(); err != nil {
		return err
	}
	var size [4]byte
	if _, err := io.ReadFull(c.reader, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return errors.WithStack(&FrameTooLargeError{Bytes: n})
	}
	// The buffer grows with the bytes that arrive, as the size may be wrong.
	var data bytes.Buffer
	data.Grow(min(int(n), initialFrameBytes) + bytes.MinRead)
	if _, err := io.CopyN(&data, c.reader, int64(n)); errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	c.lastRead = framePayload{}
	if err := cbor.Unmarshal(data.Bytes(), &c.lastRead); err != nil {
		return errors.Wrap(err, "decode frame")
	}
	if c.lastRead.Sequence == nil {
		return errors.New("frame without a sequence number; check that the other end is another godwitmoord")
	}
	return nil
}

func (c *codec) writeFrame(payload framePayload) error {
	data, err := cbor.Marshal(payload)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(data) > maxFrame {
		return errors.WithStack(&FrameTooLargeError{Bytes: uint32(len(data))})
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	frame = append(frame, data...)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.frameTimeout)); err != nil {
		return errors.Wrap(err, "write frame")
	}
	if _, err := c.conn.Write(frame); err != nil {
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
	case *[]byte:
		return *v
	default:
		return nil
	}
}

// serverCodec implements rpc.ServerCodec and clientCodec rpc.ClientCodec.
type (
	serverCodec struct{ *codec }
	clientCodec struct{ *codec }
)

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	// Blocking here stops reading from a host that sends calls faster than they
	// are handled.
	c.openCalls <- struct{}{}
	if err := c.readFrame(); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = c.lastRead.Method, *c.lastRead.Sequence
	return nil
}

func (c serverCodec) ReadRequestBody(into any) error { return c.readBody(into) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.openCalls
	return c.writeFrame(framePayload{Method: r.ServiceMethod, Sequence: &r.Seq, Failure: r.Error, Body: bodyBytes(body)})
}

func (c serverCodec) Close() error { return c.conn.Close() }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writeFrame(framePayload{Method: r.ServiceMethod, Sequence: &r.Seq, Body: bodyBytes(body)})
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.readFrame(); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = c.lastRead.Method, *c.lastRead.Sequence, c.lastRead.Failure
	return nil
}

func (c clientCodec) ReadResponseBody(into any) error { return c.readBody(into) }

func (c clientCodec) Close() error { return c.conn.Close() }
