package warm_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/warm"
)

// TestBudgetIsLostWithTheGrant guards against a host that is paused, or that loses a share
// to another and gets it back, and then opens flows that were not granted.
func TestBudgetIsLostWithTheGrant(t *testing.T) {
	var b warm.Budget
	qt.Check(t, b.Available(5000), qt.IsFalse)
	b.Grant(5000, 6000, 10)
	qt.Check(t, b.Available(5050), qt.IsFalse)
	// A saved flow is opened, and no second one, however long ago the last was.
	qt.Check(t, b.Available(5900), qt.IsTrue)
	b.Take(5900)
	qt.Check(t, b.Available(5900), qt.IsFalse)
	b.Grant(5950, 6900, 10)
	qt.Check(t, b.Available(6000), qt.IsTrue)
	qt.Check(t, b.Available(6900), qt.IsFalse)
	b.Grant(7000, 8000, 10)
	qt.Check(t, b.Available(7050), qt.IsFalse)
	qt.Check(t, b.Available(7100), qt.IsTrue)
}

// TestServerIsColdByTheLaterReason has a data centre return while its server is cold, and
// reports that arrive in the wrong order.
func TestServerIsColdByTheLaterReason(t *testing.T) {
	f := fleet.New(fleet.Options{})
	f.Apply(100, 100, fleet.Record{ID: "i", Seq: 1, Centre: "a", Warmup: 5000}, true)
	c := warm.NewCentres()
	qt.Check(t, c.ColdUntil(f.Find("i"), 3000), qt.Equals, clock.Millis(5100))
	c.Evacuated("a", 4000)
	c.Evacuated("a", -500)
	qt.Check(t, c.ColdUntil(f.Find("i"), 3000), qt.Equals, clock.Millis(7000))
}
