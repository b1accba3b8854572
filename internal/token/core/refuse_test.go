package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// opening returns the first opening packet of another client.
func opening(port uint16) *core.Packet {
	p := syn(0)
	p.From = netip.AddrPortFrom(client.Addr(), port)
	return p
}

// TestRefusalEndsWithTheLoad refuses many openings, and must admit the next one when
// the other hosts report no load any more.
func TestRefusalEndsWithTheLoad(t *testing.T) {
	c := newBusyCore()
	for port := uint16(1000); port < 1050; port++ {
		qt.Assert(t, c.HandlePacket(60, opening(port), true).Reason, qt.Equals, core.Overloaded)
	}
	c.Learn(62, &core.Update{Loads: choose.Loads{}})
	qt.Check(t, c.HandlePacket(63, opening(2), true).Verdict, qt.Equals, core.Forward)
}

// TestRefusalEndsWithARequest frees the only slot that was taken on this host.
func TestRefusalEndsWithARequest(t *testing.T) {
	c := newBusyCore()
	busy := choose.Loads{}
	for n := 1; n <= 14; n++ {
		busy[uint32(tokens.Candidate(record(n, "x", 1).ID, 1, 0))] = choose.Load{InFlight: 2}
	}
	c.Learn(50, &core.Update{Loads: busy})
	admitted := map[uint16]tokens.Token{}
	port := uint16(1000)
	for ; port < 2000; port++ {
		a := c.HandlePacket(60, opening(port), true)
		if a.Reason == core.Overloaded {
			break
		}
		admitted[port] = a.Token
	}
	qt.Assert(t, len(admitted) > 0, qt.IsTrue)
	for from, token := range admitted {
		p := data(token, 100, 10)
		p.From = netip.AddrPortFrom(client.Addr(), from)
		c.HandlePacket(61, p, true)
		p.Ack, p.Seq, p.Length = 200, 111, 0
		c.HandlePacket(62, p, true)
	}
	qt.Check(t, c.HandlePacket(63, opening(port+1), true).Verdict, qt.Equals, core.Forward)
}

// TestCopiesOfOpeningsAreNotReset sends copies of an opening packet whose first
// transmission may have opened the flow through another host. One whose request can still
// be answered in time opens a flow. For one that can't, there must be room: after a loss of
// hosts, flows for all late copies leave no room for requests that can be in time.
func TestCopiesOfOpeningsAreNotReset(t *testing.T) {
	for _, test := range []struct {
		name string
		goal clock.Millis
		copy uint32
		off  tune.Off
		want core.Verdict
	}{
		{"first copy, in time", 600, 1, 0, core.Forward},
		{"second copy, too late", 600, 2, 0, core.Drop},
		{"first copy, too late", 200, 1, 0, core.Drop},
		{"third copy, in time", 1200, 3, 0, core.Forward},
		{"any copy, switched off", 200, 2, tune.Off(0).With(tune.LateCopies), core.Forward},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newBusyCoreWith(test.goal, test.off)
			qt.Assert(t, c.HandlePacket(60, opening(1000), true).Reason, qt.Equals, core.Overloaded)
			p := opening(1001)
			p.Ack = test.copy
			qt.Check(t, c.HandlePacket(61, p, true).Verdict, qt.Equals, test.want)
			// With room, every copy opens a flow.
			c.Learn(62, &core.Update{Loads: choose.Loads{}})
			p = opening(1002)
			p.Ack = test.copy
			qt.Check(t, c.HandlePacket(63, p, true).Verdict, qt.Equals, core.Forward)
		})
	}
}

// TestFullLinkRefusesOnlyNewFlows guards against a flow that is reset after it was opened
// because the host's link has no more room.
func TestFullLinkRefusesOnlyNewFlows(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	full := func(p *core.Packet) core.Action {
		p.LinkFull = true
		return h.HandlePacket(10, p, false)
	}
	a := full(opening(1))
	c.Check(a.Verdict, qt.Equals, core.Reset)
	c.Check(a.Reason, qt.Equals, core.LinkFull)
	c.Check(h.HandlePacket(10, opening(1), false).Verdict, qt.Equals, core.Forward)
	a = full(opening(1))
	c.Check(a.Verdict, qt.Equals, core.Forward, qt.Commentf("a copy of an opening that was forwarded"))
	another := opening(2)
	another.Ack = 1
	c.Check(full(another).Verdict, qt.Equals, core.Forward, qt.Commentf("a copy of an opening that another host may have forwarded"))
	c.Check(h.Stats().ResetLinkFull, qt.Equals, uint64(1))
}
