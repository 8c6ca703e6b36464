package permit

import "container/heap"

// waiter is a request that waits for a slot.
type waiter struct {
	ask   Ask
	since Instant
	// latestStart is when the fastest endpoint must start the request.
	latestStart Instant
	// work is the slot-seconds that the request is expected to take.
	work     float64
	sequence uint64
	position int
	// lateStart is when the fastest endpoint must start the request if its goal does
	// not count, as computed at lateStartAt.
	lateStart, lateStartAt Instant
	// charged is set if the request was charged to its customer's quota when it arrived.
	charged bool
	// announced is set once the host was told that the request waits.
	announced bool
	// late is set once the first part can no longer arrive by its goal.
	late bool
	// returned is set if the request was refused before and came back when it was told
	// to; reserved is also set if slots were reserved for it then.
	returned, reserved bool
	// round is the number of shares that its customer gets before the request, while
	// customers compete.
	round int
	// customer is the work of its customer; nil until that is looked up.
	customer *customerWork
}

// Each tier has these queues. Requests that have begun are served before the others
// of their tier, so that an interrupted request is not starved.
const (
	begunQueue = iota
	// onTimeQueue holds requests that can still meet their goals.
	onTimeQueue
	// returnedQueue holds requests that came back to slots reserved for them.
	returnedQueue
	lateQueue
	// beyondQueue holds requests beyond the shares of their customers.
	beyondQueue
	queuesPerTier
)

// kind returns which queue of its tier the request waits in.
func (w *waiter) kind() int {
	switch {
	case w.ask.Begun:
		return begunQueue
	case w.reserved:
		return returnedQueue
	case w.round > 0:
		return beyondQueue
	case w.late:
		return lateQueue
	default:
		return onTimeQueue
	}
}

// queue is a heap of the waiting requests of one kind in one tier. The first one is
// the request that must start soonest, of those whose turn is first.
type queue []*waiter

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if a, b := q[i].turn(), q[j].turn(); a != b {
		return a < b
	}
	if q[i].latestStart != q[j].latestStart {
		return q[i].latestStart < q[j].latestStart
	}
	return q[i].sequence < q[j].sequence
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position = i
	q[j].position = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w, isWaiter := x.(*waiter)
	if !isWaiter {
		return
	}
	w.position = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return w
}

// queueOf returns the queue in which a request waits.
func (c *Core) queueOf(w *waiter) *queue { return &c.tierOf(w.ask.Tier).queues[w.kind()] }

func (c *Core) dequeue(w *waiter) {
	heap.Remove(c.queueOf(w), w.position)
	delete(c.waiting, w.ask.ID)
}
