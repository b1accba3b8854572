package core_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/base/timers"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/dir/grant"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// newLimitedCore returns a Core in a data centre with a rate for service x.
func newLimitedCore(centre string, seed uint64, rate float64, off tune.Off, servers []core.ServerUpdate) *core.Core {
	c := core.New(core.Options{
		Centre: centre, Choice: choose.DefaultSettings, DefaultIdleTimeout: 15_000, MaxFlows: 100_000, Off: off,
		Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: 90_000, Follower: true},
	}, rand.New(rand.NewPCG(seed, 1)))
	c.Learn(1, &core.Update{Servers: servers})
	t := table(1, routeX)
	t.Routes[0].LatencyGoal, t.Warmups = 600, map[string]routes.Warmup{"x": {Duration: 10_000, Rate: rate}}
	c.Configure(1, t)
	return c
}

// newColdCore returns a Core whose servers 1 to cold, of 3, are cold until 5,000.
func newColdCore(cold int, rate float64, off tune.Off) *core.Core {
	servers := []core.ServerUpdate{{Record: record(1, "x", 1)}, {Record: record(2, "x", 1)}, {Record: record(3, "x", 1)}}
	for n := range cold {
		servers[n].Record.Warmup = 4999
	}
	return newLimitedCore("a", 1, rate, off, servers)
}

// grants returns an update that grants 10 flows a second on servers.
func grants(at clock.Millis, servers ...int) *core.Update {
	u := &core.Update{GrantedAt: at}
	for _, n := range servers {
		u.Grants = append(u.Grants, core.GrantUpdate{Token: tokens.Candidate(record(n, "x", 1).ID, 1, 0), Rate: 10, Term: 1000})
	}
	return u
}

func TestColdServersWithoutAGrantAreRefused(t *testing.T) {
	c := newColdCore(3, 10, 0)
	a := c.HandlePacket(100, opening(1), false)
	qt.Check(t, a.Verdict, qt.Equals, core.Reset)
	qt.Check(t, a.Reason, qt.Equals, core.ColdServers)
	// The first copy may have opened the flow through another host.
	again := opening(2)
	again.Ack = 1
	qt.Check(t, c.HandlePacket(100, again, true).Verdict, qt.Equals, core.Drop)
	qt.Check(t, c.HandlePacket(5000, opening(3), true).Verdict, qt.Equals, core.Forward)
	qt.Check(t, newColdCore(3, 0, 0).HandlePacket(100, opening(1), true).Verdict, qt.Equals, core.Forward)
	off := newColdCore(3, 10, tune.Off(0).With(tune.WarmupLimits))
	qt.Check(t, off.HandlePacket(100, opening(1), true).Verdict, qt.Equals, core.Forward)
}

// TestColdRefusalsAreNotCountedAsEvacuated has cold servers beside an evacuated one. It
// guards against a metric that blames the evacuation, and exceeds the refusals for want of
// servers that it is a part of.
func TestColdRefusalsAreNotCountedAsEvacuated(t *testing.T) {
	c := newColdCore(3, 10, 0)
	other := record(4, "x", 1)
	other.Centre = "b"
	c.Learn(50, &core.Update{
		Servers: []core.ServerUpdate{{Record: other}}, EvacuationsVersion: 1,
		Evacuations: []core.EvacuationUpdate{{Centre: "b", Active: true, Changed: 1}},
	})
	qt.Check(t, c.HandlePacket(100, opening(1), true).Reason, qt.Equals, core.ColdServers)
	qt.Check(t, c.Stats().EvacuatedNoServer, qt.Equals, uint64(0))
	c.Learn(200, &core.Update{EvacuationsVersion: 2, Evacuations: []core.EvacuationUpdate{
		{Centre: "a", Active: true, Changed: 2}, {Centre: "b", Active: true, Changed: 1},
	}})
	qt.Check(t, c.HandlePacket(250, opening(2), true).Reason, qt.Equals, core.NoServer)
	qt.Check(t, c.Stats().EvacuatedNoServer, qt.Equals, uint64(1))
}

// TestCopyOfAnOpeningIsNotRefusedForAnEvacuation evacuates all servers between the copies
// of an opening. The first one may have opened the flow through another host.
func TestCopyOfAnOpeningIsNotRefusedForAnEvacuation(t *testing.T) {
	c := newColdCore(0, 10, 0)
	c.Learn(50, &core.Update{EvacuationsVersion: 1, Evacuations: []core.EvacuationUpdate{{Centre: "a", Active: true, Changed: 1}}})
	again := opening(1)
	qt.Check(t, c.HandlePacket(100, again, true).Verdict, qt.Equals, core.Reset)
	again.Ack = 1
	qt.Check(t, c.HandlePacket(300, again, true).Verdict, qt.Equals, core.Drop)
	qt.Check(t, c.Stats().DroppedNoServer, qt.Equals, uint64(1))
}

