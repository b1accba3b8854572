package core_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

var (
	routeX = netip.MustParseAddrPort("198.18.0.1:443")
	routeY = netip.MustParseAddrPort("198.18.0.2:443")
	client = netip.MustParseAddrPort("100.64.0.7:40001")
)

func table(version uint64, addresses ...netip.AddrPort) *routes.Table {
	t := &routes.Table{Version: version, Services: []string{"x", "y"}, IdleTimeout: 15_000}
	for i, a := range addresses {
		service := "x"
		if a == routeY {
			service = "y"
		}
		t.Routes = append(t.Routes, routes.Route{
			Name: fmt.Sprint(i), Address: a, Timeout: 2000, Targets: []routes.Target{{Service: service, Weight: 1}},
		})
	}
	return t
}

func record(n int, service string, started clock.Millis) fleet.Record {
	return fleet.Record{
		ID: fmt.Sprintf("i-%d", n), Number: uint64(n), Started: started, Seq: 1, Service: service, Centre: "a", Slots: 2,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), State: fleet.Ready,
	}
}

// newBareCore returns a Core without a routing table and without servers.
func newBareCore(seed uint64) *core.Core {
	return core.New(core.Options{
		Centre: "a", DefaultIdleTimeout: 15_000, MaxFlows: 1000,
		Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: 90_000, Follower: true},
	}, rand.New(rand.NewPCG(seed, 1)))
}

// newCore returns a Core that knows servers 1 to 3 of service x and server 4 of
// service y.
func newCore(seed uint64) *core.Core {
	c := newBareCore(seed)
	u := core.Update{}
	for n := 1; n <= 4; n++ {
		service := "x"
		if n == 4 {
			service = "y"
		}
		u.Servers = append(u.Servers, core.ServerUpdate{Record: record(n, service, 1)})
	}
	c.Learn(1, &u)
	c.Configure(1, table(1, routeX, routeY))
	return c
}

// syn returns an opening packet that was transmitted attempt times before.
func syn(attempt uint32) *core.Packet {
	return &core.Packet{From: client, To: routeX, Seq: 100, Ack: attempt, Open: true}
}

// openMoved sends the transmissions of an opening whose server answers none. It returns the
// actions on the first one and on the last one, which goes to another server.
func openMoved(c *qt.C, h *core.Core) (first, moved core.Action) {
	first = h.HandlePacket(10, syn(0), true)
	c.Assert(h.HandlePacket(210, syn(1), true).Number, qt.Equals, first.Number)
	moved = h.HandlePacket(610, syn(2), true)
	c.Assert(moved.Reason, qt.Equals, core.MovedFlow)
	c.Assert(moved.Number, qt.Not(qt.Equals), first.Number)
	return first, moved
}

func data(token tokens.Token, ack uint32, length int) *core.Packet {
	return &core.Packet{From: client, To: routeX, Seq: 101, Ack: ack, Length: length, Token: token}
}

// TestAnyHostRoutesAnEstablishedFlow sends each packet of a flow through another host,
// which has just started and has no state for the flow.
func TestAnyHostRoutesAnEstablishedFlow(t *testing.T) {
	c := qt.New(t)
	first := newCore(1).HandlePacket(10, syn(0), true)
	c.Assert(first.Verdict, qt.Equals, core.Forward)
	for seed := range uint64(20) {
		a := newCore(seed).HandlePacket(500, data(first.Token, 9000, 50), false)
		c.Check(a.Verdict, qt.Equals, core.Forward)
		c.Check(a.Number, qt.Equals, first.Number)
		c.Check(a.Token, qt.Equals, first.Token)
	}
}

func TestRetransmittedOpeningGoesToTheSameServer(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	first := h.HandlePacket(10, syn(0), true)
	// The packets of another flow show that the server answers.
	other := *data(first.Token, 77, 10)
	other.From = netip.MustParseAddrPort("100.64.0.8:1")
	h.HandlePacket(100, &other, true)
	for attempt := uint32(1); attempt <= 2; attempt++ {
		other.Ack += 100
		h.HandlePacket(clock.Millis(200*attempt), &other, true)
		a := h.HandlePacket(clock.Millis(210*attempt), syn(attempt), true)
		c.Check(a.Number, qt.Equals, first.Number, qt.Commentf("retransmission %d", attempt))
	}
}

