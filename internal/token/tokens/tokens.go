// Package tokens derives the tokens that identify the backend server of a
// packet.
//
// A token is a hash of the server's ID and start time. Every host computes it
// without coordination, and a restarted server does not reuse the token of its
// previous incarnation.
package tokens

import (
	"strconv"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// Token identifies one incarnation of a server. The zero Token is invalid.
type Token uint32

// candidateCount is the number of candidate tokens of an incarnation. If the first
// candidates of two servers collide, both use a later one.
const candidateCount = 4

// Candidate returns the token of an incarnation for a salt.
func Candidate(id string, started clock.Millis, salt int) Token {
	h := hash.String(id + "/" + strconv.FormatInt(int64(started), 10) + "/" + strconv.Itoa(salt))
	if t := Token(h); t != 0 {
		return t
	}
	return 1
}

type incarnation struct {
	id      string
	started clock.Millis
}

// Index maps tokens to values of type T, one value for each incarnation.
type Index[T any] struct {
	entries map[Token][]entry[T]
}

type entry[T any] struct {
	incarnation incarnation
	salt        int
	value       T
}

// NewIndex returns an empty Index.
func NewIndex[T any]() *Index[T] {
	return &Index[T]{entries: map[Token][]entry[T]{}}
}

// Add adds a value under all candidate tokens of an incarnation. If several
// incarnations share a token, Find returns the value with the lowest salt, then
// the earliest start, then the smallest ID.
func (x *Index[T]) Add(id string, started clock.Millis, value T) {
	x.Remove(id, started)
	for salt := range candidateCount {
		t := Candidate(id, started, salt)
		x.entries[t] = insert(x.entries[t], entry[T]{incarnation{id, started}, salt, value})
	}
}

func insert[T any](list []entry[T], e entry[T]) []entry[T] {
	i := 0
	for i < len(list) && list[i].less(&e) {
		i++
	}
	list = append(list, e)
	copy(list[i+1:], list[i:])
	list[i] = e
	return list
}

// less reports whether Find prefers e to o.
func (e *entry[T]) less(o *entry[T]) bool {
	if e.salt != o.salt {
		return e.salt < o.salt
	}
	if e.incarnation.started != o.incarnation.started {
		return e.incarnation.started < o.incarnation.started
	}
	return e.incarnation.id < o.incarnation.id
}

// Remove removes all candidate tokens of an incarnation.
func (x *Index[T]) Remove(id string, started clock.Millis) {
	removed := incarnation{id, started}
	for salt := range candidateCount {
		t := Candidate(id, started, salt)
		list := x.entries[t]
		for i := range list {
			if list[i].incarnation == removed && list[i].salt == salt {
				list = append(list[:i:i], list[i+1:]...)
				break
			}
		}
		if len(list) == 0 {
			delete(x.entries, t)
		} else {
			x.entries[t] = list
		}
	}
}

// Find returns the value of the incarnation that a token identifies.
func (x *Index[T]) Find(t Token) (value T, ok bool) {
	list := x.entries[t]
	if len(list) == 0 {
		return value, false
	}
	return list[0].value, true
}

// TokenFor returns the token to put into the packets for an incarnation: its
// first candidate that no other known incarnation shares, or the first one if all
// are shared.
func (x *Index[T]) TokenFor(id string, started clock.Millis) Token {
	for salt := range candidateCount {
		t := Candidate(id, started, salt)
		if len(x.entries[t]) <= 1 {
			return t
		}
	}
	return Candidate(id, started, 0)
}
