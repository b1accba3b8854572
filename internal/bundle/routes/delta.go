package routes

import (
	"errors"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// ErrBase is returned when a delta does not follow the table that it is applied
// to.
var ErrBase = errors.New("delta follows another version")

// Delta is what a version changes against another one.
type Delta struct {
	// Base is the version that the delta is applied to. A delta against version 0
	// holds the whole table.
	Base    uint64           `msgpack:"base"`
	Version uint64           `msgpack:"version"`
	Removed []netip.AddrPort `msgpack:"removed"`
	// Changed are the routes that are new or differ.
	Changed     []Route      `msgpack:"changed"`
	Services    []string     `msgpack:"services"`
	IdleTimeout clock.Millis `msgpack:"idleTimeout"`
}

// Diff returns what leads from one table to another. From may be nil.
func Diff(from, to *Table) *Delta {
	d := &Delta{Version: to.Version, Services: to.Services, IdleTimeout: to.IdleTimeout}
	if from == nil {
		d.Changed = to.Routes
		return d
	}
	d.Base = from.Version
	old := NewIndex(from)
	for i := range to.Routes {
		if r := old.Find(to.Routes[i].Address); r == nil || !r.equal(&to.Routes[i]) {
			d.Changed = append(d.Changed, to.Routes[i])
		}
	}
	kept := NewIndex(to)
	for i := range from.Routes {
		if kept.Find(from.Routes[i].Address) == nil {
			d.Removed = append(d.Removed, from.Routes[i].Address)
		}
	}
	return d
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Address == o.Address && r.Timeout == o.Timeout && r.Goal == o.Goal &&
		r.Priority == o.Priority && r.Repeatable == o.Repeatable && slices.Equal(r.Targets, o.Targets)
}

// Apply returns the table that d leads to from base, which may be nil for a
// whole table.
func (d *Delta) Apply(base *Table) (*Table, error) {
	t := &Table{Version: d.Version, Services: d.Services, IdleTimeout: d.IdleTimeout}
	if d.Base == 0 {
		t.Routes = d.Changed
		return t, nil
	}
	if base == nil || base.Version != d.Base {
		return nil, ErrBase
	}
	gone := make(map[netip.AddrPort]bool, len(d.Removed)+len(d.Changed))
	for _, a := range d.Removed {
		gone[a] = true
	}
	for i := range d.Changed {
		gone[d.Changed[i].Address] = true
	}
	for i := range base.Routes {
		if !gone[base.Routes[i].Address] {
			t.Routes = append(t.Routes, base.Routes[i])
		}
	}
	t.Routes = append(t.Routes, d.Changed...)
	return t, nil
}
