package permit

// waiter is a request that waits for a place.
type waiter struct {
	ask   Ask
	since Instant
	// latestStart is when the fastest endpoint would have to start it.
	latestStart Instant
	// work is the time, in seconds of a place, that it should take.
	work     float64
	sequence uint64
	position int
	// late is set once the first part can't come by its goal any more.
	late bool
}

// The queues of one tier. What was begun goes before the rest of it, so that
// nothing is interrupted and then forgotten.
const (
	begunQueue = iota
	// freshQueue holds requests that can still meet their goals.
	freshQueue
	lateQueue
	queuesPerTier
)

// kind gives which queue of its tier the request waits in.
func (w *waiter) kind() int {
	switch {
	case w.ask.Begun:
		return begunQueue
	case w.late:
		return lateQueue
	default:
		return freshQueue
	}
}

// queue is a heap of the waiting requests of one tier; first is the one that
// can wait the least.
type queue []*waiter

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
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

// Push is for container/heap.
func (q *queue) Push(x any) {
	w, isWaiter := x.(*waiter)
	if !isWaiter {
		return
	}
	w.position = len(*q)
	*q = append(*q, w)
}

// Pop is for container/heap.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return w
}
