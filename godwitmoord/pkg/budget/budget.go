// Package budget keeps the account of the memory that a host holds for callers, endpoints
// and other hosts, and decides which request bodies are displaced (their reading ends, and
// their requests are refused) when there is no more room.
//
// Memory is charged before it is used, and the charge is returned when it is released. Charging
// costs one atomic addition. Bodies of more than SmallBytes are also listed while they
// are read, so that some of them can be displaced by others; the decision itself is
// pure, see Displace.
//
// Settings without a memory or a number of descriptors give a nil Account or a bound of
// zero, and nothing is bounded then.
//
// # Usage
//
//	account := budget.New(settings.MemoryBytes())
//	var body budget.Body
//	body.Open(account, rank, customer, reader)
//	defer body.Close()
//	if !body.Grow(n) { ... }
package budget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heldDivisor is the share of the process's memory that may be held, as its
	// divisor. The rest is for the program itself, its tables, and memory that is
	// released but not yet collected.
	heldDivisor = 2
	// reserveDivisor is the share of what may be held that only small charges may use,
	// as its divisor, so that large bodies don't keep out small requests.
	reserveDivisor = 8
	// SmallBytes is the most that a body may hold without being listed.
	SmallBytes = 16 << 10
	// ConnectionBytes is charged for the connection of a caller: its buffers, a head while
	// it arrives or that of a usual request, and the stacks of its goroutines.
	ConnectionBytes = 40 << 10
	// coveredHeadBytes is the part of ConnectionBytes that is for the head of a request.
	coveredHeadBytes = 20 << 10
	// headByteCopies is how often the bytes of a head are held.
	headByteCopies = 3
	// headItemBytes is held for each field of a head, and for each entry of a list in
	// one: two entries of maps, or one while a map grows.
	headItemBytes = 256
	// StallTime is how long a body must have got no byte to count as stalled.
	StallTime = time.Second
	// Callers, and other hosts that open connections, may each use connectionNumerator /
	// connectionDenominator of the descriptors. The rest is for endpoints, the store and
	// the status port.
	connectionNumerator   = 3
	connectionDenominator = 8
)

// Connections returns how many connections callers may have open, and how many other
// hosts, given the descriptors of the process; zero means no bound.
func Connections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(descriptors*connectionNumerator/connectionDenominator, 1)
}

// HeadBytes returns what is charged, beside its connection, for the head of a request
// with so many bytes and items; an item is a field, or an entry of a list in one.
func HeadBytes(bytes, items int) int64 {
	return max(int64(bytes*headByteCopies+items*headItemBytes-coveredHeadBytes), 0)
}

// Account counts the bytes that a host holds. A nil Account bounds nothing. It is safe
// for concurrent use.
type Account struct {
	limit int64
	// largeLimit is the limit for large bodies.
	largeLimit int64
	held       atomic.Int64

	mu     sync.Mutex
	bodies map[*Body]struct{}
	// opened counts the bodies that were listed.
	opened uint64
}

// New returns the account of a process that may use memory, in bytes; nil if that is
// zero.
func New(memory int64) *Account {
	if memory <= 0 {
		return nil
	}
	limit := memory / heldDivisor
	return &Account{limit: limit, largeLimit: limit - limit/reserveDivisor, bodies: map[*Body]struct{}{}}
}

// Held returns the bytes that are held.
func (a *Account) Held() int64 {
	if a == nil {
		return 0
	}
	return a.held.Load()
}

// Limit returns the bytes that may be held; zero means no bound.
func (a *Account) Limit() int64 {
	if a == nil {
		return 0
	}
	return a.limit
}

// Add charges n bytes that are held in any case, or returns their charge if n is
// below zero.
func (a *Account) Add(n int64) {
	if a != nil {
		a.held.Add(n)
	}
}

// Reserve charges n bytes if there is room for them, and reports whether there was.
func (a *Account) Reserve(n int64) bool {
	return a == nil || a.reserveWithin(n, a.limit)
}

// ReserveLarge charges n bytes like Reserve, but leaves the room that is reserved for small
// charges.
func (a *Account) ReserveLarge(n int64) bool {
	return a == nil || a.reserveWithin(n, a.largeLimit)
}

func (a *Account) reserveWithin(n, limit int64) bool {
	if a.held.Add(n) <= limit {
		return true
	}
	a.held.Add(-n)
	return false
}

// ReserveForHosts charges n bytes for other hosts if there is room for them, and
// reports whether there was. Callers can't use up what is reserved for them.
func (a *Account) ReserveForHosts(n int64) bool {
	return a == nil || a.reserveWithin(n, a.limit+a.limit/reserveDivisor)
}

