package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxFrame bounds one call or reply on the wire, in bytes.
	maxFrame = 1 << 20
	// maxOpenCalls bounds the calls of one connection that are being handled.
	maxOpenCalls = 32
)

// FrameTooLargeError says that a peer announced a frame beyond the bound.
type FrameTooLargeError struct{ Bytes uint32 }

func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("a frame of %d bytes is over the bound of %d; check what speaks at the other end", e.Bytes, maxFrame)
}

// frameHead goes before the body of each call and reply.
type frameHead struct {
	Method   string `cbor:"1,keyasint,omitempty"`
	Sequence uint64 `cbor:"2,keyasint"`
	Failure  string `cbor:"3,keyasint,omitempty"`
	Body     []byte `cbor:"4,keyasint,omitempty"`
}

// codec frames calls of net/rpc: a length, then a CBOR map. net/rpc's own codec
// decodes before it knows how much there is to decode.
type codec struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	write  sync.Mutex
	head   frameHead
	open   chan struct{}
}

func newCodec(conn io.ReadWriteCloser) *codec {
	return &codec{conn: conn, reader: bufio.NewReader(conn), open: make(chan struct{}, maxOpenCalls)}
}

func (c *codec) readFrame() error {
	var size [4]byte
	if _, err := io.ReadFull(c.reader, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return errors.WithStack(&FrameTooLargeError{Bytes: n})
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(c.reader, data); err != nil {
		return err
	}
	c.head = frameHead{}
	return errors.Wrap(cbor.Unmarshal(data, &c.head), "decode frame")
}

func (c *codec) writeFrame(head frameHead) error {
	data, err := cbor.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(data) > maxFrame {
		return errors.WithStack(&FrameTooLargeError{Bytes: uint32(len(data))})
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	frame = append(frame, data...)
	c.write.Lock()
	defer c.write.Unlock()
	_, err = c.conn.Write(frame)
	return errors.Wrap(err, "write frame")
}

// readBody hands the frame's body to net/rpc, which reads into nothing when it
// does not want it.
func (c *codec) readBody(into any) error {
	switch target := into.(type) {
	case nil:
		return nil
	case *[]byte:
		*target = c.head.Body
		return nil
	default:
		return errors.Newf("a frame cannot hold %T; use []byte", into)
	}
}

func bodyOf(value any) []byte {
	switch v := value.(type) {
	case []byte:
		return v
	case *[]byte:
		return *v
	default:
		return nil
	}
}

// serverCodec and clientCodec are the two faces that net/rpc wants.
type (
	serverCodec struct{ *codec }
	clientCodec struct{ *codec }
)

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	// Waiting here stops reading from a peer that asks faster than is answered.
	c.open <- struct{}{}
	if err := c.readFrame(); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = c.head.Method, c.head.Sequence
	return nil
}

func (c serverCodec) ReadRequestBody(into any) error { return c.readBody(into) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.open
	return c.writeFrame(frameHead{Method: r.ServiceMethod, Sequence: r.Seq, Failure: r.Error, Body: bodyOf(body)})
}

func (c serverCodec) Close() error { return c.conn.Close() }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writeFrame(frameHead{Method: r.ServiceMethod, Sequence: r.Seq, Body: bodyOf(body)})
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.readFrame(); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = c.head.Method, c.head.Sequence, c.head.Failure
	return nil
}

func (c clientCodec) ReadResponseBody(into any) error { return c.readBody(into) }

func (c clientCodec) Close() error { return c.conn.Close() }
