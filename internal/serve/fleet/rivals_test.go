package fleet_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

func announced(id string, started clock.Millis, seq uint64) fleet.Record {
	return record(id, started, seq, fleet.Ready)
}

// TestDelayedAnnouncementEndsNoOwnerThatMissedOne guards against one lost announcement of the owner, and a late one of the server before.
func TestDelayedAnnouncementEndsNoOwnerThatMissedOne(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(options)
	f.Apply(1000, 1000, announced("a", 0, 1), true)
	f.Apply(3100, 3100, announced("b", 0, 9), true)
	c.Check(f.Find("a").Ended(), qt.IsFalse)
	f.Apply(3400, 3400, announced("a", 0, 3), true)
	c.Check(f.Find("a").Usable(), qt.IsTrue)
}

// TestOneLaterStartReplacesNoServerThatGoesOn guards against a single record under the ID of a running server.
func TestOneLaterStartReplacesNoServerThatGoesOn(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(options)
	f.Apply(1000, 1000, announced("a", 100, 1), true)
	r := announced("a", 900, 1)
	r.Address = netip.MustParseAddrPort("10.0.9.9:80")
	f.Apply(1100, 1100, r, true)
	f.Apply(2200, 2200, announced("a", 100, 2), true)
	c.Check(f.Find("a").Address, qt.Equals, announced("a", 100, 1).Address)
}

// TestServerWithoutStartTakesNoAddressOfOneThatGoesOn guards against a writer without a start whose records go on.
func TestServerWithoutStartTakesNoAddressOfOneThatGoesOn(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(options)
	f.Apply(1000, 1000, announced("a", 100, 1), true)
	for i := range clock.Millis(6) {
		at := 1500 + 1200*i
		f.Apply(at, at, announced("a", 100, 2+uint64(i)), true)
		f.Apply(at+10, at+10, announced("b", 0, 1+uint64(i)), true)
	}
	c.Check(f.Find("a").Usable(), qt.IsTrue)
}
