// Package mint derives the tokens by which packets name their backend server.
//
// A token is a hash of the server's ID and start, so each host computes it
// alone and an incarnation that ended never shares the token of its successor.
package mint

import (
	"strconv"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// Token names one incarnation of a server. The zero Token names none.
type Token uint32

// maxSalts bounds the candidates of an incarnation. Two servers that share
// their first candidate both write a later one.
const maxSalts = 4

// Candidate returns the token of an incarnation under a salt.
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

// Book maps tokens to values. Values are told apart by their incarnation.
type Book[T any] struct {
	holders map[Token][]holder[T]
}

type holder[T any] struct {
	of    incarnation
	salt  int
	value T
}

// NewBook returns an empty Book.
func NewBook[T any]() *Book[T] {
	return &Book[T]{holders: map[Token][]holder[T]{}}
}

// Add enters all candidates of an incarnation. Among incarnations with equal
// candidates the one with the lower salt, then the earlier start, is found.
func (b *Book[T]) Add(id string, started clock.Millis, value T) {
	b.Remove(id, started)
	for salt := range maxSalts {
		t := Candidate(id, started, salt)
		b.holders[t] = insert(b.holders[t], holder[T]{incarnation{id, started}, salt, value})
	}
}

func insert[T any](list []holder[T], h holder[T]) []holder[T] {
	at := 0
	for at < len(list) && list[at].before(&h) {
		at++
	}
	list = append(list, h)
	copy(list[at+1:], list[at:])
	list[at] = h
	return list
}

func (h *holder[T]) before(o *holder[T]) bool {
	if h.salt != o.salt {
		return h.salt < o.salt
	}
	if h.of.started != o.of.started {
		return h.of.started < o.of.started
	}
	return h.of.id < o.of.id
}

// Remove takes an incarnation out.
func (b *Book[T]) Remove(id string, started clock.Millis) {
	of := incarnation{id, started}
	for salt := range maxSalts {
		t := Candidate(id, started, salt)
		list := b.holders[t]
		for i := range list {
			if list[i].of == of && list[i].salt == salt {
				list = append(list[:i:i], list[i+1:]...)
				break
			}
		}
		if len(list) == 0 {
			delete(b.holders, t)
		} else {
			b.holders[t] = list
		}
	}
}

// Find returns the value that a token names.
func (b *Book[T]) Find(t Token) (value T, ok bool) {
	list := b.holders[t]
	if len(list) == 0 {
		return value, false
	}
	return list[0].value, true
}

// Write returns the token to write for an incarnation: its first candidate that
// no other known incarnation shares.
func (b *Book[T]) Write(id string, started clock.Millis) Token {
	for salt := range maxSalts {
		t := Candidate(id, started, salt)
		if len(b.holders[t]) <= 1 {
			return t
		}
	}
	return Candidate(id, started, 0)
}
