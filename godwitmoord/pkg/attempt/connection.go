package attempt

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultIdleLifetime is how long an idle connection is kept if its endpoint
	// states no limit of its own. If it states one, the connection is closed
	// idleMargin before that limit.
	defaultIdleLifetime = 4 * time.Second
	idleMargin          = time.Second
	// writeTimeout bounds the time to write a request to the connection.
	writeTimeout   = 5 * time.Second
	readBufferSize = 2 << 10
	// maxInlineBytes is the size up to which a request is written before its answer
	// is read. A longer one is written while the answer is read, because the
	// endpoint may answer before it has received the whole request.
	maxInlineBytes = 4 << 10
	// maxRefusalBytes and maxSkippedBytes bound what is read of a rejection and of an
	// answer to another attempt before the connection is reused, drainTimeout how
	// long that takes. A new connection costs less than a longer wait.
	maxRefusalBytes = 64 << 10
	maxSkippedBytes = 1 << 20
	drainTimeout    = 200 * time.Millisecond
	// maxStatus is the highest status of an answer.
	maxStatus = 599
)

// IsDisconnect reports whether an error of an attempt means that the endpoint ended the
// connection before its answer was complete.
func IsDisconnect(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// connection is one connection to an endpoint.
type connection struct {
	sender   *Sender
	address  string
	conn     net.Conn
	receiver receiver
	// reader reads through the receiver.
	reader *bufio.Reader
	// usableUntil is the time from which an idle connection must no longer be used.
	usableUntil time.Time
	// reused is set if the connection carried another request before, and rejected if
	// its endpoint rejected one of them.
	reused   bool
	rejected bool
	// upload writes the last long request; nil if there was none.
	upload *writer
}

func (c *connection) close() { _ = c.conn.Close() }

// isUsable reports whether an idle connection is open and has received no data.
func (c *connection) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, isSyscallConn := c.conn.(syscall.Conn)
	if !isSyscallConn {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	// The deadline of the last request may have passed and would make the read
	// fail at once.
	_ = c.conn.SetReadDeadline(time.Time{})
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// write sends a request and returns how many bytes may have been sent. It returns
// before a long body is written.
func (c *connection) write(head, body []byte, rest [][]byte) (int, error) {
	_ = c.conn.SetDeadline(time.Time{})
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(rest) == 0 && len(head)+len(body) <= maxInlineBytes {
		return c.conn.Write(append(head, body...))
	}
	sent, err := c.conn.Write(head)
	if err != nil {
		return sent, err
	}
	c.upload = &writer{connection: c, body: append(net.Buffers{body}, rest...), done: make(chan struct{})}
	go c.upload.run()
	return sent, nil
}

// writer writes a long body while the answer is read.
type writer struct {
	connection *connection
	body       net.Buffers
	// done is closed at the end, after err was set.
	done chan struct{}
	err  error
}

func (w *writer) run() {
	defer close(w.done)
	_, w.err = w.body.WriteTo(w.connection.conn)
}

// isReusable reports whether the connection can carry another request: the last
// one was written completely, and its answer was read to the end.
func (c *connection) isReusable() bool {
	if !c.isWritten() {
		return false
	}
	// An idle connection must not hold the body.
	c.upload = nil
	return c.reader.Buffered() == 0 && time.Now().Before(c.usableUntil)
}

// isWritten reports whether the request was written completely.
func (c *connection) isWritten() bool {
	if c.upload == nil {
		return true
	}
	select {
	case <-c.upload.done:
		return c.upload.err == nil
	default:
		return false
	}
}

// awaitWritten waits until the request is written or can't be, no longer than timeout, and
// reports whether it was written completely.
func (c *connection) awaitWritten(timeout time.Duration) bool {
	if c.upload != nil {
		select {
		case <-c.upload.done:
		case <-time.After(timeout):
		}
	}
	return c.isWritten()
}

// readAnswer returns the next final answer on the connection. It skips interim
// answers, those with a status from 100 to 199 and no body, and passes them to onInterim.
func (c *connection) readAnswer(method string, limits waitLimits, onInterim func(status int, header http.Header)) (*http.Response, error) {
	c.receiver.beginHead(limits)
	defer c.receiver.endHead()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.headError(err)
		}
		switch {
		case isInterim(response):
			onInterim(response.StatusCode, response.Header)
		case response.StatusCode < http.StatusOK || response.StatusCode > maxStatus:
			return nil, &StatusError{Address: c.address, Status: response.StatusCode}
		default:
			c.sender.recordData(c.address)
			return response, nil
		}
	}
}

// isInterim reports whether an answer is an interim one. None has a body, and none
// switches protocols, which no request asks for.
func isInterim(response *http.Response) bool {
	if response.StatusCode < http.StatusContinue || response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	length := response.Header.Get("Content-Length")
	return len(response.TransferEncoding) == 0 && (length == "" || length == "0")
}

// headError returns why the head of an answer could not be read, given the error of
// net/http. If the endpoint stopped responding, its idle connections are closed.
func (c *connection) headError(err error) error {
	err = c.receiver.cause(err)
	var timeout net.Error
	if errors.Is(err, errUnresponsive) || (errors.As(err, &timeout) && timeout.Timeout()) {
		c.sender.CloseIdle(c.address)
	}
	return err
}

// setIdleLimit sets how long the connection may stay idle, given the limit that its
// endpoint stated; zero if it stated none.
func (c *connection) setIdleLimit(stated time.Duration) {
	lifetime := defaultIdleLifetime
	if stated > 0 {
		lifetime = stated - idleMargin
	}
	c.usableUntil = time.Now().Add(lifetime)
}

// encodeHead encodes the request line and the headers of a request whose body has
// the given length. It sets Content-Length in header.
func encodeHead(method, target, host string, header http.Header, length int) []byte {
	var b bytes.Buffer
	b.WriteString(method)
	b.WriteByte(' ')
	b.WriteString(target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(host)
	b.WriteString("\r\n")
	header.Del("Content-Length")
	if length > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	// Writing to a buffer does not fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
