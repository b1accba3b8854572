package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// answered opens a flow at now and has its request answered within 30 ms.
func answered(h *core.Core, now clock.Millis, port uint16) {
	p := syn(0)
	p.From = netip.AddrPortFrom(client.Addr(), port)
	a := h.HandlePacket(now, p, true)
	request := data(a.Token, 9000, 50)
	request.From = p.From
	h.HandlePacket(now+6, request, true)
	response := data(a.Token, 9600, 0)
	response.From, response.Seq = p.From, request.Seq+50
	h.HandlePacket(now+36, response, true)
}

// overloaded returns a Core that has measured the service and whose servers have no
// free slots and long queues, by the report of other hosts.
func overloaded(c *qt.C, latencyGoal clock.Millis) *core.Core {
	h := newCore(1)
	goal := table(2, routeX, routeY)
	for i := range goal.Routes {
		goal.Routes[i].LatencyGoal = latencyGoal
	}
	h.Configure(1, goal)
	for i := range uint16(40) {
		answered(h, clock.Millis(10+50*int(i)), 1000+i)
	}
	loads := choose.Loads{}
	for port := uint16(1); len(loads) < 3; port++ {
		p := syn(0)
		p.From = netip.AddrPortFrom(client.Addr(), port)
		a := h.HandlePacket(3000, p, true)
		c.Assert(a.Verdict, qt.Equals, core.Forward)
		loads[uint32(a.Token)] = choose.Load{InFlight: 20}
	}
	h.Learn(3000, &core.Update{Loads: loads})
	return h
}

// TestRefusesAtOnceWhenAllServersAreOverloaded refuses only opening packets that no
// host has forwarded before, and never a packet of an open flow.
func TestRefusesAtOnceWhenAllServersAreOverloaded(t *testing.T) {
	c := qt.New(t)
	h := overloaded(c, 600)
	p := syn(0)
	p.From = netip.MustParseAddrPort("100.64.0.9:5")
	a := h.HandlePacket(3010, p, true)
	c.Check(a.Verdict, qt.Equals, core.Reset)
	c.Check(a.Reason, qt.Equals, core.Overloaded)
	c.Check(h.Stats().ResetOverloaded, qt.Equals, uint64(1))

	later := syn(1)
	later.From = netip.MustParseAddrPort("100.64.0.9:6")
	c.Check(h.HandlePacket(3020, later, true).Verdict, qt.Equals, core.Forward, qt.Commentf("another host may have forwarded the first transmission"))

	open := syn(0)
	open.From = netip.MustParseAddrPort("100.64.0.9:7")
	first := newCore(2).HandlePacket(3000, open, true)
	request := data(first.Token, 9000, 50)
	request.From = open.From
	c.Check(h.HandlePacket(3030, request, true).Verdict, qt.Equals, core.Forward, qt.Commentf("an open flow is not refused"))
}

// TestStaleLoadsDoNotRefuse cuts a host off from the control hosts. It must not refuse
// flows for long because of the last loads that it was told.
func TestStaleLoadsDoNotRefuse(t *testing.T) {
	c := qt.New(t)
	h := overloaded(c, 150)
	for now := clock.Millis(3100); now <= 7000; now += 100 {
		h.Tick(now)
	}
	p := syn(0)
	p.From = netip.MustParseAddrPort("100.64.0.9:8")
	c.Check(h.HandlePacket(7000, p, false).Verdict, qt.Equals, core.Forward)
}

// TestPacketThatWaitedOnThisHostBlamesNoServer retransmits an opening packet that a busy
// host decides late. The server may have answered long before.
func TestPacketThatWaitedOnThisHostBlamesNoServer(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	first := h.HandlePacket(10, syn(0), true)
	late := syn(1)
	late.Waited = 300
	a := h.HandlePacket(330, late, true)
	c.Check(a.Number, qt.Equals, first.Number)
	c.Check(h.Stats().Avoided, qt.Equals, uint64(0))
	c.Check(h.HandlePacket(340, syn(1), true).Number, qt.Equals, first.Number)
	c.Check(h.Stats().Avoided, qt.Equals, uint64(1))
	c.Check(h.HandlePacket(610, syn(2), true).Reason, qt.Equals, core.MovedFlow)
}
