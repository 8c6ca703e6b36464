package attempt

import (
	"bufio"
	"context"
	"net"
	"slices"
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
	// unacknowledgedTimeout bounds how long sent bytes may stay
	// unacknowledged by the endpoint's TCP stack.
	unacknowledgedTimeout = 3 * time.Second
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

// connect returns a connection to the endpoint: a usable idle one if the request may
// use one, or a new one.
func (s *Sender) connect(ctx context.Context, address string, p Request) (*connection, error) {
	for p.MayReuseConnection {
		c := s.takeIdle(address, p.RunsOnce)
		if c == nil {
			break
		}
		if time.Now().Before(c.usableUntil) && c.isUsable() {
			c.reused = true
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
// there is none. With unrejected, it passes over connections that carried a rejection,
// because an endpoint may write that once more.
func (s *Sender) takeIdle(address string, unrejected bool) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := s.idle[address]
	// The endpoint is least likely to have closed the newest connection.
	for n, c := range slices.Backward(idle) {
		if !unrejected || !c.rejected {
			s.idle[address] = slices.Delete(idle, n, n+1)
			return c
		}
	}
	return nil
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
