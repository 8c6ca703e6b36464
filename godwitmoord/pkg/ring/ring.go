// Package ring joins the threads of the daemon: a bounded queue of one kind of
// value, which tells a producer at once when it is full.
package ring

// Ring is a bounded first-in-first-out queue. Make it with New.
type Ring[T any] struct{ slots chan T }

// New makes a ring with room for size values.
func New[T any](size int) Ring[T] { return Ring[T]{slots: make(chan T, size)} }

// Offer adds a value, or reports that the ring is full.
func (r Ring[T]) Offer(value T) bool {
	select {
	case r.slots <- value:
		return true
	default:
		return false
	}
}

// Slots gives the receiving end.
func (r Ring[T]) Slots() <-chan T { return r.slots }

// Drain appends what waits to batch, up to limit values in all.
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

// Len gives the number of waiting values.
func (r Ring[T]) Len() int { return len(r.slots) }
