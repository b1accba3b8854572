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
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/token/mint"
)

var (
	routeX = netip.MustParseAddrPort("198.18.0.1:443")
	routeY = netip.MustParseAddrPort("198.18.0.2:443")
	caller = netip.MustParseAddrPort("100.64.0.7:40001")
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

// newHost returns a Core with servers 1 to 3 of service x and 4 of service y.
func newHost(seed uint64) *core.Core {
	c := core.New(core.Options{
		Centre: "a", DefaultIdle: 15_000, MaxFlows: 1000,
		Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: 90_000, Follower: true},
	}, rand.New(rand.NewPCG(seed, 1)))
	u := core.Update{}
	for n := 1; n <= 4; n++ {
		service := "x"
		if n == 4 {
			service = "y"
		}
		u.Servers = append(u.Servers, core.ServerNews{Record: record(n, service, 1)})
	}
	c.Learn(1, &u)
	c.Configure(1, table(1, routeX, routeY))
	return c
}

func syn(copies uint32) *core.Packet {
	return &core.Packet{From: caller, To: routeX, Seq: 100, Ack: copies, Open: true}
}

func data(token mint.Token, ack uint32, length int) *core.Packet {
	return &core.Packet{From: caller, To: routeX, Seq: 101, Ack: ack, Length: length, Token: token}
}

// TestAnyHostRoutesAnOpenFlow sends each packet of a flow through another host
// that has just started.
func TestAnyHostRoutesAnOpenFlow(t *testing.T) {
	c := qt.New(t)
	first := newHost(1).Packet(10, syn(0), true)
	c.Assert(first.Verdict, qt.Equals, core.Forward)
	for seed := range uint64(20) {
		a := newHost(seed).Packet(500, data(first.Token, 9000, 50), false)
		c.Check(a.Verdict, qt.Equals, core.Forward)
		c.Check(a.Number, qt.Equals, first.Number)
		c.Check(a.Token, qt.Equals, first.Token)
	}
}

func TestCopiesGoToTheSameServer(t *testing.T) {
	c := qt.New(t)
	h := newHost(1)
	first := h.Packet(10, syn(0), true)
	// Another flow shows that the server answers.
	other := *data(first.Token, 77, 10)
	other.From = netip.MustParseAddrPort("100.64.0.8:1")
	h.Packet(100, &other, true)
	for copies := uint32(1); copies <= 2; copies++ {
		other.Ack += 100
		h.Packet(clock.Millis(200*copies), &other, true)
		a := h.Packet(clock.Millis(210*copies), syn(copies), true)
		c.Check(a.Number, qt.Equals, first.Number, qt.Commentf("copy %d", copies))
	}
}

func TestCopyLeavesAServerThatDoesNotAnswer(t *testing.T) {
	c := qt.New(t)
	h := newHost(1)
	first := h.Packet(10, syn(0), true)
	moved := h.Packet(210, syn(1), true)
	c.Check(moved.Verdict, qt.Equals, core.Forward)
	c.Check(moved.Number, qt.Not(qt.Equals), first.Number)
	c.Check(moved.Reason, qt.Equals, core.MovedFlow)
	// New flows avoid it too.
	for port := uint16(1); port <= 30; port++ {
		p := syn(0)
		p.From = netip.AddrPortFrom(caller.Addr(), port)
		c.Check(h.Packet(250, p, true).Number, qt.Not(qt.Equals), first.Number)
	}
}

// TestLateTokenIsCorrected has the caller answer one server and then receive the
// token of another one, to which a copy of its opening packet went.
func TestLateTokenIsCorrected(t *testing.T) {
	c := qt.New(t)
	h := newHost(1)
	first := h.Packet(10, syn(0), true)
	second := h.Packet(210, syn(1), true)
	c.Assert(second.Number, qt.Not(qt.Equals), first.Number)
	c.Check(h.Packet(220, data(second.Token, 9000, 0), true).Number, qt.Equals, second.Number)
	a := h.Packet(230, data(first.Token, 9000, 50), true)
	c.Check(a.Number, qt.Equals, second.Number)
	c.Check(a.Token, qt.Equals, second.Token)
	c.Check(a.Reason, qt.Equals, core.CorrectedToken)
}

func TestVerdicts(t *testing.T) {
	nowhere := netip.MustParseAddrPort("198.18.0.9:443")
	tests := []struct {
		name    string
		setUp   func(h *core.Core)
		packet  core.Packet
		settled bool
		verdict core.Verdict
		reason  core.Reason
	}{
		{"no route", nil, core.Packet{From: caller, To: nowhere, Open: true}, true, core.Reset, core.NoRoute},
		{"no route as far as known", nil, core.Packet{From: caller, To: nowhere, Open: true}, false, core.Drop, core.NoRoute},
		{"unknown token", nil, *data(12345, 1, 0), true, core.Drop, core.UnknownToken},
		{
			"route removed", func(h *core.Core) { h.Configure(5, table(2, routeY)) },
			*data(mint.Candidate("i-1", 1, 0), 1, 0), true, core.Reset, core.RouteRemoved,
		},
		{
			"older table", func(h *core.Core) {
				h.Configure(5, table(3, routeX))
				h.Configure(6, table(2, routeY))
			}, *syn(0), true, core.Forward, core.NewFlow,
		},
		{
			"server started again", func(h *core.Core) {
				h.Learn(5, &core.Update{Servers: []core.ServerNews{{Record: record(1, "x", 2)}}})
			}, *data(mint.Candidate("i-1", 1, 0), 1, 0), true, core.Reset, core.ServerEnded,
		},
		{
			"address taken by another service", func(h *core.Core) {
				r := record(9, "y", 7)
				r.Address = record(1, "x", 1).Address
				h.Learn(5, &core.Update{Servers: []core.ServerNews{{Record: r}}})
			}, *data(mint.Candidate("i-1", 1, 0), 1, 0), true, core.Reset, core.ServerEnded,
		},
		{
			"no server left", func(h *core.Core) {
				u := core.Update{}
				for n := 1; n <= 3; n++ {
					r := record(n, "x", 1)
					r.Seq, r.State = 2, fleet.Draining
					u.Servers = append(u.Servers, core.ServerNews{Record: r})
				}
				h.Learn(5, &u)
			}, *syn(0), true, core.Reset, core.NoServer,
		},
		{
			"no server left as far as known", func(h *core.Core) {
				u := core.Update{}
				for n := 1; n <= 3; n++ {
					r := record(n, "x", 1)
					r.Seq, r.State = 2, fleet.Draining
					u.Servers = append(u.Servers, core.ServerNews{Record: r})
				}
				h.Learn(5, &u)
			}, *syn(0), false, core.Drop, core.NoServer,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHost(1)
			if test.setUp != nil {
				test.setUp(h)
			}
			a := h.Packet(10_000, &test.packet, test.settled)
			c.Check(a.Verdict, qt.Equals, test.verdict)
			c.Check(a.Reason, qt.Equals, test.reason)
		})
	}
}

