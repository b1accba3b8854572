// Package homes maps keys to the entry hosts that own them, by rendezvous
// hashing over a fixed number of buckets.
package homes

import (
	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// Buckets is the number of groups of keys.
const Buckets = 4096

// none marks a bucket without a host.
const none = -1

// Host is a candidate for homes.
type Host struct {
	Name string
	// Serves is set for a host that may own buckets.
	Serves bool
	// Leaving is set for a host that may still hold what it owned before.
	Leaving bool
}

// Table holds the owner and the successor of each bucket.
type Table struct {
	hosts  []Host
	owned  map[string]int
	home   [Buckets]int16
	next   [Buckets]int16
	former [Buckets]int16
}

// New returns the table over hosts, which all hosts of equal view compute
// alike.
func New(hosts []Host) *Table {
	t := &Table{hosts: hosts, owned: map[string]int{}}
	seeds := make([]uint64, len(hosts))
	for i, h := range hosts {
		seeds[i] = hash.String(h.Name)
	}
	for b := range Buckets {
		t.rank(b, seeds)
		t.owned[t.Home(b)]++
	}
	return t
}

func (t *Table) rank(bucket int, seeds []uint64) {
	home, next, top := none, none, none
	var homeScore, nextScore, topScore uint64
	for i, seed := range seeds {
		score := hash.Mix(seed, uint64(bucket))
		if t.counts(i) && (top == none || score > topScore) {
			top, topScore = i, score
		}
		if !t.hosts[i].Serves {
			continue
		}
		switch {
		case home == none || score > homeScore:
			next, nextScore = home, homeScore
			home, homeScore = i, score
		case next == none || score > nextScore:
			next, nextScore = i, score
		}
	}
	t.home[bucket], t.next[bucket], t.former[bucket] = int16(home), int16(next), int16(top)
}

// counts reports whether the host at position i owns buckets or did so lately.
func (t *Table) counts(i int) bool { return t.hosts[i].Serves || t.hosts[i].Leaving }

// Bucket returns the bucket of a key's hash.
func Bucket(key uint64) int { return int(key >> 52) }

// Home returns the name of the host that owns bucket, or "".
func (t *Table) Home(bucket int) string { return t.name(t.home[bucket]) }

// Next returns the name of the host that owns bucket once its home is gone,
// or "".
func (t *Table) Next(bucket int) string { return t.name(t.next[bucket]) }

// Former returns the name of the leaving host that owned bucket before, or "".
func (t *Table) Former(bucket int) string {
	if i := t.former[bucket]; i >= 0 && t.hosts[i].Leaving {
		return t.hosts[i].Name
	}
	return ""
}

// Share returns the part of the buckets that the named host owns.
func (t *Table) Share(name string) float64 { return float64(t.owned[name]) / Buckets }

func (t *Table) name(i int16) string {
	if i < 0 {
		return ""
	}
	return t.hosts[i].Name
}
