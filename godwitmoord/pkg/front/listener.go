package front

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"godwitmoor.example/godwitmoord/pkg/budget"
)

const (
	// spoolPollInterval is how often a stop checks whether spooled parts are sent.
	spoolPollInterval = 20 * time.Millisecond
	// leavingDivisor is the share of the bound of connections that may be open beyond it
	// while their displaced requests are answered, as its divisor.
	leavingDivisor = 8
)

// boundedListener accepts callers' connections within the bounds of the host.
type boundedListener struct {
	net.Listener
	account   *budget.Account
	shortages *budget.Reporter
	// maxOpen bounds the open connections; zero means no bound.
	maxOpen int
	// spools is set if what callers don't read in time is spooled.
	spools bool
	// unreadTime is how long a caller may read nothing while something is spooled for
	// it, fullTime how long a part of its answer waits for room in a full spool.
	unreadTime, fullTime time.Duration
	// spooled is the number of bytes that are spooled, spooling that of the connections
	// on which some are.
	spooled, spooling atomic.Int64

	mu   sync.Mutex
	open map[*callerConn]struct{}
	// leaving is the number of open connections whose requests were displaced. They close
	// as soon as they are answered.
	leaving int
}

// Accept returns the next connection for which there is room.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
		l.shortages.Report(budget.ConnectionRefused)
		_ = accepted.Close()
	}
}

// admit returns an accepted connection, for which another one may be closed; nil if there
// is no room for it.
func (l *boundedListener) admit(accepted net.Conn) *callerConn {
	if !l.reserve() && (!l.closeOne() || !l.reserve()) {
		return nil
	}
	c := newCallerConn(l, accepted)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c
}

// reserve charges one more connection, and reports whether there is room for it. It is
// called by Accept only.
func (l *boundedListener) reserve() bool {
	l.mu.Lock()
	full := l.maxOpen > 0 && len(l.open)-l.leaving >= l.maxOpen
	l.mu.Unlock()
	return !full && l.account.Reserve(budget.ConnectionBytes)
}

// maxLeaving returns how many connections beyond maxOpen may be leaving.
func (l *boundedListener) maxLeaving() int { return max(l.maxOpen/leavingDivisor, 1) }

// closeOne closes the connection whose loss costs least, or displaces the request that it
// sends, and reports whether there was one.
func (l *boundedListener) closeOne() bool {
	now := time.Now()
	open := l.withoutSpool()
	connections := make([]budget.Connection, 0, len(open))
	for _, c := range open {
		connections = append(connections, c.state(now))
	}
	i, found := budget.ConnectionToClose(connections)
	if !found {
		return false
	}
	if connections[i].Phase == budget.Receiving {
		return open[i].displace()
	}
	l.shortages.Report(budget.ConnectionClosed)
	_ = open[i].Close()
	return true
}

// withoutSpool returns the connections that can be closed at once. The locks of spools are
// taken without that of the listener, since a spool that closes its connection takes
// them in the other order.
func (l *boundedListener) withoutSpool() []*callerConn {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	return slices.DeleteFunc(open, func(c *callerConn) bool { return c.spool.isRunning() })
}

// release returns the charge of a connection that is closed.
func (l *boundedListener) release(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if c.leaving {
		l.leaving--
	}
	l.account.Add(-budget.ConnectionBytes)
}

// awaitSpools waits until everything that is spooled is sent or dropped, or ctx ends.
func (l *boundedListener) awaitSpools(ctx context.Context) {
	for l.spooling.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(spoolPollInterval):
		}
	}
}
