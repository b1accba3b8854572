// Package ring provides a bounded queue between goroutines.
package ring

import "sync/atomic"

// Ring is a bounded first-in, first-out queue. Adding to it never blocks: when it
// is full, it refuses the item and counts the refusal.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a Ring that holds at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// Offer adds item and reports true. When the ring is full, it counts a refused
// item and reports false.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Items returns the channel from which consumers receive the items.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Depth returns the number of queued items.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Refused returns the number of items refused so far.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
