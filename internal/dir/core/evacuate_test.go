package core_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
)

// persist writes the output of a control host to disk and returns the answers.
func persist(c *core.Core, now clock.Millis) []core.Answer {
	out := c.Take()
	if len(out.Entries) > 0 {
		c.Persisted(now, out.Synced())
	}
	return append(out.Answers, c.Take().Answers...)
}

// evacuate gives an order that came in when base was known.
func evacuate(t *testing.T, c *core.Core, now clock.Millis, start bool, base uint64) core.Code {
	t.Helper()
	c.Evacuate(now, 91, centreName(0), start, base)
	answers := persist(c, now)
	qt.Assert(t, answers, qt.HasLen, 1)
	return answers[0].Code
}

// TestUnknownCentresLeaveNoState guards against a state that grows with the names that
// callers send.
func TestUnknownCentresLeaveNoState(t *testing.T) {
	c := newControlHost(t, 12)
	for _, name := range []string{"", "hall-x", "hall-0/", "..", strings.Repeat("x", 1<<20), "\xff\x00"} {
		for _, start := range []bool{true, false} {
			c.Evacuate(3100, 91, name, start, 0)
			answers := persist(c, 3100)
			qt.Assert(t, answers, qt.HasLen, 1)
			qt.Check(t, answers[0].Code, qt.Equals, core.UnknownCentre)
		}
	}
	qt.Check(t, c.EvacuationBase(), qt.Equals, uint64(0))
	qt.Check(t, evacuate(t, c, 3200, false, 0), qt.Equals, core.Done, qt.Commentf("an end without a start"))
	qt.Check(t, c.Evacuations(3300), qt.HasLen, 0)
}

// TestOrderThatWaitedUndoesNoNewerOne has an order wait on its host while the caller's
// repeat of it, and then the opposite one, are acknowledged. It guards against a late order
// that counts as newer than what came in after it.
func TestOrderThatWaitedUndoesNoNewerOne(t *testing.T) {
	c := newControlHost(t, 12)
	base := c.EvacuationBase()
	qt.Check(t, evacuate(t, c, 3100, true, base), qt.Equals, core.Done)
	qt.Check(t, evacuate(t, c, 3200, false, c.EvacuationBase()), qt.Equals, core.Done)
	qt.Check(t, evacuate(t, c, 3300, true, base), qt.Equals, core.Unavailable)
	qt.Check(t, c.Evacuated(), qt.Equals, 0)
	qt.Check(t, evacuate(t, c, 3400, true, c.EvacuationBase()), qt.Equals, core.Done)
	qt.Check(t, c.Evacuated(), qt.Equals, 1)
}