func TestRetransmittedOpeningAvoidsAnUnresponsiveServer(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	first, moved := openMoved(c, h)
	c.Check(moved.Verdict, qt.Equals, core.Forward)
	// New flows avoid the server, too.
	for port := uint16(1); port <= 30; port++ {
		p := syn(0)
		p.From = netip.AddrPortFrom(client.Addr(), port)
		c.Check(h.HandlePacket(250, p, true).Number, qt.Not(qt.Equals), first.Number)
	}
}

// TestRetransmittedOpeningFollowsTheRouteInForce changes the service of a route, or takes
// away its servers, between two transmissions of an opening packet.
func TestRetransmittedOpeningFollowsTheRouteInForce(t *testing.T) {
	moved := func(version uint64, services ...routes.Target) *routes.Table {
		changed := table(version, routeX, routeY)
		changed.Services = append(changed.Services, "none")
		changed.Routes[0].Targets = services
		return changed
	}
	for _, test := range []struct {
		name    string
		changes []*routes.Table
		verdict core.Verdict
	}{
		{"another service", []*routes.Table{moved(2, routes.Target{Service: "y", Weight: 1})}, core.Forward},
		{"removed and added with another service", []*routes.Table{table(2, routeY), moved(3, routes.Target{Service: "y", Weight: 1})}, core.Forward},
		{"no weight", []*routes.Table{moved(2, routes.Target{Service: "x"}, routes.Target{Service: "y", Weight: 1})}, core.Forward},
		{"a service without servers", []*routes.Table{moved(2, routes.Target{Service: "none", Weight: 1})}, core.Drop},
	} {
		h := newCore(1)
		first := h.HandlePacket(10, syn(0), true)
		qt.Assert(t, first.Service, qt.Equals, "x")
		// The packets of another flow show that the first server answers.
		other := *data(first.Token, 77, 10)
		other.From, other.To = netip.MustParseAddrPort("100.64.0.8:1"), routeY
		h.HandlePacket(20, &other, true)
		for _, changed := range test.changes {
			qt.Assert(t, h.Configure(100, changed), qt.IsTrue)
		}
		for attempt := uint32(1); attempt <= 2; attempt++ {
			other.Ack += 100
			h.HandlePacket(clock.Millis(240*attempt), &other, true)
			a := h.HandlePacket(clock.Millis(250*attempt), syn(attempt), true)
			qt.Check(t, a.Verdict, qt.Equals, test.verdict, qt.Commentf("%s, retransmission %d", test.name, attempt))
			if test.verdict == core.Forward {
				qt.Check(t, a.Number, qt.Equals, uint64(4), qt.Commentf("%s, retransmission %d", test.name, attempt))
			}
		}
	}
}

// TestLateTokenIsCorrected covers an opening packet that two servers answer: the
// client completes the handshake with the second server, and then receives the
// token of the first, whose answer was late.
func TestLateTokenIsCorrected(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	first, second := openMoved(c, h)
	c.Check(h.HandlePacket(620, data(second.Token, 9000, 0), true).Number, qt.Equals, second.Number)
	a := h.HandlePacket(630, data(first.Token, 9000, 50), true)
	c.Check(a.Number, qt.Equals, second.Number)
	c.Check(a.Token, qt.Equals, second.Token)
	c.Check(a.Reason, qt.Equals, core.CorrectedToken)
}

