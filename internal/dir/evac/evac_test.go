package evac_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
)

// TestOrdersFollowTheLog guards against an order that undoes a newer one, a repeat that
// is refused for good, and a replay that changes the state.
func TestOrdersFollowTheLog(t *testing.T) {
	s := evac.New()
	for i, step := range []struct {
		index, base uint64
		start       bool
		applied     bool
		active      bool
		version     uint64
	}{
		{index: 3, base: 0, start: false, applied: true, active: false, version: 0},
		{index: 5, base: 3, start: true, applied: true, active: true, version: 5},
		{index: 6, base: 3, start: true, applied: true, active: true, version: 5},
		{index: 7, base: 5, start: false, applied: false, active: true, version: 5},
		{index: 8, base: 6, start: false, applied: true, active: false, version: 8},
		{index: 5, base: 3, start: true, applied: true, active: false, version: 8},
		{index: 9, base: 6, start: true, applied: false, active: false, version: 8},
	} {
		applied := s.Apply(clock.Millis(100*i), step.index, &evac.Order{Centre: "a", Start: step.start, Base: step.base})
		qt.Check(t, []any{applied, s.Active("a"), s.Version()}, qt.DeepEquals, []any{step.applied, step.active, step.version}, qt.Commentf("step %d", i))
	}
}

// TestShortages guards against a warning without cause and a missing one.
func TestShortages(t *testing.T) {
	servers := []evac.Server{
		{Centre: "a", Service: "x", Slots: 2, InFlight: 1.5},
		{Centre: "b", Service: "x", Slots: 2, InFlight: 1},
		{Centre: "a", Service: "y", Slots: 2},
		{Centre: "a", Service: "z", Slots: 1},
		{Centre: "b", Service: "z", Slots: 1, InFlight: 1},
		{Centre: "b", Service: "w", Slots: 1, InFlight: 3},
	}
	short := evac.Shortages(servers, func(centre string) bool { return centre == "a" })
	qt.Check(t, short, qt.DeepEquals, []evac.Shortage{{Service: "x", InFlight: 2.5, Slots: 2}, {Service: "y"}})
}

// FuzzLog guards against an entry or a snapshot of a faulty or another build that ends the
// process, and checks that a state is the same after a snapshot.
func FuzzLog(f *testing.F) {
	f.Add(evac.EncodeEntry(&evac.Order{Centre: "a", Start: true}), evac.EncodeEntry(&evac.Order{Centre: "a", Base: 10}))
	f.Add([]byte("\x81\xaaevacuation\xc0"), []byte("\x81\xaaevacuation\x81\xa5start\xc3"))
	f.Add([]byte("\xdd0\xda\x9dXHze"), []byte{})
	f.Add([]byte("\x91\x84\xa6centre\xa1a\xa5start\x05\xa3end\x04\xa7changed\x05"), []byte{0x91, 0xc0})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := evac.New()
		_ = s.Restore(1, first)
		for i, data := range [][]byte{first, second} {
			o, err := evac.DecodeEntry(data)
			if !evac.IsEntry(data) || err != nil {
				continue
			}
			s.Apply(2, s.Base()+uint64(i)+1, o)
			qt.Assert(t, evac.IsEntry(evac.EncodeEntry(o)), qt.IsTrue)
		}
		restored := evac.New()
		qt.Assert(t, restored.Restore(3, s.Encode()), qt.IsNil)
		qt.Assert(t, restored.Encode(), qt.DeepEquals, s.Encode())
		qt.Assert(t, restored.Base(), qt.Equals, s.Base())
		qt.Assert(t, restored.Version(), qt.Equals, s.Version())
	})
}
