package core_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/token/tokens"

	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// newBusyCore returns a Core with 14 servers of service x whose slots are all taken,
// and that has measured response times, so that it refuses openings.
func newBusyCore() *core.Core {
	c := core.New(core.Options{
		Centre: "a", DefaultIdleTimeout: 15_000, MaxFlows: 100_000,
		Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: 90_000, Follower: true},
	}, rand.New(rand.NewPCG(1, 1)))
	u := core.Update{Loads: choose.Loads{}}
	for n := 1; n <= 14; n++ {
		r := record(n, "x", 1)
		u.Servers = append(u.Servers, core.ServerUpdate{Record: r})
	}
	c.Learn(1, &u)
	t := table(1, routeX)
	t.Routes[0].LatencyGoal = 200
	c.Configure(1, t)
	for i := range uint32(80) {
		p := syn(0)
		p.From = netip.AddrPortFrom(client.Addr(), uint16(i+1))
		token := c.HandlePacket(10, p, true).Token
		request := data(token, 100, 10)
		request.From = p.From
		c.HandlePacket(11, request, true)
		request.Ack, request.Seq, request.Length = 200, 111, 0
		c.HandlePacket(41, request, true)
	}
	u.Loads = choose.Loads{}
	for n := 1; n <= 14; n++ {
		u.Loads[uint32(tokens.Candidate(record(n, "x", 1).ID, 1, 0))] = choose.Load{InFlight: 20}
	}
	c.Learn(50, &core.Update{Loads: u.Loads})
	return c
}

func BenchmarkRefusedOpening(b *testing.B) {
	c := newBusyCore()
	p := syn(0)
	b.ReportAllocs()
	for i := range b.N {
		p.From = netip.AddrPortFrom(client.Addr(), uint16(1000+i%60_000))
		if a := c.HandlePacket(60, p, true); a.Reason != core.Overloaded {
			b.Fatalf("not refused: %s, load %f", a.Reason, a.Load)
		}
	}
}

func BenchmarkOpenFlowPacket(b *testing.B) {
	c := newBusyCore()
	token := tokens.Candidate(record(3, "x", 1).ID, 1, 0)
	p := data(token, 500, 0)
	b.ReportAllocs()
	for i := range b.N {
		p.From = netip.AddrPortFrom(client.Addr(), uint16(1000+i%1000))
		if a := c.HandlePacket(60, p, true); a.Verdict != core.Forward {
			b.Fatalf("not forwarded: %s", a.Reason)
		}
	}
}
