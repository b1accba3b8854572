// Package timers provides a queue of items ordered by the time they fall due.
package timers

import (
	"container/heap"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

type item[T any] struct {
	at    clock.Millis
	value T
}

type items[T any] []item[T]

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(i, j int) bool { return s[i].at < s[j].at }
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

// Queue holds items until they fall due. It is not safe for concurrent use.
type Queue[T any] struct {
	items items[T]
}

// Add puts value into the queue, due at the given time.
func (q *Queue[T]) Add(at clock.Millis, value T) {
	heap.Push(&q.items, item[T]{at, value})
}

// Due removes and returns one item that is due at now, if there is one.
func (q *Queue[T]) Due(now clock.Millis) (value T, ok bool) {
	if len(q.items) == 0 || q.items[0].at > now {
		return value, false
	}
	i, ok := heap.Pop(&q.items).(item[T])
	return i.value, ok
}

// Len returns the count of items in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }
