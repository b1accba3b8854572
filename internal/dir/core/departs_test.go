package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// TestDepartureIsWrittenOnce guards against a write of the server list for each repetition of a
// drain, and against an acknowledged drain that no write holds.
func TestDepartureIsWrittenOnce(t *testing.T) {
	c := newControlHost(t, 0)
	now := clock.Millis(3100)
	r := fleet.Record{
		ID: "i-1", Number: 1, Started: 100, Service: "weigh-a7", Centre: "hall-0", Slots: 2,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	announce := func(state fleet.State) (writes bool) {
		now += 2 * clock.Second
		r.State = state
		r.Seq++
		c.Announce(now, 91, r)
		out := c.Take()
		if state == fleet.Draining {
			qt.Check(t, out.Lists.AnswersAfterSave, qt.DeepEquals, []core.Answer{{CallID: 91, Code: core.Done}})
		}
		return out.Lists.Servers != nil
	}
	announce(fleet.Ready)
	qt.Check(t, announce(fleet.Draining), qt.IsTrue)
	qt.Check(t, announce(fleet.Draining), qt.IsFalse)

	c.ListsLost()
	qt.Check(t, announce(fleet.Draining), qt.IsTrue)
	qt.Check(t, announce(fleet.Draining), qt.IsFalse)

	announce(fleet.Ready)
	qt.Check(t, announce(fleet.Draining), qt.IsTrue)
	r.Started += 50
	qt.Check(t, announce(fleet.Draining), qt.IsTrue)
	qt.Check(t, announce(fleet.Draining), qt.IsFalse)
}

// TestDepartureThatWasExchangedIsWritten guards against a drain that is acknowledged unsaved
// because this host has already learned of it from another one.
func TestDepartureThatWasExchangedIsWritten(t *testing.T) {
	c := newControlHost(t, 0)
	r := fleet.Record{
		ID: "i-1", Number: 1, Started: 100, Seq: 1, Service: "weigh-a7", Centre: "hall-0", Slots: 2, State: fleet.Draining,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	announceAs(c, "exchanged", r)
	c.Take()
	announceAs(c, "replicated", r)
	out := c.Take()
	qt.Check(t, out.Lists.SendAfterSave, qt.HasLen, 1)
	qt.Check(t, out.Lists.Servers, qt.IsNotNil)
}
