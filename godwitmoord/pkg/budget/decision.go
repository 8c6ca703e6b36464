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
)

// Connection is a connection of a caller, as the decision sees it.
type Connection struct {
	Phase ConnectionPhase
	// Age is how long it has been in that phase.
	Age time.Duration
}

// headTime is how long a client whose network works needs at most to send the head of its
// first request.
const headTime = time.Second

// ConnectionToClose decides which connection is closed when a host may open no more:
// the one that has been sending its first head for longest, if that is over headTime,
// or else the one that has been idle for longest. It returns false if there is none, so
// that the new connection is the one to close.
func ConnectionToClose(connections []Connection) (int, bool) {
	chosen, found := -1, false
	for i, c := range connections {
		closable := c.Phase == Idle || (c.Phase == Opened && c.Age > headTime)
		if !closable {
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
	return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(b.Age, a.Age))
}
