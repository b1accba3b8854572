// Package homes maps keys to the entry hosts that own them. Keys are grouped
// into a fixed number of buckets. The owner of a bucket, called its home, and
// the successor are selected by rendezvous hashing.
package homes

import (
	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// Buckets is the number of buckets. Bucket requires it to be 1<<12.
const Buckets = 4096

// none is the position of a host that does not exist.
const none = -1

// Host is an entry host that may own buckets.
type Host struct {
	Name string
	// Serves is set for a host that may own buckets now.
	Serves bool
	// Leaving is set for a host that hands its buckets over, and may still have
	// the state of their keys.
	Leaving bool
}

// Table holds the owner and the successor of each bucket.
type Table struct {
	hosts []Host
	// owned is the number of buckets by the name of the owner.
	owned map[string]int
	// home, successor and former hold positions in hosts, or none. Former is the
	// owner if leaving hosts are counted as well.
	home      [Buckets]int16
	successor [Buckets]int16
	former    [Buckets]int16
}

// New assigns the buckets to hosts. Every entry host computes the same table from
// equal hosts.
func New(hosts []Host) *Table {
	t := &Table{hosts: hosts, owned: map[string]int{}}
	nameHashes := make([]uint64, len(hosts))
	for i, h := range hosts {
		nameHashes[i] = hash.String(h.Name)
	}
	for b := range Buckets {
		t.assign(b, nameHashes)
		t.owned[t.Home(b)]++
	}
	return t
}

// assign selects the hosts of one bucket. The home has the highest score of the
// serving hosts and the successor the second highest.
func (t *Table) assign(bucket int, nameHashes []uint64) {
	home, successor, former := none, none, none
	var homeScore, successorScore, formerScore uint64
	for i, nameHash := range nameHashes {
		score := hash.Mix(nameHash, uint64(bucket))
		if t.mayHold(i) && (former == none || score > formerScore) {
			former, formerScore = i, score
		}
		if !t.hosts[i].Serves {
			continue
		}
		switch {
		case home == none || score > homeScore:
			successor, successorScore = home, homeScore
			home, homeScore = i, score
		case successor == none || score > successorScore:
			successor, successorScore = i, score
		}
	}
	t.home[bucket], t.successor[bucket], t.former[bucket] = int16(home), int16(successor), int16(former)
}

// mayHold reports whether the host at position i owns buckets or is handing
// them over.
func (t *Table) mayHold(i int) bool { return t.hosts[i].Serves || t.hosts[i].Leaving }

// Bucket returns the bucket of a key's hash, which is its upper 12 bits.
func Bucket(key uint64) int { return int(key >> 52) }

// Home returns the name of the host that owns bucket, or "" if no host serves.
func (t *Table) Home(bucket int) string { return t.name(t.home[bucket]) }

// Successor returns the name of the successor, which owns bucket when its home
// fails or leaves, or "" if there is none.
func (t *Table) Successor(bucket int) string { return t.name(t.successor[bucket]) }

// Former returns the name of the leaving host that owned bucket before, or ""
// if the previous owner is not leaving.
func (t *Table) Former(bucket int) string {
	if i := t.former[bucket]; i >= 0 && t.hosts[i].Leaving {
		return t.hosts[i].Name
	}
	return ""
}

// Share returns the fraction of the buckets that the named host owns.
func (t *Table) Share(name string) float64 { return float64(t.owned[name]) / Buckets }

func (t *Table) name(i int16) string {
	if i < 0 {
		return ""
	}
	return t.hosts[i].Name
}
