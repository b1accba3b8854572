package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
)

// persist takes the output of a control host whose disk is fast.
func persist(c *core.Core, now clock.Millis) core.Output {
	if out := c.Take(); len(out.Entries) > 0 {
		last := out.Entries[len(out.Entries)-1]
		c.Persisted(now, last.Index, last.Term)
	}
	return c.Take()
}

// evacuate gives an order that came in when base was known.
func evacuate(t *testing.T, c *core.Core, now clock.Millis, start bool, base uint64) core.Code {
	t.Helper()
	c.Evacuate(now, 91, centreName(0), start, base)
	answers := persist(c, now).Answers
	qt.Assert(t, answers, qt.HasLen, 1)
	return answers[0].Code
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
