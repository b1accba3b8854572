package ledger

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// RefusedTries is the set of tries that were answered as not run, so that a
// duplicated packet of such a try does not run later. Clients number the tries
// of a request (an Attempt is a transmission to a server), and begin a new try
// after such an answer. The set stores only hashes. It drops a try at the second
// rotation after the try was added; it rotates on Add and Has, at most once per
// rotation interval. It is not safe for concurrent use.
type RefusedTries struct {
	// rotationInterval is the time after which the previous generation is dropped.
	rotationInterval clock.Millis
	// capacity is the maximum number of tries in a generation.
	capacity  int
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
	rotatedAt clock.Millis
}

// NewRefusedTries returns a RefusedTries that holds at most twice capacity tries.
func NewRefusedTries(rotationInterval clock.Millis, capacity int) *RefusedTries {
	return &RefusedTries{rotationInterval: rotationInterval, capacity: capacity, current: map[uint64]struct{}{}, previous: map[uint64]struct{}{}}
}

func tryHash(key uint64, try uint32) uint64 { return hash.Mix(key, uint64(try)) }

// Add adds a try of the request whose key has the given hash. It returns false
// if the set is full; then the try must not be answered as not run.
func (r *RefusedTries) Add(now clock.Millis, key uint64, try uint32) bool {
	r.rotate(now)
	if len(r.current) >= r.capacity {
		return false
	}
	r.current[tryHash(key, try)] = struct{}{}
	return true
}

// Has reports whether the try is in the set.
func (r *RefusedTries) Has(now clock.Millis, key uint64, try uint32) bool {
	r.rotate(now)
	h := tryHash(key, try)
	_, inCurrent := r.current[h]
	_, inPrevious := r.previous[h]
	return inCurrent || inPrevious
}

// Len returns the number of tries in the set.
func (r *RefusedTries) Len() int { return len(r.current) + len(r.previous) }

// rotate drops the previous generation and begins a new one if rotationInterval
// has passed since the last rotation.
func (r *RefusedTries) rotate(now clock.Millis) {
	if now-r.rotatedAt < r.rotationInterval {
		return
	}
	r.rotatedAt = now
	r.previous, r.current = r.current, map[uint64]struct{}{}
}
