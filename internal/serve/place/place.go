// Package place computes the default server of a flow without state: a table
// of fixed size, filled in turn by weighted servers after the Maglev paper,
// which all hosts of equal roster compute alike.
package place

import (
	"slices"
	"strings"

	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// Backend is a server with its weight. Weights count in relation to each other.
type Backend struct {
	Name   string
	Weight uint32
}

// Table maps hashes to backends.
type Table struct {
	backends []Backend
	slots    []uint16
	total    uint64
}

// New returns the table over backends with the given prime number of buckets.
// Backends of no weight get no bucket.
func New(buckets int, backends []Backend) *Table {
	t := &Table{backends: slices.Clone(backends)}
	slices.SortFunc(t.backends, func(a, b Backend) int { return strings.Compare(a.Name, b.Name) })
	t.backends = slices.DeleteFunc(t.backends, func(b Backend) bool { return b.Weight == 0 })
	for _, b := range t.backends {
		t.total += uint64(b.Weight)
	}
	if len(t.backends) > 0 {
		t.fill(uint64(buckets))
	}
	return t
}

// cursor walks the buckets in the order that one backend prefers.
type cursor struct {
	at     uint64
	skip   uint64
	credit uint64
}

func (t *Table) fill(buckets uint64) {
	cursors := make([]cursor, len(t.backends))
	var heaviest uint64
	for i, b := range t.backends {
		h := hash.String(b.Name)
		cursors[i] = cursor{at: h % buckets, skip: hash.Mix(h, 1)%(buckets-1) + 1}
		heaviest = max(heaviest, uint64(b.Weight))
	}
	const free = ^uint16(0)
	t.slots = slices.Repeat([]uint16{free}, int(buckets))
	for filled := uint64(0); ; {
		for i := range cursors {
			c := &cursors[i]
			c.credit += uint64(t.backends[i].Weight)
			if c.credit < heaviest {
				continue
			}
			c.credit -= heaviest
			for t.slots[c.at] != free {
				c.at = (c.at + c.skip) % buckets
			}
			t.slots[c.at] = uint16(i)
			if filled++; filled == buckets {
				return
			}
		}
	}
}

// Len returns the number of backends with weight.
func (t *Table) Len() int { return len(t.backends) }

// Default returns the name of the backend for a key's hash, or "".
func (t *Table) Default(key uint64) string {
	if i := t.Index(key); i >= 0 {
		return t.backends[i].Name
	}
	return ""
}

// Backends returns the backends with weight, sorted by name.
func (t *Table) Backends() []Backend { return t.backends }

// Index returns the position in Backends of the default for a key's hash, or
// -1 when there is no backend.
func (t *Table) Index(key uint64) int {
	if len(t.slots) == 0 {
		return -1
	}
	return int(t.slots[key%uint64(len(t.slots))])
}

// Choice returns the position of the n-th choice for a key's hash, or -1.
// Choice 0 is the default; later ones may repeat a backend.
func (t *Table) Choice(key uint64, n int) int {
	if n == 0 {
		return t.Index(key)
	}
	return t.Index(hash.Mix(key, uint64(n)))
}

// Share returns the part of all weight that the backend at position i has.
func (t *Table) Share(i int) float64 {
	return float64(t.backends[i].Weight) / float64(t.total)
}
