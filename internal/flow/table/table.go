// Package table provides the hash table of an entry host's flow records.
// Records contain no pointers, so that the garbage collector does not scan
// them.
package table

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// State is the state of a flow, as seen from the packets of the client.
type State uint8

// Flow states.
const (
	// Opening means that the client has sent a SYN and no later segment.
	Opening State = iota
	Open
	// Closing means that the client has sent a FIN or RST.
	Closing
)

// Flag is a set of properties of a record.
type Flag uint8

// Flags.
const (
	// Exception marks a flow for which a host without the record would select
	// another server.
	Exception Flag = 1 << iota
	// Replica marks a record that was replicated from another host, the flow's home.
	Replica
	// Adopted marks a flow whose record was created from a packet other than the
	// first, because this host had no record of it. Its server was selected by the
	// default placement.
	Adopted
)

// NameID is the number of an interned name. Zero is the empty name.
type NameID uint32

// Record is one flow.
type Record struct {
	Key  inner.Key
	hash uint64
	// LastSeen is when the latest packet of the client, or a replica of the
	// record, arrived.
	LastSeen clock.Millis
	Service  NameID
	Server   NameID
	// Address is the address of the server when the flow was opened, or zero if it is not
	// known yet.
	Address NameID
	// ReplicatedTo is the host to which the record was last replicated.
	ReplicatedTo NameID
	// ReplicatedAt is when the record was last replicated.
	ReplicatedAt clock.Millis
	// Origin is the fabric endpoint through which the client is reached.
	Origin NameID
	// Version is the version of the bundle by which the server was selected.
	Version uint32
	// ISN is the initial sequence number of the client.
	ISN uint32
	// Seq is the next sequence number that the client sends, and Ack the next
	// one that it expects to receive.
	Seq   uint32
	Ack   uint32
	State State
	Flags Flag
	// Retransmits counts consecutive retransmissions by the client without an
	// answer: data segments with the same Seq and Ack.
	Retransmits uint8
	// Probes counts the probes to the client since its latest packet.
	Probes uint8
	// StalledSince is when the first of Retransmits arrived.
	StalledSince clock.Millis
}

// Hash returns the hash of the record's key.
func (r *Record) Hash() uint64 { return r.hash }

// Has reports whether all of the flags are set.
func (r *Record) Has(f Flag) bool { return r.Flags&f == f }

// Interner maps names to small numeric IDs and back, so that records can refer to
// names without pointers.
type Interner struct {
	ids   map[string]NameID
	names []string
}

// NewInterner returns an Interner that contains only the empty name.
func NewInterner() *Interner { return &Interner{ids: map[string]NameID{"": 0}, names: []string{""}} }

// ID returns the ID of name, and assigns the next free one on first use.
func (i *Interner) ID(name string) NameID {
	if id, ok := i.ids[name]; ok {
		return id
	}
	id := NameID(len(i.names))
	i.names = append(i.names, name)
	i.ids[name] = id
	return id
}

// Name returns the name with the number id.
func (i *Interner) Name(id NameID) string { return i.names[id] }

const (
	chunkBits = 12
	// chunkSize is the number of records that are allocated together.
	chunkSize    = 1 << chunkBits
	minIndexSize = 1 << 10
)

// Table is a hash table of records. Pointers to records stay valid until the
// record is removed. It is not safe for concurrent use.
type Table struct {
	// index is an open-addressing hash table with linear probing. An entry is
	// the slot number of a record plus one, or zero if it is empty.
	index  []uint32
	chunks []*[chunkSize]Record
	// free holds the slots of removed records.
	free []uint32
	// slots is the number of slots that have ever been allocated.
	slots uint32
	// count is the number of records.
	count int
	// nextSweep is the slot that Sweep visits next.
	nextSweep uint32
}

// New returns an empty Table.
func New() *Table { return &Table{index: make([]uint32, minIndexSize)} }

// Len returns the number of records.
func (t *Table) Len() int { return t.count }

func (t *Table) at(slot uint32) *Record { return &t.chunks[slot>>chunkBits][slot&(chunkSize-1)] }

// Find returns the record of key, or nil. Hash must be the hash of key.
func (t *Table) Find(key *inner.Key, hash uint64) *Record {
	mask := uint64(len(t.index) - 1)
	for i := hash & mask; t.index[i] != 0; i = (i + 1) & mask {
		if r := t.at(t.index[i] - 1); r.hash == hash && r.Key == *key {
			return r
		}
	}
	return nil
}

// Insert adds a record for key, which must not be in the table, and returns it.
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

// allocate returns a free slot.
func (t *Table) allocate() uint32 {
	if n := len(t.free); n > 0 {
		slot := t.free[n-1]
		t.free = t.free[:n-1]
		return slot
	}
	if t.slots == uint32(len(t.chunks))<<chunkBits {
		t.chunks = append(t.chunks, new([chunkSize]Record))
	}
	t.slots++
	return t.slots - 1
}

// link adds a slot to the index.
func (t *Table) link(hash uint64, slot uint32) {
	mask := uint64(len(t.index) - 1)
	i := hash & mask
	for t.index[i] != 0 {
		i = (i + 1) & mask
	}
	t.index[i] = slot + 1
}

// grow doubles the size of the index.
func (t *Table) grow() {
	old := t.index
	t.index = make([]uint32, 2*len(old))
	for _, entry := range old {
		if entry != 0 {
			t.link(t.at(entry-1).hash, entry-1)
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

// unlink empties index position i. It moves later entries of the same probe
// sequence back, because an empty position ends a search.
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

// Sweep goes through the next n slots and calls visit for each record among
// them. Visit may remove that record. Sweep returns early at the end of the
// table and reports true. The next call then starts at the beginning.
func (t *Table) Sweep(n int, visit func(*Record)) (wrapped bool) {
	for range n {
		if t.nextSweep >= t.slots {
			t.nextSweep = 0
			return true
		}
		r := t.at(t.nextSweep)
		t.nextSweep++
		// The record in a free slot is zeroed.
		if r.Key.Proto() != 0 {
			visit(r)
		}
	}
	return false
}

// Rewind makes the next Sweep start at the beginning.
func (t *Table) Rewind() { t.nextSweep = 0 }

// Clear removes all records.
func (t *Table) Clear() { *t = *New() }
