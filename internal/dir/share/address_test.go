package share_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/share"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// TestPauseOfAHostDecidesNothing guards against a server that loses its address or its ID to one
// announcement of another one, while it was this host that heard nothing of it.
func TestPauseOfAHostDecidesNothing(t *testing.T) {
	at := func(id string, seq uint64) fleet.Record {
		return fleet.Record{ID: id, Number: 1, Seq: seq, Service: "s", State: fleet.Ready, Address: netip.MustParseAddrPort("10.0.0.1:80")}
	}
	process := func(started clock.Millis, seq uint64) fleet.Record {
		r := at("s", seq)
		r.Started, r.Address = started, netip.MustParseAddrPort("10.0.0.2:80")
		return r
	}
	newList := func(runID uint64) *share.List {
		options := fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000, ReuseAfter: 2000}
		return share.NewList(options, runID, 0, fourVoters{}, func(string) bool { return true }, func(raft.ID, *msgs.Envelope) {})
	}
	for _, restart := range []bool{false, true} {
		c := qt.New(t)
		l := newList(1)
		l.Apply(1000, 1000, process(2, 1), true)
		l.Apply(1500, 1500, process(1, 1), true)
		l.Apply(1000, 1000, at("z-owner", 1), true)
		l.Apply(1500, 1500, at("a-rival", 1), true)
		c.Check(l.Silent(), qt.DeepEquals, []string{"a-rival"})
		const now = clock.Millis(31_000)
		if restart {
			saved := l.Encode(1600)
			l = newList(2)
			c.Assert(l.Load(now, saved), qt.IsNil)
		} else {
			l.Resume(now)
		}
		l.Apply(now+10, now+10, at("a-rival", 2), true)
		c.Check(l.Fleet().Find("z-owner").Usable(), qt.IsTrue, qt.Commentf("restart %t", restart))
		c.Check(l.Fleet().Find("a-rival").Usable(), qt.IsFalse, qt.Commentf("restart %t", restart))
		l.Apply(now+10, now+10, process(1, 2), true)
		c.Check(l.Fleet().Find("s").Started, qt.Equals, clock.Millis(2), qt.Commentf("restart %t", restart))
		// The owner is gone after all, and so is the later incarnation.
		l.Apply(now+2100, now+2100, process(1, 3), true)
		c.Check(l.Fleet().Find("s").Started, qt.Equals, clock.Millis(1), qt.Commentf("restart %t", restart))
		l.Apply(now+2100, now+2100, at("a-rival", 3), true)
		c.Check(l.Fleet().Find("z-owner").Ended(), qt.IsTrue, qt.Commentf("restart %t", restart))
		c.Check(l.Fleet().Find("a-rival").Usable(), qt.IsTrue, qt.Commentf("restart %t", restart))
	}
}
