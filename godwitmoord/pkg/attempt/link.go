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
	// idlePerEndpoint bounds the idle connections that are kept open for one
	// endpoint.
	idlePerEndpoint = 64
	// idleLifetime is how long an idle connection is kept if its endpoint states no
	// limit of its own. If it states one, the connection is closed idleMargin
	// before that limit.
	idleLifetime = 4 * time.Second
	idleMargin   = time.Second
	// writeTimeout bounds the time to write a request to the connection.
	writeTimeout = 5 * time.Second
	// unacknowledged bounds how long sent bytes may stay unacknowledged by the
	// endpoint's TCP stack.
	unacknowledged = 3 * time.Second
	readBuffer     = 2 << 10
	// directBytes is the size up to which a request is written before its answer
	// is read. A longer one is written while the answer is read, because the
	// endpoint may answer before it has received the whole request.
	directBytes     = 4 << 10
	maxRefusalBytes = 64 << 10
	maxStrayBytes   = 1 << 20
	// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
)

// errSilent ends an attempt whose endpoint sent no data within the time limit.
var errSilent = errors.New("the endpoint sent no data within the time limit")

// Sender sends attempts and holds the idle connections to endpoints. The zero
// value uses the product's own dialect. It is safe for concurrent use.
type Sender struct {
	// Dialect defines the headers that are exchanged with endpoints; nil means the
	// product's own.
	Dialect exchange.Dialect

	mu   sync.Mutex
	idle map[string][]*link
	// heard is the time of the last data from each address.
	heard map[string]time.Time
}

func (s *Sender) dialect() exchange.Dialect {
	if s.Dialect == nil {
		return exchange.Native{}
	}
	return s.Dialect
}

// take returns a connection to the endpoint: a usable idle one if shared is set,
// or a new one.
func (s *Sender) take(ctx context.Context, address string, shared bool) (*link, error) {
	for shared {
		l := s.pop(address)
		if l == nil {
			break
		}
		if time.Now().Before(l.until) && l.quiet() {
			return l, nil
		}
		l.abort()
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: limitUnacknowledged}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &link{sender: s, address: address, conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// limitUnacknowledged sets how long sent data may stay unacknowledged before the
// kernel closes the connection.
func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// pop removes the newest idle connection to an address and returns it; nil if
// there is none.
func (s *Sender) pop(address string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.idle[address]
	if len(kept) == 0 {
		return nil
	}
	// The endpoint is least likely to have closed the newest connection.
	l := kept[len(kept)-1]
	kept[len(kept)-1] = nil
	s.idle[address] = kept[:len(kept)-1]
	return l
}

// give stores an idle connection, or closes it if enough of them are stored for
// its endpoint.
func (s *Sender) give(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[string][]*link{}
	}
	kept := s.idle[l.address]
	if len(kept) >= idlePerEndpoint {
		l.abort()
		return
	}
	s.idle[l.address] = append(kept, l)
}

// Forget closes the idle connections to an endpoint. It is called when one of its
// connections stopped responding, because the others may be dead as well.
func (s *Sender) Forget(address string) {
	s.mu.Lock()
	kept := s.idle[address]
	delete(s.idle, address)
	s.mu.Unlock()
	for _, l := range kept {
		l.abort()
	}
}

// Sweep closes the idle connections that may no longer be used.
func (s *Sender) Sweep() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, kept := range s.idle {
		sound := kept[:0]
		for _, l := range kept {
			if now.Before(l.until) {
				sound = append(sound, l)
				continue
			}
			l.abort()
		}
		clear(kept[len(sound):])
		if len(sound) == 0 {
			delete(s.idle, address)
			continue
		}
		s.idle[address] = sound
	}
}

// link is one connection to an endpoint.
type link struct {
	sender  *Sender
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// until is the time from which an idle connection must no longer be used.
	until time.Time
	// writing receives the result of writing a long request; nil if none is being
	// written.
	writing chan error
}

func (l *link) abort() { _ = l.conn.Close() }

// quiet reports whether an idle connection is open and has received no data.
func (l *link) quiet() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	socket, isSocket := l.conn.(syscall.Conn)
	if !isSocket {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	// The deadline of the last request may have passed and would make the read
	// fail at once.
	_ = l.conn.SetReadDeadline(time.Time{})
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(failed, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// write sends a request and returns how many bytes may have been sent. It returns
// before a long body is written.
func (l *link) write(head, body []byte) (int, error) {
	_ = l.conn.SetDeadline(time.Time{})
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(head)+len(body) <= directBytes {
		return l.conn.Write(append(head, body...))
	}
	sent, err := l.conn.Write(head)
	if err != nil {
		return sent, err
	}
	w := &writer{link: l, body: body, done: make(chan error, 1)}
	l.writing = w.done
	go w.run()
	return sent, nil
}

// writer writes a long body while the answer is read.
type writer struct {
	link *link
	body []byte
	done chan error
}

func (w *writer) run() {
	_, err := io.Copy(w.link.conn, bytes.NewReader(w.body))
	w.done <- err
}

// fit reports whether the connection can carry another request: the last one was
// written completely, and its answer was read to the end.
func (l *link) fit() bool {
	if l.writing != nil {
		select {
		case err := <-l.writing:
			l.writing = nil
			if err != nil {
				return false
			}
		default:
			return false
		}
	}
	return l.reader.Buffered() == 0 && time.Now().Before(l.until)
}

// expectWithin sets the deadline of the next reads; zero or less removes it.
func (l *link) expectWithin(wait time.Duration) {
	if wait <= 0 {
		_ = l.conn.SetReadDeadline(time.Time{})
		return
	}
	_ = l.conn.SetReadDeadline(time.Now().Add(wait))
}

// note records that an endpoint sent data now.
func (s *Sender) note(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard = map[string]time.Time{}
	}
	s.heard[address] = time.Now()
}

// heardSince reports whether an endpoint sent data after began, on any connection.
func (s *Sender) heardSince(address string, began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[address].After(began)
}

// waiting limits one wait for data of an endpoint.
type waiting struct {
	// bound is the longest wait; zero means no limit.
	bound time.Duration
	// tell is called whenever the wait has lasted for another notice, and reports
	// whether to end it.
	notice time.Duration
	tell   func(Silence) bool
}

// await waits until data arrives, and then allows the time w.bound for reading it.
func (l *link) await(w waiting) error {
	began := time.Now()
	for l.reader.Buffered() == 0 {
		left := w.bound - time.Since(began)
		if w.bound > 0 && left <= 0 {
			return errSilent
		}
		step := max(left, 0)
		if w.notice > 0 && w.tell != nil && (step == 0 || w.notice < step) {
			step = w.notice
		}
		l.expectWithin(step)
		_, err := l.reader.Peek(1)
		var timeout net.Error
		switch {
		case err == nil:
		case !errors.As(err, &timeout) || !timeout.Timeout():
			return err
		case w.tell != nil && w.tell(Silence{Lasted: time.Since(began), Alive: l.sender.heardSince(l.address, began)}):
			return errSilent
		}
	}
	l.sender.note(l.address)
	l.expectWithin(w.bound)
	return nil
}

// read returns the next final answer on the connection. It skips interim answers,
// those with a status below 200.
func (l *link) read(method string, wait waiting) (*http.Response, error) {
	for {
		if err := l.await(wait); errors.Is(err, errSilent) {
			l.sender.Forget(l.address)
			return nil, err
		}
		response, err := http.ReadResponse(l.reader, &http.Request{Method: method})
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			l.sender.Forget(l.address)
			return nil, errSilent
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// skip reads an answer to another attempt to its end and reports whether the
// connection can still be used.
func (l *link) skip(response *http.Response, bound time.Duration) bool {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	l.expectWithin(bound)
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
	return err == nil && !response.Close
}

// keepFor sets how long the connection may stay idle, given the limit that its
// endpoint stated; zero if it stated none.
func (l *link) keepFor(told time.Duration) {
	life := idleLifetime
	if told > 0 {
		life = told - idleMargin
	}
	l.until = time.Now().Add(life)
}

// headBytes encodes the request line and the headers of a request whose body has
// the given length. It sets Content-Length in header.
func headBytes(method, target, host string, header http.Header, length int) []byte {
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
