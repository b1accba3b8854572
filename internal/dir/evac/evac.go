// Package evac holds which data centres are evacuated. Operators take a data centre out
// of service and put it back with orders, which the control hosts replicate in their log.
//
// It is designed for callers that repeat an order when its answer was lost, to any
// control host, and for hosts that receive such a repeat late. A repeat must be
// acknowledged again, and must not undo a newer order. There is no ID to tell a repeat
// from a new order, so each order names the last one that its receiver knew.
//
// The package does no I/O. The caller passes in the time and the committed entries.
package evac

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// MaxName is the longest name of a data centre, in bytes.
const MaxName = 255

// ErrInvalid is returned for an order or a snapshot that cannot be applied.
var ErrInvalid = errors.New("invalid evacuation")

// Order starts or ends the evacuation of a data centre.
type Order struct {
	Centre string `msgpack:"centre"`
	Start  bool   `msgpack:"start"`
	// Base is the log index of the last order that the receiving control host knew when
	// the call came in.
	Base uint64 `msgpack:"base"`
}

// entry is a log entry that holds an order.
type entry struct {
	Evacuation Order `msgpack:"evacuation"`
}

// entryPrefix is the start of an encoded entry: a map of one element, and its key.
const entryPrefix = "\x81\xaaevacuation"

// IsEntry reports whether a log entry holds an order, without decoding it.
func IsEntry(data []byte) bool {
	return len(data) >= len(entryPrefix) && string(data[:len(entryPrefix)]) == entryPrefix
}

// EncodeEntry returns the log entry that holds an order.
func EncodeEntry(o *Order) []byte { return encode(&entry{*o}) }

// DecodeEntry returns the order in a log entry. The error wraps ErrInvalid or is that of
// the decoder.
func DecodeEntry(data []byte) (*Order, error) {
	var e entry
	if err := msgs.Unmarshal(data, &e); err != nil {
		return nil, err
	}
	return &e.Evacuation, checkName(e.Evacuation.Centre)
}

func checkName(centre string) error {
	if centre == "" || len(centre) > MaxName {
		return fmt.Errorf("%w: name of the data centre has %d bytes", ErrInvalid, len(centre))
	}
	return nil
}

// encode returns the encoded form of a value that msgpack can encode.
func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// record is the replicated state of one data centre: the log indexes of the last applied
// start and end, and of the last order that changed whether it is evacuated.
type record struct {
	Centre  string `msgpack:"centre"`
	Start   uint64 `msgpack:"start"`
	End     uint64 `msgpack:"end"`
	Changed uint64 `msgpack:"changed"`
}

func (r *record) active() bool { return r.Start > r.End }

// centre is a record with what this host knows of its times. They are not replicated,
// because the clocks of hosts differ.
type centre struct {
	record
	// changedAt and endedAt are when this host learned of the last change and of the last
	// end.
	changedAt, endedAt clock.Millis
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	centres map[string]*centre
	// base is the log index of the last applied order, and version that of the last one
	// that changed whether a data centre is evacuated.
	base, version uint64
}

// New returns a State without evacuations.
func New() *State { return &State{centres: map[string]*centre{}} }

// Clone returns a copy.
func (s *State) Clone() *State {
	out := &State{centres: map[string]*centre{}, base: s.base, version: s.version}
	for name, c := range s.centres {
		copied := *c
		out.centres[name] = &copied
	}
	return out
}

// Base returns the log index of the last applied order, or 0.
func (s *State) Base() uint64 { return s.base }

// Version returns the log index of the last order that changed whether a data centre is
// evacuated, or 0.
func (s *State) Version() uint64 { return s.version }

// Known reports whether there was ever an order for a data centre.
func (s *State) Known(name string) bool { return s.centres[name] != nil }

// Active reports whether a data centre is evacuated.
func (s *State) Active(name string) bool {
	c := s.centres[name]
	return c != nil && c.active()
}

// Evacuated returns the number of evacuated data centres.
func (s *State) Evacuated() int {
	n := 0
	for _, c := range s.centres {
		if c.active() {
			n++
		}
	}
	return n
}

// Apply applies the order in the committed log entry at index. It reports false if the
// order has no effect because an opposite one has been applied after its base. An entry
// at or before Base was applied before and changes nothing.
func (s *State) Apply(now clock.Millis, index uint64, o *Order) bool {
	c := s.centres[o.Centre]
	if index <= s.base {
		return true
	}
	if c == nil {
		c = &centre{record: record{Centre: o.Centre}}
	}
	opposite := c.Start
	if o.Start {
		opposite = c.End
	}
	if opposite > o.Base {
		return false
	}
	s.centres[o.Centre] = c
	s.base = index
	before := c.active()
	if o.Start {
		c.Start = index
	} else {
		c.End, c.endedAt = index, now
	}
	if c.active() != before {
		c.Changed, c.changedAt, s.version = index, now, index
	}
	return true
}

// MayBeRepeat reports whether an order to end an evacuation may be the repeat of an
// earlier one that a start has followed. A caller repeats an order for at most window.
// The caller of this method must refuse such an order until that time is over: to obey
// a repeat would send work to servers that the operator believes to be empty. A start
// that is obeyed once too often costs only capacity.
func (s *State) MayBeRepeat(now clock.Millis, name string, window clock.Millis) bool {
	c := s.centres[name]
	return c != nil && c.End > 0 && c.active() && now-c.endedAt < window
}

// Resume tells the State that the process was suspended from a time until now. Calls
// that arrived meanwhile are handled after it, so an order that was repeated then may
// seem to arrive after the window.
func (s *State) Resume(from, now, window clock.Millis) {
	for _, c := range s.centres {
		if c.End > 0 && from-c.endedAt < window {
			c.endedAt = now
		}
	}
}

// List returns the state of the data centres that were ever evacuated, sorted by name,
// with the time since this host learned of the last change.
func (s *State) List(now clock.Millis) []msgs.Evacuation {
	var out []msgs.Evacuation
	for _, c := range s.sorted() {
		if c.Changed > 0 {
			out = append(out, msgs.Evacuation{Centre: c.Centre, Active: c.active(), Age: now - c.changedAt, Changed: c.Changed})
		}
	}
	return out
}

func (s *State) sorted() []*centre {
	out := make([]*centre, 0, len(s.centres))
	for _, c := range s.centres {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *centre) int { return cmp.Compare(a.Centre, b.Centre) })
	return out
}

// Encode returns the replicated state for a snapshot, or nil if there was never an order.
func (s *State) Encode() []byte {
	if s.base == 0 {
		return nil
	}
	var records []record
	for _, c := range s.sorted() {
		records = append(records, c.record)
	}
	return encode(records)
}

// Restore replaces the state by an encoded one if that is newer. The times of what it
// changes are not known, so they are set to now: a data centre counts as changed for
// longer, and a repeat of an order is refused for longer.
func (s *State) Restore(now clock.Millis, encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	var records []record
	if err := msgs.Unmarshal(encoded, &records); err != nil {
		return err
	}
	next := New()
	for _, r := range records {
		if err := checkName(r.Centre); err != nil {
			return err
		}
		c := &centre{record: r, changedAt: now, endedAt: now}
		if old := s.centres[r.Centre]; old != nil && old.Changed == r.Changed {
			c.changedAt = old.changedAt
		}
		if old := s.centres[r.Centre]; old != nil && old.End == r.End {
			c.endedAt = old.endedAt
		}
		next.centres[r.Centre] = c
		next.base, next.version = max(next.base, r.Start, r.End), max(next.version, r.Changed)
	}
	if next.base > s.base {
		*s = *next
	}
	return nil
}
