// Package tokens derives the tokens that identify the backend server of a
// packet.
//
// A token is a hash of the server's ID and start time. Every host computes it
// without coordination, and a restarted server does not reuse the token of its
// previous incarnation.
package tokens

import (
	"slices"
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
	var buffer [64]byte
	b := append(append(buffer[:0], id...), '/')
	b = append(strconv.AppendInt(b, int64(started), 10), '/')
	h := hash.Bytes(strconv.AppendInt(b, int64(salt), 10))
	if t := Token(h); t != 0 {
		return t
	}
	return 1
}

// Candidates returns all tokens that may identify an incarnation.
func Candidates(id string, started clock.Millis) [candidateCount]Token {
	var out [candidateCount]Token
	for salt := range out {
		out[salt] = Candidate(id, started, salt)
	}
	return out
}

// Later returns the later candidate of two tokens of an incarnation. Hosts use a later one once
// they know that another incarnation has the earlier one, too.
func Later(id string, started clock.Millis, a, b Token) Token {
	candidates := Candidates(id, started)
	for _, t := range slices.Backward(candidates[:]) {
		if t == a || t == b {
			return t
		}
	}
	return a
}

type incarnation struct {
	id      string
	started clock.Millis
}

// Index maps tokens to values of type T, one value for each incarnation.
type Index[T any] struct {
	entries map[Token][]entry[T]
	// shared is the number of tokens of several incarnations.
	shared int
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
	added := entry[T]{incarnation{id, started}, 0, value}
	candidates := Candidates(id, started)
	if x.has(&added.incarnation, candidates[0]) {
		x.Remove(id, started)
	}
	for salt, t := range candidates {
		added.salt = salt
		if x.entries[t] = insert(x.entries[t], added); len(x.entries[t]) == 2 {
			x.shared++
		}
	}
}

// has reports whether an incarnation is in the index, by its first token.
func (x *Index[T]) has(i *incarnation, first Token) bool {
	for n := range x.entries[first] {
		if e := &x.entries[first][n]; e.incarnation == *i && e.salt == 0 {
			return true
		}
	}
	return false
}

// Shared returns the number of tokens of several incarnations. While it is 0, a change
// of one incarnation changes the token of no other.
func (x *Index[T]) Shared() int { return x.shared }

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
				if len(list) == 2 {
					x.shared--
				}
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
