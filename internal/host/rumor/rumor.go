// Package rumor provides the bounded set of updates that a host still has to
// spread by gossip.
package rumor

import (
	"cmp"
	"math/bits"
	"slices"
)

// spreadFactor times the logarithm of the group's size is how often one host
// passes on one update.
const spreadFactor = 3

type item[K cmp.Ordered, V any] struct {
	key   K
	value V
	sent  int
}

// Set holds the newest update for each key until it was passed on often
// enough. It is not safe for concurrent use.
type Set[K cmp.Ordered, V any] struct {
	items []item[K, V]
}

// Put replaces the update for key and starts its spreading again.
func (s *Set[K, V]) Put(key K, value V) {
	s.items = slices.DeleteFunc(s.items, func(i item[K, V]) bool { return i.key == key })
	s.items = append(s.items, item[K, V]{key: key, value: value})
}

// Take returns at most limit updates, those sent least often first, and counts
// them as sent once in a group of the given size.
func (s *Set[K, V]) Take(limit, group int) []V {
	if len(s.items) == 0 {
		return nil
	}
	slices.SortStableFunc(s.items, func(a, b item[K, V]) int { return a.sent - b.sent })
	n := min(limit, len(s.items))
	out := make([]V, n)
	for i := range out {
		out[i] = s.items[i].value
		s.items[i].sent++
	}
	most := spreadFactor * bits.Len(uint(group))
	s.items = slices.DeleteFunc(s.items, func(i item[K, V]) bool { return i.sent >= most })
	return out
}

// Len returns the count of updates that still spread.
func (s *Set[K, V]) Len() int { return len(s.items) }