func TestVerdictAndReasonOfAPacket(t *testing.T) {
	unrouted := netip.MustParseAddrPort("198.18.0.9:443")
	tests := []struct {
		name     string
		setUp    func(h *core.Core)
		packet   core.Packet
		upToDate bool
		verdict  core.Verdict
		reason   core.Reason
	}{
		{"no route", nil, core.Packet{From: client, To: unrouted, Open: true}, true, core.Reset, core.NoRoute},
		{"no route, host not up to date", nil, core.Packet{From: client, To: unrouted, Open: true}, false, core.Drop, core.NoRoute},
		{"unknown token", nil, *data(12345, 1, 0), true, core.Drop, core.UnknownToken},
		{
			"route removed", func(h *core.Core) {
				h.HandlePacket(4, syn(0), true)
				h.Configure(5, table(2, routeY))
			},
			*data(tokens.Candidate("i-1", 1, 0), 1, 0), true, core.Reset, core.RouteRemoved,
		},
		{
			"route removed before the flow was known", func(h *core.Core) { h.Configure(5, table(2, routeY)) },
			*data(tokens.Candidate("i-1", 1, 0), 1, 0), true, core.Forward, core.NoReason,
		},
		{
			"older table is ignored", func(h *core.Core) {
				h.Configure(5, table(3, routeX))
				h.Configure(6, table(2, routeY))
			}, *syn(0), true, core.Forward, core.NewFlow,
		},
		{
			"server restarted", func(h *core.Core) {
				h.Learn(5, &core.Update{Servers: []core.ServerUpdate{{Record: record(1, "x", 2)}}})
			}, *data(tokens.Candidate("i-1", 1, 0), 1, 0), true, core.Forward, core.NoReason,
		},
		{
			"address reused by another service", func(h *core.Core) {
				r := record(9, "y", 7)
				r.Address = record(1, "x", 1).Address
				h.Learn(5, &core.Update{Servers: []core.ServerUpdate{{Record: r}}})
			}, *data(tokens.Candidate("i-1", 1, 0), 1, 0), true, core.Forward, core.NoReason,
		},
		{
			"all servers draining", func(h *core.Core) {
				u := core.Update{}
				for n := 1; n <= 3; n++ {
					r := record(n, "x", 1)
					r.Seq, r.State = 2, fleet.Draining
					u.Servers = append(u.Servers, core.ServerUpdate{Record: r})
				}
				h.Learn(5, &u)
			}, *syn(0), true, core.Reset, core.NoServer,
		},
		{
			"all servers draining, host not up to date", func(h *core.Core) {
				u := core.Update{}
				for n := 1; n <= 3; n++ {
					r := record(n, "x", 1)
					r.Seq, r.State = 2, fleet.Draining
					u.Servers = append(u.Servers, core.ServerUpdate{Record: r})
				}
				h.Learn(5, &u)
			}, *syn(0), false, core.Drop, core.NoServer,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newCore(1)
			if test.setUp != nil {
				test.setUp(h)
			}
			a := h.HandlePacket(10_000, &test.packet, test.upToDate)
			c.Check(a.Verdict, qt.Equals, test.verdict)
			c.Check(a.Reason, qt.Equals, test.reason)
		})
	}
}

func TestDrainingServerKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	first := h.HandlePacket(10, syn(0), true)
	r := record(int(first.Number), "x", 1)
	r.Seq, r.State = 2, fleet.Draining
	h.Learn(20, &core.Update{Servers: []core.ServerUpdate{{Record: r}}})
	c.Check(h.HandlePacket(30, data(first.Token, 9000, 50), true).Number, qt.Equals, first.Number)
	for port := uint16(1); port <= 30; port++ {
		p := syn(0)
		p.From = netip.AddrPortFrom(client.Addr(), port)
		c.Check(h.HandlePacket(40, p, true).Number, qt.Not(qt.Equals), first.Number)
	}
}

// TestServicesStayApart opens flows on two routes and checks that each goes to a
// server of the service of its route.
func TestServicesStayApart(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	for port := uint16(1); port <= 500; port++ {
		p := syn(0)
		p.From = netip.AddrPortFrom(client.Addr(), port)
		if port%2 == 0 {
			p.To = routeY
		}
		a := h.HandlePacket(clock.Millis(port), p, true)
		c.Assert(a.Number == 4, qt.Equals, port%2 == 0)
	}
}

// TestFlowOfAnEndedServer guards against a reset in the place of a server that is marked as
// ended: a late announcement of another server at its address can mark a running one, and
// retransmissions don't tell a slow server from one that has ended.
func TestFlowOfAnEndedServer(t *testing.T) {
	tests := []struct {
		name    string
		endedAt clock.Millis
		answers bool
		at      clock.Millis
	}{
		{"not ended", 0, false, 4000},
		{"ended before the request and does not answer", 950, false, 1600},
		{"ended after a retransmission, one unanswered since", 1250, false, 2400},
		{"ended after a retransmission and does not answer", 1250, false, 4000},
		{"ended but still answers", 1250, true, 1600},
		{"ended for long but still answers", 1250, true, 4000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newCore(1)
			first := h.HandlePacket(10, syn(0), true)
			h.HandlePacket(20, data(first.Token, 9000, 0), true)
			for _, now := range []clock.Millis{1000, 1200, 1600, 2400, 4000} {
				if test.endedAt > 0 && test.endedAt < now {
					s := core.ServerUpdate{Record: record(int(first.Number), "x", 1), Ended: true}
					h.Learn(test.endedAt, &core.Update{Servers: []core.ServerUpdate{s}})
				}
				ack := uint32(9000)
				if test.answers && now == test.at {
					ack = 9100
				}
				if now <= test.at {
					a := h.HandlePacket(now, data(first.Token, ack, 50), true)
					c.Check(a.Verdict, qt.Equals, core.Forward, qt.Commentf("at %d", now))
					c.Check(a.Number, qt.Equals, first.Number)
				}
			}
		})
	}
}

// TestRequestOfAMovedFlowEnds covers a flow that moves to another host while a
// request is in flight. This host sees no further packets of it, and must stop
// counting the request as load before the timeout of the route.
func TestRequestOfAMovedFlowEnds(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	first := h.HandlePacket(10, syn(0), true)
	h.HandlePacket(20, data(first.Token, 9000, 50), true)
	var load float32
	for now := clock.Millis(100); now <= 1500; now += 100 {
		c.Check(h.Tick(now), qt.HasLen, 0)
		for _, s := range h.Loads() {
			load = s.InFlight
		}
	}
	c.Assert(load > 0, qt.IsTrue)
	for now := clock.Millis(1600); now <= 6000; now += 100 {
		h.Tick(now)
	}
	c.Check(h.Loads(), qt.HasLen, 0)
}

// TestFlowsBeyondTheLimitAreForwardedUntracked opens more flows than MaxFlows. All
// must be forwarded. The untracked ones must not count as load, because no sweep
// would remove that load.
func TestFlowsBeyondTheLimitAreForwardedUntracked(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	for i := range 3000 {
		p := syn(0)
		p.From = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 7)
		a := h.HandlePacket(10, p, true)
		c.Assert(a.Verdict, qt.Equals, core.Forward)
		request := *data(a.Token, 9000, 50)
		request.From = p.From
		c.Assert(h.HandlePacket(11, &request, true).Number, qt.Equals, a.Number)
	}
	c.Check(h.Flows(), qt.Equals, 1000)
	for now := clock.Millis(100); now <= 30_000; now += 100 {
		h.Tick(now)
	}
	c.Check(h.Flows(), qt.Equals, 0)
	c.Check(h.Loads(), qt.HasLen, 0)
}

// TestMovedOpeningThatIsGivenUpIsReported moves an opening packet to another server,
// which does not answer either.
func TestMovedOpeningThatIsGivenUpIsReported(t *testing.T) {
	c := qt.New(t)
	h := newCore(1)
	openMoved(c, h)
	var timeouts []core.Timeout
	for now := clock.Millis(700); now <= 3000; now += 100 {
		timeouts = append(timeouts, h.Tick(now)...)
	}
	c.Assert(timeouts, qt.HasLen, 1)
	c.Check(timeouts[0].Established, qt.IsFalse)
}

// TestNeverGoesBackToAnOlderTable offers tables in a random order, as from control hosts
// of which some lag behind. The version in force must never decrease.
func TestNeverGoesBackToAnOlderTable(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 4))
		h := newCore(seed)
		for now := clock.Millis(10); now < 400; now += 10 {
			before, offered := h.Version(), uint64(1+r.IntN(20))
			accepted := h.Configure(now, table(offered, routeX))
			qt.Check(t, accepted, qt.Equals, offered > before)
			qt.Check(t, h.Version(), qt.Equals, max(before, offered))
		}
	}
}