// TestGrantCountsOpeningsOnce retransmits an opening, and moves it to another cold server.
func TestGrantCountsOpeningsOnce(t *testing.T) {
	c := newColdCore(3, 10, 0)
	c.Learn(1000, grants(990, 1, 2))
	first := c.HandlePacket(1100, opening(1), true)
	qt.Assert(t, first.Reason, qt.Equals, core.NewFlow)
	again := opening(1)
	again.Ack = 1
	qt.Check(t, c.HandlePacket(1300, again, true).Number, qt.Equals, first.Number)
	again.Ack = 2
	moved := c.HandlePacket(1700, again, true)
	qt.Check(t, moved.Reason, qt.Equals, core.MovedFlow)
	qt.Check(t, moved.Number+first.Number, qt.Equals, uint64(3))
	qt.Check(t, c.HandlePacket(1710, again, true).Number, qt.Equals, moved.Number)
	qt.Check(t, c.Stats().OpenedCold, qt.Equals, uint64(2))
	qt.Check(t, c.HandlePacket(1710, opening(2), true).Reason, qt.Equals, core.ColdServers)
	// The grant has ended, or another reply leaves it out.
	qt.Check(t, c.HandlePacket(1990, opening(3), true).Reason, qt.Equals, core.ColdServers)
	c.Learn(2300, grants(2290, 3))
	c.Learn(2600, grants(2590))
	qt.Check(t, c.HandlePacket(2700, opening(4), true).Reason, qt.Equals, core.ColdServers)
	qt.Check(t, c.ColdServers(2700), qt.HasLen, 3)
}

// TestLongFlowsGoToWarmServers has cold servers with grants beside a warm one.
func TestLongFlowsGoToWarmServers(t *testing.T) {
	c := newColdCore(2, 10, 0)
	p := data(tokens.Candidate("i-3", 1, 0), 100, 10)
	for ; p.Ack < 150; p.Seq, p.Ack = p.Seq+10, p.Ack+10 {
		c.HandlePacket(50, p, true)
	}
	c.Learn(1000, grants(1000, 1, 2, 3))
	for port := range uint16(10) {
		qt.Check(t, c.HandlePacket(1100, opening(port+1), true).Number, qt.Equals, uint64(3))
	}
}

// newColdSharingCore returns a Core like newColdCore that shares three busy servers with
// another host.
func newColdSharingCore(cold int) (*core.Core, *core.Update) {
	c := newColdCore(cold, 10, 0)
	u := &core.Update{Loads: choose.Loads{}, Sharing: []uint64{hash.String(""), hash.String("other")}}
	slices.Sort(u.Sharing)
	for n := 1; n <= 3; n++ {
		u.Loads[uint32(tokens.Candidate(record(n, "x", 1).ID, 1, 0))] = choose.Load{InFlight: 1.5}
	}
	return c, u
}

// TestOwnPlacesOnColdServersNeedAGrant has a host that owns places of all servers under
// load. It guards against flows beyond the grant on a cold server that is nearly empty.
func TestOwnPlacesOnColdServersNeedAGrant(t *testing.T) {
	c, busy := newColdSharingCore(2)
	c.Learn(1000, grants(1000, 1, 2))
	c.Learn(1100, busy)
	onCold := 0
	for port := range uint16(20) {
		if a := c.HandlePacket(1110, opening(port+1), true); a.Verdict == core.Forward && a.Number != 3 {
			onCold++
		}
	}
	qt.Check(t, onCold <= 2, qt.IsTrue, qt.Commentf("opened %d on cold servers with grants for 2", onCold))
}

// TestOwnPlacesOnWarmedServersAreUsed guards against a split of slots that was computed
// while servers were cold and still leaves them out once they are warm.
func TestOwnPlacesOnWarmedServersAreUsed(t *testing.T) {
	var opened [2][4]int
	for i, cold := range []int{0, 2} {
		c, busy := newColdSharingCore(cold)
		c.Learn(1100, busy)
		c.HandlePacket(1110, opening(99), true)
		c.Tick(7000)
		c.Learn(7000, &core.Update{Loads: busy.Loads})
		for port := range uint16(20) {
			if a := c.HandlePacket(7010, opening(port+1), true); a.Verdict == core.Forward {
				opened[i][a.Number]++
			}
		}
	}
	qt.Check(t, opened[1], qt.Equals, opened[0])
}