// Reader reads a body.
type Reader interface {
	// Interrupt makes the read end. It is called once at most, while the account is locked,
	// so it must not call the account.
	Interrupt()
}

// Body is the charge of one body of a request. The zero value bounds nothing. Its
// methods are called by the goroutine that reads the body.
type Body struct {
	account  *Account
	rank     int
	customer string
	reader   Reader
	// large is set once the body was listed. From then on the account's lock guards
	// bytes, listed and displaced.
	large bool
	// bytes is what is charged.
	bytes int64
	// listed is set while the body can be displaced, and displaced once it was.
	listed, displaced bool
	// order is the place of the body among those that were listed.
	order uint64
	// lastByte is the time of its last byte, in Unix nanoseconds.
	lastByte atomic.Int64
}

// Open sets what the charge of a body depends on, before the body is read. The reader is
// interrupted if the body is displaced by others; its next Grow then fails.
func (b *Body) Open(a *Account, rank int, customer string, reader Reader) {
	b.account, b.rank, b.customer, b.reader = a, rank, customer, reader
}

// Grow charges n more bytes, and reports whether there is room for them. If there is
// none, other bodies may be displaced, or this one is refused.
func (b *Body) Grow(n int64) bool {
	a := b.account
	if a == nil {
		return true
	}
	if !b.large && b.bytes+n <= SmallBytes && a.Reserve(n) {
		b.bytes += n
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.displaced {
		return false
	}
	b.list()
	limit := a.largeLimit
	if b.bytes+n <= SmallBytes {
		limit = a.limit
	}
	if !a.reserveWithin(n, limit) && !a.makeRoom(b, n, limit) {
		b.unlist()
		return false
	}
	b.bytes += n
	return true
}

// Progressed records that bytes of the body arrived at a time.
func (b *Body) Progressed(now time.Time) {
	if b.large {
		b.lastByte.Store(now.UnixNano())
	}
}

// Displaced reports whether the body was displaced by others.
func (b *Body) Displaced() bool {
	if !b.large {
		return false
	}
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	return b.displaced
}

// Pause returns how long the reader of the body should wait after a read that returned n
// bytes only; see the function Pause.
func (b *Body) Pause(n int) time.Duration {
	if !b.large || n >= sparseReadBytes {
		return 0
	}
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	return Pause(len(b.account.bodies))
}

// Complete ends the reading: the body stays charged, and is not displaced any more. It
// returns false if the body was displaced before.
func (b *Body) Complete() bool {
	if !b.large {
		return true
	}
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.unlist()
	return !b.displaced
}

// Close returns the charge of the body.
func (b *Body) Close() {
	if b.account == nil {
		return
	}
	b.Complete()
	b.account.Add(-b.bytes)
	b.bytes = 0
}

// list adds the body to those that can be displaced. The account's lock is held.
func (b *Body) list() {
	if b.listed {
		return
	}
	b.account.opened++
	b.large, b.listed, b.order = true, true, b.account.opened
	b.lastByte.Store(time.Now().UnixNano())
	b.account.bodies[b] = struct{}{}
}

// unlist removes the body from those that can be displaced. The account's lock is held.
func (b *Body) unlist() {
	delete(b.account.bodies, b)
	b.listed = false
}

// makeRoom displaces other bodies so that n more bytes of b are within the limit, and
// charges them, or returns false. The account's lock is held.
func (a *Account) makeRoom(b *Body, n, limit int64) bool {
	stalledSince := time.Now().Add(-StallTime).UnixNano()
	listed := make([]*Body, 0, len(a.bodies))
	holders := make([]Holder, 0, len(a.bodies))
	asking := 0
	for other := range a.bodies {
		if other == b {
			asking = len(listed)
		}
		listed = append(listed, other)
		holders = append(holders, Holder{
			Bytes: other.bytes, Rank: other.rank, Customer: other.customer,
			Stalled: other.lastByte.Load() <= stalledSince, Order: other.order,
		})
	}
	displaced, fits := Displace(holders, asking, a.held.Load()+n-limit)
	if !fits {
		return false
	}
	for _, i := range displaced {
		a.displace(listed[i])
	}
	return a.reserveWithin(n, limit)
}

// displace returns the charge of a body and makes its read end. The memory itself is
// released when the read has ended. The account's lock is held.
func (a *Account) displace(b *Body) {
	b.unlist()
	b.displaced = true
	a.held.Add(-b.bytes)
	b.bytes = 0
	b.reader.Interrupt()
}
