// Package timers provides a priority queue of items ordered by due time.
package timers

import (
	"container/heap"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

type item[T any] struct {
	due   clock.Millis
	value T
}

type items[T any] []item[T]

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(i, j int) bool { return s[i].due < s[j].due }
func (s items[T]) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

func (s *items[T]) Push(x any) {
	if i, ok := x.(item[T]); ok {
		*s = append(*s, i)
	}
}

func (s *items[T]) Pop() any {
	old := *s
	last := old[len(old)-1]
	old[len(old)-1] = item[T]{}
	*s = old[:len(old)-1]
	return last
}

// Queue holds items until they are due. It is not safe for concurrent use.
type Queue[T any] struct {
	items items[T]
}

// Add adds value to the queue, due at the time due.
func (q *Queue[T]) Add(due clock.Millis, value T) {
	heap.Push(&q.items, item[T]{due, value})
}

// PopDue removes and returns the item with the earliest due time, if it is due
// at now.
func (q *Queue[T]) PopDue(now clock.Millis) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].due > now {
		return value, false
	}
	i, ok := heap.Pop(&q.items).(item[T])
	return i.value, ok
}

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }
