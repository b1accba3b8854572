package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// claim is an update that says that the server of a flow has ended.
type claim struct {
	name   string
	record func(server fleet.Record) core.ServerUpdate
}

// claims are the updates that make the server of a flow look ended although it may run.
var claims = []claim{
	{"restarted under its ID before the relay knew", func(s fleet.Record) core.ServerUpdate {
		s.Started += 500
		return core.ServerUpdate{Record: s}
	}},
	{"restarted with an earlier start", func(s fleet.Record) core.ServerUpdate {
		s.Started -= 500
		return core.ServerUpdate{Record: s}
	}},
	{"removal without a quorum", func(s fleet.Record) core.ServerUpdate {
		s.State = fleet.Left
		return core.ServerUpdate{Record: s, Ended: true}
	}},
	{"ended by a control host", func(s fleet.Record) core.ServerUpdate {
		return core.ServerUpdate{Record: s, Ended: true}
	}},
	{"another address under its ID", func(s fleet.Record) core.ServerUpdate {
		s.Started, s.Address = s.Started+500, netip.MustParseAddrPort("10.0.0.99:80")
		return core.ServerUpdate{Record: s}
	}},
}

// openFlow opens a flow on h and returns the action of its opening and the record of its
// server. The start of servers is 1000.
func openFlow(c *qt.C, h *core.Core) (core.Action, fleet.Record) {
	a := h.HandlePacket(10, syn(0), true)
	c.Assert(a.Verdict, qt.Equals, core.Forward)
	return a, startedRecord(int(a.Number))
}

func startedRecord(n int) fleet.Record { return record(n, "x", 1000) }

// newStartedCore returns a Core that knows servers 1 to 3 of service x with the start 1000.
func newStartedCore(seed uint64) *core.Core {
	h := newBareCore(seed)
	u := core.Update{}
	for n := 1; n <= 3; n++ {
		u.Servers = append(u.Servers, core.ServerUpdate{Record: startedRecord(n)})
	}
	h.Learn(1, &u)
	h.Configure(1, table(1, routeX))
	return h
}

// TestAnsweringServerKeepsItsFlows guards against resets of open flows on claims about
// their server that it contradicts by its answers, on the host of the opening and on others.
func TestAnsweringServerKeepsItsFlows(t *testing.T) {
	for _, test := range claims {
		for _, opener := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				c := qt.New(t)
				h := newStartedCore(1)
				first, server := openFlow(c, h)
				if !opener {
					h = newStartedCore(2)
				}
				ack := uint32(9000)
				h.HandlePacket(20, data(first.Token, ack, 0), true)
				h.Learn(100, &core.Update{Servers: []core.ServerUpdate{test.record(server)}})
				for now := clock.Millis(200); now < 20_000; now += 400 {
					h.Tick(now)
					request := data(first.Token, ack, 50)
					request.Seq = ack
					a := h.HandlePacket(now, request, true)
					c.Assert(a.Verdict, qt.Equals, core.Forward, qt.Commentf("%s at %d", a.Reason, now))
					c.Assert(a.Server, qt.Equals, first.Server)
					c.Assert(a.Number, qt.Equals, first.Number)
					ack += 100
					acknowledgement := data(first.Token, ack, 0)
					acknowledgement.Seq = ack
					c.Assert(h.HandlePacket(now+40, acknowledgement, true).Verdict, qt.Equals, core.Forward)
				}
			})
		}
	}
}

// TestIdleFlowIsNotResetOnAClaim guards against a reset of the first packet after a pause,
// which nothing has left unanswered.
func TestIdleFlowIsNotResetOnAClaim(t *testing.T) {
	for _, test := range claims {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newStartedCore(1)
			first, server := openFlow(c, h)
			h.HandlePacket(20, data(first.Token, 9000, 0), true)
			h.Learn(100, &core.Update{Servers: []core.ServerUpdate{test.record(server)}})
			a := h.HandlePacket(9000, data(first.Token, 9000, 50), true)
			c.Check(a.Verdict, qt.Equals, core.Forward)
			c.Check(a.Server, qt.Equals, first.Server)
		})
	}
}

