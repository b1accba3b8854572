package ring

import "context"

// Batcher receives the items of a Ring, several at once where they can be merged. It is for one
// consumer.
type Batcher[T any] struct {
	ring  *Ring[T]
	merge func(into, item *T) bool
	// held is the latest item received, if it could not be merged.
	held *T
}

// NewBatcher returns a Batcher for the items of r. The function merge adds an item to an earlier
// one, or reports false and changes nothing if the item has to stay apart.
func NewBatcher[T any](r *Ring[T], merge func(into, item *T) bool) *Batcher[T] {
	return &Batcher[T]{ring: r, merge: merge}
}

// Next waits for an item, and merges those that wait behind it until one has to stay apart. It
// reports false if ctx is done first.
func (b *Batcher[T]) Next(ctx context.Context) (out T, ok bool) {
	if b.held != nil {
		out, b.held = *b.held, nil
	} else {
		select {
		case <-ctx.Done():
			return out, false
		case out = <-b.ring.items:
		}
	}
	for {
		select {
		case item := <-b.ring.items:
			if !b.merge(&out, &item) {
				b.held = &item
				return out, true
			}
		default:
			return out, true
		}
	}
}
