package budget

import (
	"cmp"
	"slices"
	"time"
)

// Holder is a body that is being read, as the decision sees it.
type Holder struct {
	Bytes    int64
	Rank     int
	Customer string
	// Stalled is set if no byte of the body arrived for a while.
	Stalled bool
	// Order is the place of the body among those that began before and after it.
	Order uint64
}

// Displace decides which bodies are displaced when a host has no room for the next need
// bytes of a body: those whose loss costs least, until the bytes fit. It handles many
// large bodies at once. It returns the indices of these bodies, or false if
// the asking body, at the given index, is itself the one whose loss costs least.
//
// Bodies that make no progress go first, then those of the lowest rank, then those of
// the customer that holds most, and then the latest, so that the others are completed.
func Displace(holders []Holder, asking int, need int64) ([]int, bool) {
	held := map[string]int64{}
	for _, h := range holders {
		held[h.Customer] += h.Bytes
	}
	order := make([]int, 0, len(holders))
	for i, h := range holders {
		if h.Bytes > 0 || i == asking {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int { return compareCost(holders[i], holders[j], held) })
	var displaced []int
	for _, i := range order {
		if i == asking {
			return nil, false
		}
		displaced = append(displaced, i)
		if need -= holders[i].Bytes; need <= 0 {
			return displaced, true
		}
	}
	return nil, false
}

// compareCost compares what the loss of two bodies costs, given what each customer
// holds.
func compareCost(a, b Holder, held map[string]int64) int {
	if a.Stalled != b.Stalled {
		if a.Stalled {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.Rank, a.Rank),
		cmp.Compare(held[b.Customer], held[a.Customer]),
		cmp.Compare(b.Order, a.Order),
	)
}

const (
	// sparseReadBytes is below what a read of a buffer returns, unless the body comes in
	// chunks of a few bytes, or no more has arrived yet.
	sparseReadBytes = 2 << 10
	// pauseStep is the pause for each other body, and maxPause the longest one, at which
	// a body is still read at more than twice the least rate.
	pauseStep = 2 * time.Millisecond
	maxPause  = 250 * time.Millisecond
)

// Pause returns how long the reader of a large body should wait after a read that
// returned little, given how many large bodies are read at once. It handles many bodies
// in chunks of one byte, which cost far more processor time than others of their length:
// all of them together are read at a bounded rate. A body that arrives
// slowly is not delayed, because more of it has arrived after the pause.
func Pause(bodies int) time.Duration {
	return min(time.Duration(max(bodies-1, 0))*pauseStep, maxPause)
}

// ConnectionPhase is what a connection of a caller does.
type ConnectionPhase int

// The phases of a connection.
const (
	// Opened connections have not sent the whole head of a request yet.
	Opened ConnectionPhase = iota
	// Serving connections have a request in progress.
	Serving
	// Idle connections have had a request and wait for the next one.
	Idle
	// Receiving connections have a request in progress whose body has not all arrived.
	Receiving
	// Leaving connections had a request whose body was being received, and was displaced.
	Leaving
)

// Connection is a connection of a caller, as the decision sees it.
type Connection struct {
	Phase ConnectionPhase
	// Age is how long it has been in that phase.
	Age time.Duration
	// Received is the number of bytes of the head or the body that is being received, and
	// Stalled is set if none of the body arrived for a while.
	Received int64
	Stalled  bool
}

// arrivalTime is how long a client whose network works needs at most to send the head of a
// request, or a body of usual length.
const arrivalTime = time.Second

// silentTime is the least time that a client has to send its first byte, which follows the
// packet that opens the connection. The longest silent connection is closed first, so
// that a client usually has far more.
const silentTime = 10 * time.Millisecond

// closingCost orders the connections that may be closed, those with the lowest cost first.
type closingCost int

const (
	// unclosable connections must not be closed.
	unclosable closingCost = iota
	silent
	slowHead
	stalledBody
	idle
	slowBody
)

// cost returns what the end of the connection costs its caller.
func (c Connection) cost() closingCost {
	switch c.Phase {
	case Opened:
		if c.Received == 0 && c.Age > silentTime {
			return silent
		}
		if c.Age > arrivalTime {
			return slowHead
		}
	case Receiving:
		if c.Age > arrivalTime && c.Stalled {
			return stalledBody
		}
		if c.Age > arrivalTime {
			return slowBody
		}
	case Idle:
		return idle
	case Serving, Leaving:
	}
	return unclosable
}

// rate returns the bytes of its body that arrived per second.
func (c Connection) rate() float64 { return float64(c.Received) / c.Age.Seconds() }

// ConnectionToClose decides which connection is closed when a host may open no more:
// the one that has sent nothing for longest, if that is over silentTime, else the one that
// has been sending its head for longest, if that is over arrivalTime, one whose body has
// stalled, the one that has been idle for longest, or the one whose
// body has been arriving for over arrivalTime, the slowest. It returns false if there
// is none, so that the new connection is the one to close.
func ConnectionToClose(connections []Connection) (int, bool) {
	chosen, found := -1, false
	for i, c := range connections {
		if c.cost() == unclosable {
			continue
		}
		if !found || compareConnections(c, connections[chosen]) < 0 {
			chosen, found = i, true
		}
	}
	return chosen, found
}

// compareConnections orders connections that may be closed, the first to close first.
func compareConnections(a, b Connection) int {
	order := cmp.Compare(a.cost(), b.cost())
	if order == 0 && a.cost() == slowBody {
		order = cmp.Compare(a.rate(), b.rate())
	}
	return cmp.Or(order, cmp.Compare(b.Age, a.Age))
}
