package core_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// newBusyCore returns a Core with 14 servers of service x whose slots are all taken,
// and that has measured response times, so that it refuses openings.
func newBusyCore() *core.Core { return newBusyCoreWith(200, 0) }

// newBusyCoreWith is newBusyCore with a latency goal and with mechanisms switched off.
func newBusyCoreWith(goal clock.Millis, off tune.Off) *core.Core {
	c := core.New(core.Options{
		Centre: "a", DefaultIdleTimeout: 15_000, MaxFlows: 100_000, Off: off,
		Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: 90_000, Follower: true},
	}, rand.New(rand.NewPCG(1, 1)))
	u := core.Update{Loads: choose.Loads{}}
	for n := 1; n <= 14; n++ {
		r := record(n, "x", 1)
		u.Servers = append(u.Servers, core.ServerUpdate{Record: r})
	}
	c.Learn(1, &u)
	t := table(1, routeX)
	t.Routes[0].LatencyGoal = goal
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

// manyServers returns servers of one service in 6 data centres.
func manyServers(n int) []core.ServerUpdate {
	out := make([]core.ServerUpdate, n)
	for i := range out {
		number := uint64(0x1a2b3c0000) + uint64(i)*0x10001
		out[i].Record = fleet.Record{
			ID: fmt.Sprintf("i-%010x", number), Number: number, Seq: 1, Service: "x", Centre: string(rune('a' + i%6)), Slots: 2, State: fleet.Ready,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}
	}
	return out
}

func newEmptyCore() *core.Core {
	return core.New(core.Options{
		Centre: "a", Choice: choose.DefaultSettings, DefaultIdleTimeout: 15_000, MaxFlows: 100_000,
		Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: 90_000, Follower: true},
	}, rand.New(rand.NewPCG(1, 1)))
}

// benchmarkFirstServers measures how long an entry host that starts takes to learn of
// its first servers.
func benchmarkFirstServers(b *testing.B, n int) {
	servers := manyServers(n)
	for b.Loop() {
		newEmptyCore().Learn(1, &core.Update{Servers: servers})
	}
}

func BenchmarkFirst100Servers(b *testing.B) { benchmarkFirstServers(b, 100) }
func BenchmarkFirst600Servers(b *testing.B) { benchmarkFirstServers(b, 600) }

// BenchmarkPollOf600Servers measures a poll that brings loads and one change.
func BenchmarkPollOf600Servers(b *testing.B) {
	c := newEmptyCore()
	servers := manyServers(600)
	c.Learn(1, &core.Update{Servers: servers})
	l := choose.Loads{}
	for i := range 100 {
		l[uint32(tokens.Candidate(servers[6*i].Record.ID, 0, 0))] = choose.Load{InFlight: 1}
	}
	never := func(string) (bool, bool) { return false, true }
	now := clock.Millis(2)
	for b.Loop() {
		now += 300
		servers[7].Record.Seq++
		servers[7].Record.Slots ^= 1
		c.Learn(now, &core.Update{Servers: servers[7:8], Loads: l, LoadCentres: []string{"a"}, Silence: never})
	}
}

// BenchmarkOpeningAmong600Servers measures the choice of a server for a new flow.
func BenchmarkOpeningAmong600Servers(b *testing.B) {
	c := newEmptyCore()
	c.Learn(1, &core.Update{Servers: manyServers(600)})
	c.Configure(1, table(1, routeX))
	p := syn(0)
	for i := 0; b.Loop(); i++ {
		p.From = netip.AddrPortFrom(client.Addr(), uint16(1000+i%60_000))
		p.Seq = uint32(i)
		if a := c.HandlePacket(60, p, true); a.Reason != core.NewFlow {
			b.Fatalf("not opened: %s", a.Reason)
		}
	}
}

// benchmarkOpening measures the choice of a server by a host that shares 600 busy servers
// with 83 others. Cold is the number of those that are cold, without a grant.
func benchmarkOpening(b *testing.B, sharing bool, cold int) {
	c := newEmptyCore()
	servers := manyServers(600)
	u, loads := &core.Update{Servers: servers, Loads: choose.Loads{}}, choose.Loads{}
	for i := range servers {
		loads[uint32(tokens.Candidate(servers[i].Record.ID, 0, 0))] = choose.Load{InFlight: 1.5}
		if i < cold {
			servers[i].Record.Warmup = clock.Minute
		}
	}
	if u.Loads = loads; sharing {
		for i := range 84 {
			u.Sharing = append(u.Sharing, hash.String(strings.Repeat("e", i)))
		}
		slices.Sort(u.Sharing)
	}
	t := table(1, routeX)
	t.Routes[0].LatencyGoal, t.Warmups = 600, map[string]routes.Warmup{"x": {Duration: 1, Rate: 1}}
	c.Configure(1, t)
	c.Learn(1, u)
	p := syn(0)
	for i := 0; b.Loop(); i++ {
		p.From = netip.AddrPortFrom(client.Addr(), uint16(1000+i%60_000))
		p.Seq = uint32(i)
		c.HandlePacket(60, p, true)
	}
}

func BenchmarkOpeningAmong600BusyServers(b *testing.B)          { benchmarkOpening(b, false, 0) }
func BenchmarkOpeningAmong600SharedServers(b *testing.B)        { benchmarkOpening(b, true, 0) }
func BenchmarkOpeningAmong600Servers200Cold(b *testing.B)       { benchmarkOpening(b, false, 200) }
func BenchmarkOpeningAmong600SharedServers200Cold(b *testing.B) { benchmarkOpening(b, true, 200) }

// BenchmarkTickOf600Servers measures the periodic work.
func BenchmarkTickOf600Servers(b *testing.B) {
	c := newEmptyCore()
	c.Learn(1, &core.Update{Servers: manyServers(600)})
	now := clock.Millis(2)
	for b.Loop() {
		now += 100
		c.Tick(now)
		_ = c.Loads()
	}
}
