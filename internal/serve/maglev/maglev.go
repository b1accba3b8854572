// Package maglev selects the default server of a flow by weighted Maglev
// consistent hashing. All hosts with the same list of servers compute the same
// lookup table.
package maglev

import (
	"slices"
	"strings"

	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// Backend is a server with its weight relative to the other servers.
type Backend struct {
	Name   string
	Weight uint32
}

// Table maps hashes to backends.
type Table struct {
	backends []Backend
	// lookup holds the position in backends of the server of each bucket.
	lookup      []uint16
	totalWeight uint64
}

// New returns the table of backends with the given number of buckets, which
// must be prime. Backends with weight zero get no bucket.
func New(buckets int, backends []Backend) *Table {
	t := &Table{backends: slices.Clone(backends)}
	slices.SortFunc(t.backends, func(a, b Backend) int { return strings.Compare(a.Name, b.Name) })
	t.backends = slices.DeleteFunc(t.backends, func(b Backend) bool { return b.Weight == 0 })
	for _, b := range t.backends {
		t.totalWeight += uint64(b.Weight)
	}
	if len(t.backends) > 0 {
		t.fill(uint64(buckets))
	}
	return t
}

// preference iterates over the permutation of the buckets that is the
// preference list of one backend in Maglev hashing.
type preference struct {
	bucket uint64
	skip   uint64
	// credit grows by the backend's weight in each round. A bucket costs the
	// largest weight of all backends.
	credit uint64
}

// fill lets the backends take their next preferred free bucket in turn, until
// all buckets are taken.
func (t *Table) fill(buckets uint64) {
	preferences := make([]preference, len(t.backends))
	var maxWeight uint64
	for i, b := range t.backends {
		h := hash.String(b.Name)
		preferences[i] = preference{bucket: h % buckets, skip: hash.Mix(h, 1)%(buckets-1) + 1}
		maxWeight = max(maxWeight, uint64(b.Weight))
	}
	// free marks a bucket without a backend. It limits a table to 65535 backends.
	const free = ^uint16(0)
	t.lookup = slices.Repeat([]uint16{free}, int(buckets))
	for filled := uint64(0); ; {
		for i := range preferences {
			p := &preferences[i]
			p.credit += uint64(t.backends[i].Weight)
			if p.credit < maxWeight {
				continue
			}
			p.credit -= maxWeight
			for t.lookup[p.bucket] != free {
				p.bucket = (p.bucket + p.skip) % buckets
			}
			t.lookup[p.bucket] = uint16(i)
			if filled++; filled == buckets {
				return
			}
		}
	}
}

// Len returns the number of backends with a weight above zero.
func (t *Table) Len() int { return len(t.backends) }

// Default returns the name of the default backend for a key's hash, or "" if
// there is no backend.
func (t *Table) Default(key uint64) string {
	if i := t.Index(key); i >= 0 {
		return t.backends[i].Name
	}
	return ""
}

// Backends returns the backends with a weight above zero, sorted by name.
func (t *Table) Backends() []Backend { return t.backends }

// Index returns the position in Backends of the default backend for a key's
// hash, or -1 if there is no backend.
func (t *Table) Index(key uint64) int {
	if len(t.lookup) == 0 {
		return -1
	}
	return int(t.lookup[key%uint64(len(t.lookup))])
}

// Candidate returns the position in Backends of the n-th candidate for a key's
// hash, or -1 if there is no backend. Candidate 0 is the default. One backend can
// be several candidates of a key.
func (t *Table) Candidate(key uint64, n int) int {
	if n == 0 {
		return t.Index(key)
	}
	return t.Index(hash.Mix(key, uint64(n)))
}

// Share returns the weight of the backend at position i as a fraction of the
// total weight.
func (t *Table) Share(i int) float64 {
	return float64(t.backends[i].Weight) / float64(t.totalWeight)
}