// TestDrainingServerKeepsItsFlows gives it no new ones.
func TestDrainingServerKeepsItsFlows(t *testing.T) {
	c := qt.New(t)
	h := newHost(1)
	first := h.Packet(10, syn(0), true)
	r := record(int(first.Number), "x", 1)
	r.Seq, r.State = 2, fleet.Draining
	h.Learn(20, &core.Update{Servers: []core.ServerNews{{Record: r}}})
	c.Check(h.Packet(30, data(first.Token, 9000, 50), true).Number, qt.Equals, first.Number)
	for port := uint16(1); port <= 30; port++ {
		p := syn(0)
		p.From = netip.AddrPortFrom(caller.Addr(), port)
		c.Check(h.Packet(40, p, true).Number, qt.Not(qt.Equals), first.Number)
	}
}

// TestServicesStayApart opens many flows of both routes.
func TestServicesStayApart(t *testing.T) {
	c := qt.New(t)
	h := newHost(1)
	for port := uint16(1); port <= 500; port++ {
		p := syn(0)
		p.From = netip.AddrPortFrom(caller.Addr(), port)
		if port%2 == 0 {
			p.To = routeY
		}
		a := h.Packet(clock.Millis(port), p, true)
		c.Assert(a.Number == 4, qt.Equals, port%2 == 0)
	}
}

// TestFlowOfAnEndedServer resets it at once when the server answers nothing, and
// leaves it alone for a while when it does: an announcement that was held up can
// make a server look as if another one had taken its address.
func TestFlowOfAnEndedServer(t *testing.T) {
	tests := []struct {
		name    string
		ended   bool
		answers bool
		at      clock.Millis
		want    core.Verdict
	}{
		{"in use", false, false, 1300, core.Forward},
		{"ended and unanswered", true, false, 1300, core.Reset},
		{"ended but answers", true, true, 1300, core.Forward},
		{"ended long ago", true, true, 3000, core.Reset},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHost(1)
			first := h.Packet(10, syn(0), true)
			h.Packet(20, data(first.Token, 9000, 0), true)
			h.Packet(1000, data(first.Token, 9000, 50), true)
			h.Packet(1200, data(first.Token, 9000, 50), true)
			if test.ended {
				news := core.ServerNews{Record: record(int(first.Number), "x", 1), Ended: true}
				h.Learn(1250, &core.Update{Servers: []core.ServerNews{news}})
			}
			ack := uint32(9000)
			if test.answers {
				ack = 9100
			}
			c.Check(h.Packet(test.at, data(first.Token, ack, 50), true).Verdict, qt.Equals, test.want)
		})
	}
}

// TestRequestOfAMovedFlowEnds has a flow go on through another host while its
// request is in progress: it must not count here until the timeout of its route.
func TestRequestOfAMovedFlowEnds(t *testing.T) {
	c := qt.New(t)
	h := newHost(1)
	first := h.Packet(10, syn(0), true)
	h.Packet(20, data(first.Token, 9000, 50), true)
	var load float32
	for now := clock.Millis(100); now <= 1500; now += 100 {
		c.Check(h.Tick(now), qt.HasLen, 0)
		for _, s := range h.Loads() {
			load = s.Busy
		}
	}
	c.Assert(load > 0, qt.IsTrue)
	for now := clock.Millis(1600); now <= 6000; now += 100 {
		h.Tick(now)
	}
	c.Check(h.Loads(), qt.HasLen, 0)
}

// TestFullTableRoutesOn opens more flows than the table holds: all are forwarded,
// and none of those that are not remembered counts as load for ever.
func TestFullTableRoutesOn(t *testing.T) {
	c := qt.New(t)
	h := newHost(1)
	for i := range 3000 {
		p := syn(0)
		p.From = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 7)
		a := h.Packet(10, p, true)
		c.Assert(a.Verdict, qt.Equals, core.Forward)
		reply := *data(a.Token, 9000, 50)
		reply.From = p.From
		c.Assert(h.Packet(11, &reply, true).Number, qt.Equals, a.Number)
	}
	c.Check(h.Flows(), qt.Equals, 1000)
	for now := clock.Millis(100); now <= 30_000; now += 100 {
		h.Tick(now)
	}
	c.Check(h.Flows(), qt.Equals, 0)
	c.Check(h.Loads(), qt.HasLen, 0)
}
