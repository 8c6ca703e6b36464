// Package ring provides a bounded queue that passes values between the goroutines of
// the daemon. A producer does not block: it learns at once when the queue is full.
package ring

// Ring is a bounded first-in-first-out queue. Create it with New.
type Ring[T any] struct{ slots chan T }

// New creates a ring that holds up to size values.
func New[T any](size int) Ring[T] { return Ring[T]{slots: make(chan T, size)} }

// Offer adds a value. It returns false if the ring is full.
func (r Ring[T]) Offer(value T) bool {
	select {
	case r.slots <- value:
		return true
	default:
		return false
	}
}

// Values returns the channel to receive values from.
func (r Ring[T]) Values() <-chan T { return r.slots }

// Drain appends queued values to batch until it holds limit values or the ring is
// empty.
func (r Ring[T]) Drain(batch []T, limit int) []T {
	for len(batch) < limit {
		select {
		case value := <-r.slots:
			batch = append(batch, value)
		default:
			return batch
		}
	}
	return batch
}

// Len returns the number of queued values.
func (r Ring[T]) Len() int { return len(r.slots) }
