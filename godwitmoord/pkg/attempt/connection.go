package attempt

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/exchange"
)

const (
	dialTimeout = time.Second
	// maxIdlePerEndpoint bounds the idle connections that are kept open for one
	// endpoint.
	maxIdlePerEndpoint = 64
	// defaultIdleLifetime is how long an idle connection is kept if its endpoint
	// states no limit of its own. If it states one, the connection is closed
	// idleMargin before that limit.
	defaultIdleLifetime = 4 * time.Second
	idleMargin          = time.Second
	// writeTimeout bounds the time to write a request to the connection.
	writeTimeout = 5 * time.Second
	// unacknowledgedTimeout bounds how long sent bytes may stay
	// unacknowledged by the endpoint's TCP stack.
	unacknowledgedTimeout = 3 * time.Second
	readBufferSize        = 2 << 10
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
	// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
)

// Sender sends attempts and holds the idle connections to endpoints. The zero
// value uses the product's own dialect. It is safe for concurrent use.
type Sender struct {
	// Dialect defines the headers that are exchanged with endpoints; nil means the
	// product's own.
	Dialect exchange.Dialect

	mu   sync.Mutex
	idle map[string][]*connection
	// lastData is the time of the last data from each address.
	lastData map[string]time.Time
}

func (s *Sender) dialect() exchange.Dialect {
	if s.Dialect == nil {
		return exchange.Native{}
	}
	return s.Dialect
}

// connect returns a connection to the endpoint: a usable idle one if shared is set,
// or a new one.
func (s *Sender) connect(ctx context.Context, address string, shared bool) (*connection, error) {
	for shared {
		c := s.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.usableUntil) && c.isUsable() {
			return c, nil
		}
		c.close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUnacknowledgedTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &connection{sender: s, address: address, conn: conn, receiver: receiver{sender: s, address: address, conn: conn}}
	c.reader = bufio.NewReaderSize(&c.receiver, readBufferSize)
	return c, nil
}

// setUnacknowledgedTimeout sets how long sent data may stay unacknowledged before
// the kernel closes the connection.
func setUnacknowledgedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}

// takeIdle removes the newest idle connection to an address and returns it; nil if
// there is none.
func (s *Sender) takeIdle(address string) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := s.idle[address]
	if len(idle) == 0 {
		return nil
	}
	// The endpoint is least likely to have closed the newest connection.
	c := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	s.idle[address] = idle[:len(idle)-1]
	return c
}

// putIdle stores an idle connection, or closes it if enough of them are stored for
// its endpoint.
func (s *Sender) putIdle(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[string][]*connection{}
	}
	idle := s.idle[c.address]
	if len(idle) >= maxIdlePerEndpoint {
		c.close()
		return
	}
	s.idle[c.address] = append(idle, c)
}

// CloseIdle closes the idle connections to an endpoint. It is called when one of
// its connections stopped responding, because the others may be dead as well.
func (s *Sender) CloseIdle(address string) {
	s.mu.Lock()
	idle := s.idle[address]
	delete(s.idle, address)
	s.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// CloseExpired closes the idle connections that may no longer be used.
func (s *Sender) CloseExpired() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, idle := range s.idle {
		unexpired := idle[:0]
		for _, c := range idle {
			if now.Before(c.usableUntil) {
				unexpired = append(unexpired, c)
				continue
			}
			c.close()
		}
		clear(idle[len(unexpired):])
		if len(unexpired) == 0 {
			delete(s.idle, address)
			continue
		}
		s.idle[address] = unexpired
	}
}

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
	// written receives the result of writing a long request; nil if none is being
	// written.
	written chan error
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
func (c *connection) write(head, body []byte) (int, error) {
	_ = c.conn.SetDeadline(time.Time{})
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(head)+len(body) <= maxInlineBytes {
		return c.conn.Write(append(head, body...))
	}
	sent, err := c.conn.Write(head)
	if err != nil {
		return sent, err
	}
	w := &writer{connection: c, body: body, done: make(chan error, 1)}
	c.written = w.done
	go w.run()
	return sent, nil
}

// writer writes a long body while the answer is read.
type writer struct {
	connection *connection
	body       []byte
	done       chan error
}

func (w *writer) run() {
	_, err := io.Copy(w.connection.conn, bytes.NewReader(w.body))
	w.done <- err
}

// isReusable reports whether the connection can carry another request: the last
// one was written completely, and its answer was read to the end.
func (c *connection) isReusable() bool {
	if c.written != nil {
		select {
		case err := <-c.written:
			c.written = nil
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	return c.reader.Buffered() == 0 && time.Now().Before(c.usableUntil)
}

// recordData records that an endpoint sent data now.
func (s *Sender) recordData(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastData == nil {
		s.lastData = map[string]time.Time{}
	}
	s.lastData[address] = time.Now()
}

// hasDataSince reports whether an endpoint sent data after start, on any
// connection.
func (s *Sender) hasDataSince(address string, start time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastData[address].After(start)
}

// readAnswer returns the next final answer on the connection. It skips interim
// answers, those with a status below 200, and passes them to onInterim.
func (c *connection) readAnswer(method string, limits waitLimits, onInterim func(status int, header http.Header)) (*http.Response, error) {
	c.receiver.beginHead(limits)
	defer c.receiver.endHead()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.headError(err)
		}
		if response.StatusCode >= http.StatusOK {
			c.sender.recordData(c.address)
			return response, nil
		}
		onInterim(response.StatusCode, response.Header)
	}
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