// TestFlowOfASilentEndedServerGoesToItsAddress guards against any other end of a flow than by
// its server, or by the successor at its address, however long the server is silent.
func TestFlowOfASilentEndedServerGoesToItsAddress(t *testing.T) {
	for _, test := range claims {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newStartedCore(1)
			first, server := openFlow(c, h)
			h.HandlePacket(20, data(first.Token, 9000, 0), true)
			h.Learn(100, &core.Update{Servers: []core.ServerUpdate{test.record(server)}})
			for _, p := range []struct {
				from netip.AddrPort
				at   clock.Millis
			}{
				{client, 9000},
				{client, 9200},
				{client, 9600},
				{otherClient, 9800},
				{otherClient, 10_000},
				{otherClient, 10_300},
				{netip.MustParseAddrPort("100.64.0.9:1"), 10_400},
				{client, 20_000},
				{client, 60_000},
			} {
				d := data(first.Token, 9000, 50)
				d.From = p.from
				h.Tick(p.at)
				a := h.HandlePacket(p.at, d, true)
				c.Check(a.Verdict, qt.Equals, core.Forward, qt.Commentf("%s at %d", a.Reason, p.at))
				c.Check(a.Server, qt.Equals, first.Server)
				c.Check(a.Number, qt.Equals, first.Number)
			}
		})
	}
}

// TestSuccessorAtTheAddressIsAsked guards against a client that waits for its deadline although the server that runs in the place of its own
// could tell it, and against packets at a server of another service.
func TestSuccessorAtTheAddressIsAsked(t *testing.T) {
	for _, test := range []struct {
		name    string
		ended   bool
		service string
		left    bool
		length  int
		want    uint64
		movedTo string
	}{
		{"a server of the service", true, "x", false, 50, 9, ""},
		{"an acknowledgement", true, "x", false, 0, 0, ""},
		{"a server of another service", true, "y", false, 50, 0, ""},
		{"no claim", false, "x", false, 50, 0, ""},
		{"one that has left again", true, "x", true, 50, 0, ""},
		{"one that has moved", true, "x", false, 50, 0, "10.0.0.99:80"},
	} {
		for _, later := range []bool{true, false} {
			t.Run(test.name, func(t *testing.T) {
				c := qt.New(t)
				h := newStartedCore(1)
				first, server := openFlow(c, h)
				h.HandlePacket(20, data(first.Token, 9000, 0), true)
				next := record(9, test.service, 2000)
				next.Address = server.Address
				if later {
					learn(h, 100, next, false)
					learn(h, 110, server, test.ended)
				} else {
					learn(h, 100, server, test.ended)
					learn(h, 110, next, false)
				}
				next.Seq++
				if test.left {
					next.State = fleet.Left
					learn(h, 120, next, true)
				}
				if test.movedTo != "" {
					next.Address = netip.MustParseAddrPort(test.movedTo)
					learn(h, 120, next, false)
				}
				for i, want := range []uint64{0, test.want} {
					a := h.HandlePacket(clock.Millis(1000+200*i), data(first.Token, 9000, test.length), true)
					c.Check(a.Verdict, qt.Equals, core.Forward)
					c.Check(a.Server, qt.Equals, first.Server)
					c.Check(a.Number, qt.Equals, first.Number)
					c.Check(a.AskedNumber, qt.Equals, want, qt.Commentf("transmission %d", i))
				}
			})
		}
	}
}

// TestCopyOfAnOpeningIsNeverReset guards against resets of flows that an earlier transmission
// has opened through another host.
func TestCopyOfAnOpeningIsNeverReset(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(h *core.Core)
	}{
		{"route not known yet", func(h *core.Core) { h.Configure(1, table(1, routeY)) }},
		{"route removed", func(h *core.Core) {
			h.Configure(1, table(1, routeX, routeY))
			h.Configure(2, table(2, routeY))
		}},
		{"no server known yet", func(h *core.Core) { h.Configure(1, table(1, routeX)) }},
		{"all servers draining", func(h *core.Core) {
			u := core.Update{}
			for n := 1; n <= 3; n++ {
				r := startedRecord(n)
				r.State = fleet.Draining
				u.Servers = append(u.Servers, core.ServerUpdate{Record: r})
			}
			h.Learn(1, &u)
			h.Configure(1, table(1, routeX))
		}},
	}
	for _, test := range tests {
		for attempt := uint32(0); attempt <= 2; attempt++ {
			h := newBareCore(1)
			test.setUp(h)
			want := core.Drop
			if attempt == 0 {
				want = core.Reset
			}
			qt.Check(t, h.HandlePacket(10, syn(attempt), true).Verdict, qt.Equals, want, qt.Commentf("%s, transmission %d", test.name, attempt))
		}
	}
}

// TestRemovedRouteEndsNoLaterFlow guards against a reset, by a host that lags, of a flow that
// another host has opened after the route was added again.
func TestRemovedRouteEndsNoLaterFlow(t *testing.T) {
	c := qt.New(t)
	ahead, behind := newStartedCore(1), newStartedCore(2)
	earlier := behind.HandlePacket(10, syn(0), true)
	earlierPacket := *data(earlier.Token, 9000, 50)
	behind.HandlePacket(20, &earlierPacket, true)
	for _, h := range []*core.Core{ahead, behind} {
		h.Configure(1000, table(2, routeY))
	}
	ahead.Configure(1100, table(3, routeX, routeY))
	p := syn(0)
	p.From = netip.MustParseAddrPort("100.64.0.8:1")
	later := ahead.HandlePacket(1200, p, true)
	c.Assert(later.Verdict, qt.Equals, core.Forward)
	laterPacket := *data(later.Token, 7000, 50)
	laterPacket.From = p.From
	for now := clock.Millis(1210); now < 8000; now += 500 {
		a := behind.HandlePacket(now, &laterPacket, true)
		c.Assert(a.Verdict, qt.Equals, core.Forward, qt.Commentf("at %d", now))
		c.Assert(a.Number, qt.Equals, later.Number)
	}
	c.Check(behind.HandlePacket(1300, &earlierPacket, true).Reason, qt.Equals, core.RouteRemoved)
}

// TestOpeningThatWaitedIsNotReset guards against a reset of a flow whose copy has opened it
// through another host while the first transmission waited on this one.
func TestOpeningThatWaitedIsNotReset(t *testing.T) {
	for _, test := range []struct {
		name   string
		waited clock.Millis
		want   core.Verdict
	}{
		{"long before the first copy", 99, core.Reset},
		{"when the first copy may be sent before the reset", 100, core.Drop},
		{"after the first copy", 200, core.Drop},
	} {
		for _, full := range []bool{false, true} {
			h := newBareCore(1)
			if full {
				h = newStartedCore(1)
			}
			h.Configure(1, table(1, routeX))
			p := syn(0)
			p.Waited, p.LinkFull = test.waited, full
			qt.Check(t, h.HandlePacket(1000, p, true).Verdict, qt.Equals, test.want, qt.Commentf("%s, link full %t", test.name, full))
			p.To = netip.MustParseAddrPort("198.18.0.9:443")
			qt.Check(t, h.HandlePacket(1000, p, true).Verdict, qt.Equals, test.want, qt.Commentf("%s, no route", test.name))
		}
	}
}

// TestIncarnationThatReturnsKeepsItsToken guards against forgetting the token of a server
// whose record a wrong one had replaced for a while.
func TestIncarnationThatReturnsKeepsItsToken(t *testing.T) {
	c := qt.New(t)
	h := newStartedCore(1)
	wrong, right := startedRecord(1), startedRecord(1)
	wrong.Started += 500
	h.Learn(100, &core.Update{Servers: []core.ServerUpdate{{Record: wrong}}})
	right.Seq = 9
	h.Learn(5000, &core.Update{Servers: []core.ServerUpdate{{Record: right}}})
	for now := clock.Millis(5000); now < 200_000; now += 500 {
		h.Tick(now)
	}
	a := h.HandlePacket(200_000, data(tokens.Candidate("i-1", 1000, 0), 9000, 50), true)
	c.Check(a.Verdict, qt.Equals, core.Forward)
	c.Check(a.Number, qt.Equals, uint64(1))
}
