// Package order decides in which order a control host handles what it receives. It is
// designed for the return of hundreds of entry hosts at once, on a host short of
// processor time: their requests must not delay the messages that elect a leader and
// commit entries.
//
// Items of a more urgent class go first, and items of one class in the order of their
// arrival. A later item of a sender replaces one that waits, if the class says so.
package order

import (
	"sync"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Class is the urgency of an item.
type Class uint8

// Classes, the most urgent first.
const (
	// Consensus are messages between control hosts.
	Consensus Class = iota
	// Call are calls of servers and operators.
	Call
	// Fetch are requests of entry hosts. A later one of a sender replaces one that
	// waits, because it asks for the same and more.
	Fetch
	// Classes is the number of classes.
	Classes
)

// String returns the class in lower case.
func (c Class) String() string {
	if c >= Classes {
		return "unknown"
	}
	return [...]string{"consensus", "call", "fetch"}[c]
}

type item[T any] struct {
	value  T
	sender any
	at     clock.Millis
}

// Queue is a bounded queue of items by class. Any goroutine may add items, one takes
// them.
type Queue[T any] struct {
	mu      sync.Mutex
	limits  [Classes]int
	waiting [Classes][]item[T]
	// ready holds a value while items wait.
	ready   chan struct{}
	refused [Classes]uint64
}

// New returns an empty Queue that holds at most limits items of each class.
func New[T any](limits [Classes]int) *Queue[T] {
	return &Queue[T]{limits: limits, ready: make(chan struct{}, 1)}
}

// Offer adds an item and reports whether there was room. Sender identifies the sender
// of a Fetch. It is not used for the other classes.
func (q *Queue[T]) Offer(now clock.Millis, class Class, sender any, value T) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.waiting[class]
	if class == Fetch && sender != nil {
		for i := range list {
			if list[i].sender == sender {
				list[i].value = value
				return true
			}
		}
	}
	if len(list) >= q.limits[class] {
		q.refused[class]++
		return false
	}
	q.waiting[class] = append(list, item[T]{value, sender, now})
	q.signal()
	return true
}

func (q *Queue[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel from which a value can be received while items wait. Each
// receive must be followed by a call of Take.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

// Take removes the next item. It returns its class and how long it has waited, or false
// if there is none.
func (q *Queue[T]) Take(now clock.Millis) (value T, class Class, waited clock.Millis, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for class = range Classes {
		list := q.waiting[class]
		if len(list) == 0 {
			continue
		}
		first := list[0]
		list[0] = item[T]{}
		if q.waiting[class] = list[1:]; len(list) == 1 {
			q.waiting[class] = nil
		}
		if q.depth() > 0 {
			q.signal()
		}
		return first.value, class, now - first.at, true
	}
	return value, 0, 0, false
}

func (q *Queue[T]) depth() int {
	n := 0
	for _, list := range q.waiting {
		n += len(list)
	}
	return n
}

// Depth returns the number of waiting items.
func (q *Queue[T]) Depth() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.depth()
}

// Refused returns the number of items of a class that found no room.
func (q *Queue[T]) Refused(class Class) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.refused[class]
}
