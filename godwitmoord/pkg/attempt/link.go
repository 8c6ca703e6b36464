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
	// idlePerEndpoint bounds the connections kept for one endpoint.
	idlePerEndpoint = 64
	// idleLifetime is how long a connection is kept whose endpoint does not tell
	// its own limit; idleMargin is how much earlier than that limit it is given up.
	idleLifetime = 4 * time.Second
	idleMargin   = time.Second
	// writeTimeout bounds the wait for an endpoint to take a request in.
	writeTimeout = 5 * time.Second
	// unacknowledged bounds how long sent bytes may stay without an answer of
	// the other end's TCP.
	unacknowledged = 3 * time.Second
	readBuffer     = 2 << 10
	// directBytes is the size up to which a request is written before its answer
	// is read; a longer one is written beside that, as it may be answered early.
	directBytes     = 4 << 10
	maxRefusalBytes = 64 << 10
	maxStrayBytes   = 1 << 20
	// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
)

// errSilent ends an attempt whose endpoint has been silent for too long.
var errSilent = errors.New("the endpoint was silent for too long")

// Sender sends attempts and keeps the connections. The zero value speaks the
// product's own dialect.
type Sender struct {
	// Dialect is how the endpoints spell what is exchanged; nil means the
	// product's own.
	Dialect exchange.Dialect

	mu   sync.Mutex
	idle map[string][]*link
	// heard is when something last came from each address.
	heard map[string]time.Time
}

func (s *Sender) dialect() exchange.Dialect {
	if s.Dialect == nil {
		return exchange.Native{}
	}
	return s.Dialect
}

// take gives a connection to the endpoint: a kept one that is sound, or a new
// one.
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

func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

func (s *Sender) pop(address string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.idle[address]
	if len(kept) == 0 {
		return nil
	}
	// The newest one is the least likely to have been closed meanwhile.
	l := kept[len(kept)-1]
	kept[len(kept)-1] = nil
	s.idle[address] = kept[:len(kept)-1]
	return l
}

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

// Forget closes the idle connections to an endpoint: after one of them went
// silent, the others may be dead as well.
func (s *Sender) Forget(address string) {
	s.mu.Lock()
	kept := s.idle[address]
	delete(s.idle, address)
	s.mu.Unlock()
	for _, l := range kept {
		l.abort()
	}
}

// Sweep closes the connections whose time is over.
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
	// until is when a kept connection must no longer be used.
	until time.Time
	// writing ends when a long request is written.
	writing chan error
}

func (l *link) abort() { _ = l.conn.Close() }

// quiet tells whether a kept connection is open and nothing has come on it.
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
	// A deadline that has passed would end the look before it begins.
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

// write sends a request and tells how many bytes may have gone out.
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

// writer sends a long body while the answer is read.
type writer struct {
	link *link
	body []byte
	done chan error
}

func (w *writer) run() {
	_, err := io.Copy(w.link.conn, bytes.NewReader(w.body))
	w.done <- err
}

// fit tells whether the connection may carry another request: all of the last
// one was written, and nothing is left of its answer.
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

func (l *link) expectWithin(wait time.Duration) {
	if wait <= 0 {
		_ = l.conn.SetReadDeadline(time.Time{})
		return
	}
	_ = l.conn.SetReadDeadline(time.Now().Add(wait))
}

// note remembers that an endpoint lives.
func (s *Sender) note(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard = map[string]time.Time{}
	}
	s.heard[address] = time.Now()
}

// heardSince tells whether anything came from an endpoint, on any connection.
func (s *Sender) heardSince(address string, began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[address].After(began)
}

// waiting bounds one wait for bytes of an endpoint.
type waiting struct {
	// bound ends the wait; zero does not.
	bound  time.Duration
	notice time.Duration
	tell   func(Silence) bool
}

// await waits until something came, and leaves bound for what follows it.
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

// read gives the next final answer on the connection.
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

// skip reads an answer that belongs to an earlier attempt to its end.
func (l *link) skip(response *http.Response, bound time.Duration) bool {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false
	}
	l.expectWithin(bound)
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
	return err == nil && !response.Close
}

// keepFor sets how long the connection may be kept, by what its endpoint told.
func (l *link) keepFor(told time.Duration) {
	life := idleLifetime
	if told > 0 {
		life = told - idleMargin
	}
	l.until = time.Now().Add(life)
}

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
