package evac_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
)

const window = 6000

func order(start bool, base uint64) *evac.Order {
	return &evac.Order{Centre: "hall-a", Start: start, Base: base}
}

// TestLateOrdersUndoNothing guards against the copy of an order, proposed by a host that
// did not know a newer one, that undoes this.
func TestLateOrdersUndoNothing(t *testing.T) {
	s := evac.New()
	for i, step := range []struct {
		start           bool
		base            uint64
		applied, active bool
	}{
		{true, 0, true, true},
		{true, 0, true, true},    // a repeat
		{false, 0, false, true},  // proposed before the start was known
		{false, 11, true, false}, // the index of the repeat
		{true, 11, false, false},
		{true, 13, true, true},
	} {
		applied := s.Apply(100, uint64(10+i), order(step.start, step.base))
		qt.Check(t, applied, qt.Equals, step.applied, qt.Commentf("order %d", i))
		qt.Check(t, s.Active("hall-a"), qt.Equals, step.active, qt.Commentf("order %d", i))
	}
	qt.Check(t, s.Version(), qt.Equals, uint64(15))
	qt.Check(t, s.Apply(200, 13, order(false, 15)), qt.IsTrue, qt.Commentf("an entry that was applied before"))
	qt.Check(t, s.Active("hall-a"), qt.IsTrue)
}

// TestEndAfterAStartMayBeARepeat guards against a late copy of an end that sends work to
// servers which the operator believes to be empty.
func TestEndAfterAStartMayBeARepeat(t *testing.T) {
	s := evac.New()
	s.Apply(1000, 1, order(true, 0))
	qt.Check(t, s.MayBeRepeat(1100, "hall-a", window), qt.IsFalse)
	s.Apply(2000, 2, order(false, 1))
	qt.Check(t, s.MayBeRepeat(2100, "hall-a", window), qt.IsFalse, qt.Commentf("nothing to undo"))
	s.Apply(3000, 3, order(true, 2))
	qt.Check(t, s.MayBeRepeat(7999, "hall-a", window), qt.IsTrue)
	qt.Check(t, s.MayBeRepeat(8000, "hall-a", window), qt.IsFalse)
	s.Resume(5000, 20_000, window)
	qt.Check(t, s.MayBeRepeat(25_999, "hall-a", window), qt.IsTrue, qt.Commentf("the copy waited while the process was suspended"))
}

// TestRestoreKeepsTheNewerState restores snapshots on a host that is behind and on one that
// is ahead of them.
func TestRestoreKeepsTheNewerState(t *testing.T) {
	s := evac.New()
	qt.Check(t, s.Encode(), qt.IsNil)
	s.Apply(1000, 1, order(true, 0))
	older := s.Encode()
	s.Apply(2000, 2, order(false, 1))
	qt.Check(t, s.Restore(3000, older), qt.IsNil)
	qt.Check(t, s.Active("hall-a"), qt.IsFalse)
	behind := evac.New()
	qt.Check(t, behind.Restore(5000, s.Encode()), qt.IsNil)
	qt.Check(t, behind.Base(), qt.Equals, uint64(2))
	qt.Check(t, behind.Version(), qt.Equals, uint64(2))
	qt.Check(t, behind.List(5500)[0].Age, qt.Equals, clock.Millis(500))
	behind.Apply(6000, 3, order(true, 2))
	qt.Check(t, behind.MayBeRepeat(6000, "hall-a", window), qt.IsTrue, qt.Commentf("the end counts from the restore"))
}

// FuzzDecode decodes entries and snapshots from other hosts.
func FuzzDecode(f *testing.F) {
	f.Add(evac.EncodeEntry(order(true, 7)))
	s := evac.New()
	s.Apply(1, 1, order(true, 0))
	f.Add(s.Encode())
	// An array of 2,720,238,384 records took all memory.
	f.Add([]byte("\xdd\xa2\x23\x8b\x30"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if o, err := evac.DecodeEntry(b); err == nil {
			qt.Check(t, o.Centre != "" && len(o.Centre) <= evac.MaxName, qt.IsTrue)
		}
		restored := evac.New()
		if restored.Restore(1, b) == nil {
			again := evac.New()
			qt.Check(t, again.Restore(1, restored.Encode()), qt.IsNil)
			qt.Check(t, slices.Equal(again.List(2), restored.List(2)), qt.IsTrue)
		}
	})
}
