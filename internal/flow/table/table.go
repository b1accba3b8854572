// Package table holds the flow records of an entry host in a compact hash
// table whose records carry no pointers.
package table

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// State is how far a flow has come.
type State uint8

// Flow states.
const (
	// Opening flows have sent a SYN and no later segment.
	Opening State = iota
	Open
	// Closing flows have seen a FIN or RST from the caller.
	Closing
)

// Flag marks a property of a record.
type Flag uint8

// Flags.
const (
	// Exception marks a flow that sits where the default would not put it.
	Exception Flag = 1 << iota
	// Replica marks a record held for another host, its home.
	Replica
	// Adopted marks a flow that was placed by default in mid-flow.
	Adopted
)

// ID is the number that Names gives to a name. Zero is no name.
type ID uint32

// Record is one flow.
type Record struct {
	Key     inner.Key
	hash    uint64
	Seen    clock.Millis
	Service ID
	Server  ID
	// Holder is the host that last took a copy of the record, at Copied.
	Holder ID
	Copied clock.Millis
	// Origin is the fabric endpoint through which the caller is reached.
	Origin  ID
	Version uint32
	// ISN is the initial sequence number of the caller.
	ISN uint32
	// Seq is what the caller sends next, Ack what it expects next.
	Seq   uint32
	Ack   uint32
	State State
	Flags Flag
	// Repeats counts segments in a row that said nothing new.
	Repeats uint8
	// Probes counts probes to the caller since it was last heard.
	Probes uint8
}

// Hash returns the hash of the record's key.
func (r *Record) Hash() uint64 { return r.hash }

// Has reports whether all of the flags are set.
func (r *Record) Has(f Flag) bool { return r.Flags&f == f }

// Names gives small numbers to names.
type Names struct {
	ids   map[string]ID
	names []string
}

// NewNames returns an empty Names.
func NewNames() *Names { return &Names{ids: map[string]ID{"": 0}, names: []string{""}} }

// ID returns the number of name, giving one on first use.
func (n *Names) ID(name string) ID {
	if id, ok := n.ids[name]; ok {
		return id
	}
	id := ID(len(n.names))
	n.names = append(n.names, name)
	n.ids[name] = id
	return id
}

// Name returns the name that id stands for.
func (n *Names) Name(id ID) string { return n.names[id] }

const (
	chunkBits = 12
	chunkSize = 1 << chunkBits
	minIndex  = 1 << 10
)

// Table is a hash table of records. Pointers to records stay valid until the
// record is removed. It is not safe for concurrent use.
type Table struct {
	// index holds slot numbers plus one, found by linear probing.
	index  []uint32
	chunks []*[chunkSize]Record
	free   []uint32
	used   uint32
	count  int
	cursor uint32
}

// New returns an empty Table.
func New() *Table { return &Table{index: make([]uint32, minIndex)} }

// Len returns the count of records.
func (t *Table) Len() int { return t.count }

func (t *Table) at(slot uint32) *Record { return &t.chunks[slot>>chunkBits][slot&(chunkSize-1)] }

// Find returns the record of key, whose hash is given, or nil.
func (t *Table) Find(key *inner.Key, hash uint64) *Record {
	mask := uint64(len(t.index) - 1)
	for i := hash & mask; t.index[i] != 0; i = (i + 1) & mask {
		if r := t.at(t.index[i] - 1); r.hash == hash && r.Key == *key {
			return r
		}
	}
	return nil
}

// Insert returns a new record for key, which must not be in the table.
func (t *Table) Insert(key *inner.Key, hash uint64) *Record {
	if 4*(t.count+1) > 3*len(t.index) {
		t.grow()
	}
	slot := t.allocate()
	r := t.at(slot)
	*r = Record{Key: *key, hash: hash}
	t.link(hash, slot)
	t.count++
	return r
}

func (t *Table) allocate() uint32 {
	if n := len(t.free); n > 0 {
		slot := t.free[n-1]
		t.free = t.free[:n-1]
		return slot
	}
	if t.used == uint32(len(t.chunks))<<chunkBits {
		t.chunks = append(t.chunks, new([chunkSize]Record))
	}
	t.used++
	return t.used - 1
}

func (t *Table) link(hash uint64, slot uint32) {
	mask := uint64(len(t.index) - 1)
	i := hash & mask
	for t.index[i] != 0 {
		i = (i + 1) & mask
	}
	t.index[i] = slot + 1
}

func (t *Table) grow() {
	old := t.index
	t.index = make([]uint32, 2*len(old))
	for _, s := range old {
		if s != 0 {
			t.link(t.at(s-1).hash, s-1)
		}
	}
}

// Remove deletes r, which must be in the table.
func (t *Table) Remove(r *Record) {
	mask := uint64(len(t.index) - 1)
	i := r.hash & mask
	for t.at(t.index[i]-1) != r {
		i = (i + 1) & mask
	}
	t.free = append(t.free, t.index[i]-1)
	*r = Record{}
	t.count--
	t.unlink(i, mask)
}

// unlink empties index position i and moves back the entries that were pushed
// behind it.
func (t *Table) unlink(i, mask uint64) {
	for j := (i + 1) & mask; t.index[j] != 0; j = (j + 1) & mask {
		ideal := t.at(t.index[j]-1).hash & mask
		if (j-ideal)&mask >= (j-i)&mask {
			t.index[i] = t.index[j]
			i = j
		}
	}
	t.index[i] = 0
}

// Sweep visits the next n slots in turn and calls visit for each record among
// them. Visit may remove the record it was given. Sweep reports whether the
// end of the table was reached, after which it starts over.
func (t *Table) Sweep(n int, visit func(*Record)) (wrapped bool) {
	for range n {
		if t.cursor >= t.used {
			t.cursor = 0
			return true
		}
		r := t.at(t.cursor)
		t.cursor++
		if r.Key.Proto() != 0 {
			visit(r)
		}
	}
	return false
}

// Rewind makes the next Sweep start at the beginning.
func (t *Table) Rewind() { t.cursor = 0 }

// Clear removes all records.
func (t *Table) Clear() { *t = *New() }
