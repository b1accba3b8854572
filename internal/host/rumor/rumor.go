// Package rumor holds the updates that a host still has to gossip.
package rumor

import (
	"cmp"
	"math/bits"
	"slices"
)

// retransmitFactor times the bit length of the group size is the maximum number
// of transmissions of one update.
const retransmitFactor = 3

type item[K cmp.Ordered, V any] struct {
	key   K
	value V
	// sent is the number of times that the update was sent.
	sent int
}

// Set holds the newest update for each key until it has been sent often enough.
// It is not safe for concurrent use.
type Set[K cmp.Ordered, V any] struct {
	items []item[K, V]
}

// Put replaces the update for key and resets its count of transmissions.
func (s *Set[K, V]) Put(key K, value V) {
	s.items = slices.DeleteFunc(s.items, func(i item[K, V]) bool { return i.key == key })
	s.items = append(s.items, item[K, V]{key: key, value: value})
}

// Take returns at most limit updates, least often sent first, and counts each
// as sent once more. It drops those that were sent often enough for a group of
// the given number of hosts.
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
	maxSent := retransmitFactor * bits.Len(uint(group))
	s.items = slices.DeleteFunc(s.items, func(i item[K, V]) bool { return i.sent >= maxSent })
	return out
}

// Len returns the number of updates in the set.
func (s *Set[K, V]) Len() int { return len(s.items) }
