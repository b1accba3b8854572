package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

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

// TestCopiesOfOpeningsAreNotRefused sends a second transmission, which may follow a
// first one that opened the flow through another host.
func TestCopiesOfOpeningsAreNotRefused(t *testing.T) {
	c := newBusyCore()
	qt.Assert(t, c.HandlePacket(60, opening(1000), true).Reason, qt.Equals, core.Overloaded)
	p := opening(1001)
	p.Ack = 1
	qt.Check(t, c.HandlePacket(61, p, true).Verdict, qt.Equals, core.Forward)
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
