package routes

import (
	"errors"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// ErrBaseMismatch is returned when a delta is applied to another version than
// its base.
var ErrBaseMismatch = errors.New("delta is based on another version")

// Delta is the difference between two versions of the routing table.
type Delta struct {
	// Base is the version that the delta is applied to. With base 0, the delta
	// holds the whole table.
	Base    uint64 `msgpack:"base"`
	Version uint64 `msgpack:"version"`
	// Removed holds the addresses of the removed routes.
	Removed []netip.AddrPort `msgpack:"removed"`
	// Changed holds the routes that are new or differ.
	Changed []Route `msgpack:"changed"`
	// Services, IdleTimeout and Warmups are always those of the new version.
	Services    []string          `msgpack:"services"`
	IdleTimeout clock.Millis      `msgpack:"idleTimeout"`
	Warmups     map[string]Warmup `msgpack:"warmups,omitempty"`
}

// Diff returns the delta from one table to another. If from is nil, the delta
// holds the whole table.
func Diff(from, to *Table) *Delta {
	d := &Delta{Version: to.Version, Services: to.Services, IdleTimeout: to.IdleTimeout, Warmups: to.Warmups}
	if from == nil {
		d.Changed = to.Routes
		return d
	}
	d.Base = from.Version
	oldIndex := NewIndex(from)
	for i := range to.Routes {
		if r := oldIndex.Find(to.Routes[i].Address); r == nil || !r.equal(&to.Routes[i]) {
			d.Changed = append(d.Changed, to.Routes[i])
		}
	}
	newIndex := NewIndex(to)
	for i := range from.Routes {
		if newIndex.Find(from.Routes[i].Address) == nil {
			d.Removed = append(d.Removed, from.Routes[i].Address)
		}
	}
	return d
}

func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Address == o.Address && r.Timeout == o.Timeout && r.LatencyGoal == o.LatencyGoal &&
		r.Priority == o.Priority && r.Idempotent == o.Idempotent && slices.Equal(r.Targets, o.Targets)
}

// Apply returns the table that d produces from base. Base may be nil if d holds
// the whole table. It returns ErrBaseMismatch if base has another version than
// d needs.
func (d *Delta) Apply(base *Table) (*Table, error) {
	t := &Table{Version: d.Version, Services: d.Services, IdleTimeout: d.IdleTimeout, Warmups: d.Warmups}
	if d.Base == 0 {
		t.Routes = d.Changed
		return t, nil
	}
	if base == nil || base.Version != d.Base {
		return nil, ErrBaseMismatch
	}
	dropped := make(map[netip.AddrPort]bool, len(d.Removed)+len(d.Changed))
	for _, a := range d.Removed {
		dropped[a] = true
	}
	for i := range d.Changed {
		dropped[d.Changed[i].Address] = true
	}
	for i := range base.Routes {
		if !dropped[base.Routes[i].Address] {
			t.Routes = append(t.Routes, base.Routes[i])
		}
	}
	t.Routes = append(t.Routes, d.Changed...)
	return t, nil
}
