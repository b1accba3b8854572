// Package ring provides the bounded queue that joins two goroutines.
package ring

import "sync/atomic"

// Ring is a bounded first-in first-out queue. Offer never blocks: a full ring
// is an outcome that the producer handles and the ring counts.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a Ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer appends item and reports true, or counts a refusal and reports false
// when the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Items returns the channel that consumers receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Depth returns the count of items waiting.
func (r *Ring[T]) Depth() int { return len(r.items) }

// Refused returns the count of items refused since the ring was made.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