// TestEndOfAnEvacuationCountsOnce has a control host that was restarted, and so takes the
// last changes for recent, tell of an order for another data centre. It guards against
// limits on a data centre that returned long before, when the other one is evacuated.
func TestEndOfAnEvacuationCountsOnce(t *testing.T) {
	c := newColdCore(0, 10, 0)
	c.Learn(1000, &core.Update{EvacuationsVersion: 8, Evacuations: []core.EvacuationUpdate{{Centre: "a", Changed: 8}}})
	qt.Check(t, c.ColdCount(), qt.Equals, 3)
	c.Tick(60_000)
	c.Learn(60_000, &core.Update{EvacuationsVersion: 9, Evacuations: []core.EvacuationUpdate{
		{Centre: "a", Changed: 8, Age: 500}, {Centre: "b", Active: true, Changed: 9, Age: 10},
	}})
	qt.Check(t, c.ColdCount(), qt.Equals, 0)
	c.Learn(61_000, &core.Update{EvacuationsVersion: 11, Evacuations: []core.EvacuationUpdate{{Centre: "a", Changed: 11}}})
	qt.Check(t, c.ColdCount(), qt.Equals, 3)
}

// TestReturnOfADataCentreUnderLoad has 84 entry hosts, and the 40 servers of a data centre
// that return in a burst of twice what the slots of the other 80 bear. It guards against
// hosts that all open on the idle servers at once, as they do with the limits switched off.
func TestReturnOfADataCentreUnderLoad(t *testing.T) {
	const rate, end, back = 12.0, clock.Millis(7000), clock.Millis(1500)
	for _, off := range []tune.Off{0, tune.Off(0).With(tune.WarmupLimits)} {
		r, now, events, opened := rand.New(rand.NewPCG(3, 1)), clock.Millis(1), timers.Queue[func()]{}, make([][]clock.Millis, 121)
		var servers []core.ServerUpdate
		var returned []grant.Server
		for n := 1; n <= 120; n++ {
			s := record(n, "x", 0)
			s.Centre = string(rune('a' + (n-1)/40))
			servers = append(servers, core.ServerUpdate{Record: s})
			returned = append(returned, grant.Server{ID: s.ID, Token: uint32(tokens.Candidate(s.ID, 0, 0)), Centre: "a", Rate: rate / 6})
		}
		keepers := make([]*grant.Keeper, 6)
		for i := range keepers {
			keepers[i] = grant.New(-5000, 2000)
		}
		hosts, reports := make([]*core.Core, 84), make([]choose.Loads, 84)
		poll := func(i int) {
			reports[i] = nil
			u := core.Update{Loads: choose.Loads{}, GrantedAt: now}
			for _, l := range reports {
				u.Loads.Add(l)
			}
			hosts[i].Tick(now)
			reports[i] = hosts[i].Loads()
			k := keepers[i%6]
			k.Confirmed(now)
			k.Polled(now, grant.Host{Instance: uint64(i + 1), Centre: string(rune('a' + i%3))})
			if now >= back {
				k.Update(now, returned[:40])
				u.Servers, u.EvacuationsVersion, u.Evacuations = servers[:40], 1, []core.EvacuationUpdate{{Centre: "a", Changed: 1, Age: now - back}}
			}
			for _, g := range k.Grants(now, uint64(i+1)) {
				u.Grants = append(u.Grants, core.GrantUpdate{Token: tokens.Token(g.Token), Rate: float64(g.Rate), Term: g.Term})
			}
			hosts[i].Learn(now, &u)
		}
		for i := range hosts {
			hosts[i] = newLimitedCore(string(rune('a'+i%3)), uint64(i), rate, off, servers[40:])
			for at := clock.Millis(3 * i); at < end; at += 300 {
				events.Add(at, func() { poll(i) })
			}
		}
		for ; now < end; now++ {
			for event, due := events.PopDue(now); due; event, due = events.PopDue(now) {
				event()
			}
			for k := range 8 {
				h, p := hosts[r.IntN(84)], syn(0)
				p.From = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(now >> 8), byte(now)}), uint16(k+1))
				a := h.HandlePacket(now, p, true)
				if a.Verdict != core.Forward {
					continue
				}
				opened[a.Number] = append(opened[a.Number], now)
				q, answer := data(a.Token, 9000, 50), data(a.Token, 9100, 0)
				q.From, answer.From = p.From, p.From
				events.Add(now+5, func() { h.HandlePacket(now, q, true) })
				events.Add(now+45, func() { h.HandlePacket(now, answer, true) })
			}
		}
		worst, sum, least, most := 0, 0, 1<<30, 0
		for _, times := range opened[1:41] {
			sum, least, most = sum+len(times), min(least, len(times)), max(most, len(times))
			for i := range times {
				first, _ := slices.BinarySearch(times, times[i]-clock.Second+1)
				worst = max(worst, i+1-first)
			}
		}
		t.Logf("off %q: at most %d in a second, %d opened on cold servers, %d to %d on one", off, worst, sum, least, most)
		qt.Check(t, float64(worst) <= rate*1.5+5, qt.Equals, off == 0)
		qt.Check(t, float64(sum) >= 0.7*40*rate*5 && most <= 2*least, qt.IsTrue)
	}
}
