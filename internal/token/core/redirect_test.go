package core_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// TestAddressUnderTheSameStartRedirectsNoFlow guards against packets of open flows at another address after another writer's record of a server that names no start.
func TestAddressUnderTheSameStartRedirectsNoFlow(t *testing.T) {
	for _, host := range []string{"opened it", "has adopted it", "doesn't know it"} {
		for _, start := range []clock.Millis{0, 1000} {
			c := qt.New(t)
			h := newBareCore(1)
			right := record(1, "x", start)
			learn(h, 5, right, false)
			h.Configure(5, table(1, routeX))
			token := tokens.Candidate("i-1", start, 0)
			if host == "opened it" {
				h.HandlePacket(10, syn(0), true)
			}
			if host != "doesn't know it" {
				h.HandlePacket(20, data(token, 9000, 0), true)
			}
			wrong := right
			wrong.Seq, wrong.Address = 50, netip.MustParseAddrPort("10.0.0.99:80")
			learn(h, 100, wrong, false)
			for i := range uint32(3) {
				p := data(token, 9000+100*i, 50)
				p.Seq += 50 * i
				a := h.HandlePacket(clock.Millis(300+200*i), p, true)
				c.Check(a.Server, qt.Equals, right.Address, qt.Commentf("host that %s, start %d, packet %d", host, start, i))
			}
		}
	}
}

// TestPortUsedAgainGoesToItsOwnServer guards against packets of a flow at the server of an earlier flow of its client's port, whose numbers happen to be near.
func TestPortUsedAgainGoesToItsOwnServer(t *testing.T) {
	c := qt.New(t)
	h := newStartedCore(1)
	first, _ := openFlow(c, h)
	h.HandlePacket(20, data(first.Token, 9000, 50), true)
	// The flow ends, and the next one opens, through another host.
	other := uint64(1)
	if first.Number == 1 {
		other = 2
	}
	for i := range 3 {
		p := data(tokens.Candidate(fmt.Sprint("i-", other), 1000, 0), 9000+1<<25, 50)
		p.Seq = 1<<31 + 50*uint32(i)
		a := h.HandlePacket(clock.Millis(5000+200*i), p, true)
		c.Check(a.Number, qt.Equals, other, qt.Commentf("%s", a.Reason))
	}
}

// TestLateAnswerOfAMovedOpeningLeadsNoPacketToItsServer guards against packets of a flow at the server that was only slow to answer its opening.
func TestLateAnswerOfAMovedOpeningLeadsNoPacketToItsServer(t *testing.T) {
	c := qt.New(t)
	h, next := newStartedCore(1), newStartedCore(2)
	// The server answers openings after 300 ms, and the others at once.
	slow := h.HandlePacket(10, syn(0), true)
	quick := h.HandlePacket(210, syn(1), true)
	if quick.Number == slow.Number {
		return
	}
	// The client takes the first answer, sends its request, and then gets the late answer with its token.
	c.Check(h.HandlePacket(215, data(quick.Token, 9000, 50), true).Number, qt.Equals, quick.Number)
	// The request takes 500 ms. Its retransmission comes through the next host, as a release restarts the first one.
	a := next.HandlePacket(415, data(slow.Token, 9000, 50), true)
	c.Check(a.Number, qt.Equals, quick.Number)
}

// TestHostThatAdoptsByALateTokenFollowsTheRightOne guards against packets with the right token that a host sends to the server of a wrong one.
func TestHostThatAdoptsByALateTokenFollowsTheRightOne(t *testing.T) {
	c := qt.New(t)
	h, next := newStartedCore(1), newStartedCore(2)
	slow, quick := openMoved(c, h)
	next.HandlePacket(815, data(slow.Token, 9000, 50), true)
	// The server has acknowledged the request, which came through the first host as well, with its token.
	for i := range 3 {
		p := data(quick.Token, 9000, 50)
		p.Seq = 151
		a := next.HandlePacket(clock.Millis(820+200*i), p, true)
		c.Check(a.Number, qt.Equals, quick.Number, qt.Commentf("%s", a.Reason))
	}
}

// TestFirstCopyOfAnOpeningStaysWithItsServer guards against two answers to an opening, of which a link has lost or delayed the first one.
func TestFirstCopyOfAnOpeningStaysWithItsServer(t *testing.T) {
	for seed := range uint64(20) {
		for _, silent := range []bool{false, true} {
			h := newStartedCore(seed)
			first := h.HandlePacket(10, syn(0), true)
			// Other flows have found that the server doesn't answer, and it may be silent.
			for port := uint16(1); port <= 5; port++ {
				p := syn(0)
				p.From = netip.AddrPortFrom(client.Addr(), port)
				h.HandlePacket(11, p, true)
				p.Ack = 1
				h.HandlePacket(205, p, true)
			}
			h.Learn(206, &core.Update{Silence: func(id string) (bool, bool) { return silent && id == first.ServerID, true }})
			a := h.HandlePacket(210, syn(1), true)
			qt.Check(t, a.Number, qt.Equals, first.Number, qt.Commentf("seed %d, silent %t", seed, silent))
		}
	}
}

// TestTokenThatStaysIsKnownToLaterRelays guards against open flows without an answer on a relay that was started while another writer goes on.
func TestTokenThatStaysIsKnownToLaterRelays(t *testing.T) {
	for _, writes := range []int{3, 6} {
		c := qt.New(t)
		h := newStartedCore(1)
		first, server := openFlow(c, h)
		h.HandlePacket(20, data(first.Token, 9000, 0), true)
		control := fleet.New(fleet.Options{SilentAfter: 5000, ForgetAfter: 90_000, ReuseAfter: 3000, Interval: 1200})
		control.Apply(1, 1, server, true)
		token, now := first.Token, clock.Millis(100)
		for i := range writes {
			server.Started += 500
			control.Apply(now, now, server, true)
			learn(h, now, server, false)
			p := data(token, 9000+100*uint32(i), 50)
			p.Seq += 50 * uint32(i)
			a := h.HandlePacket(now+50, p, true)
			c.Assert(a.Number, qt.Equals, first.Number)
			token = a.Token
			now += 1200
		}
		later := newBareCore(2)
		later.Configure(now, table(1, routeX))
		held := control.Find(server.ID)
		later.Learn(now, &core.Update{Servers: []core.ServerUpdate{{Record: held.Record, Aliases: held.Aliases(now)}}})
		a := later.HandlePacket(now+100, data(token, 9900, 50), true)
		c.Check(a.Verdict, qt.Equals, core.Forward, qt.Commentf("%d records: %s", writes, a.Reason))
	}
}

// TestHostThatLagsLeavesADistinctToken guards against the return of a token that two servers share to the packets of an open flow.
func TestHostThatLagsLeavesADistinctToken(t *testing.T) {
	c := qt.New(t)
	seen, r := map[tokens.Token]string{}, rand.New(rand.NewPCG(1, 2))
	var x, y string
	for x == "" {
		id := fmt.Sprintf("i-%x", r.Uint64())
		token := tokens.Candidate(id, 0, 0)
		if before := seen[token]; before != "" {
			x, y = max(before, id), min(before, id)
		}
		seen[token] = id
	}
	recordOf := func(id string, n int) fleet.Record {
		s := record(n, "x", 0)
		s.ID = id
		return s
	}
	learned := func(seed uint64, ids ...string) *core.Core {
		h := newBareCore(seed)
		for i, id := range ids {
			n := 1 + i
			if id == x {
				n = 7
			}
			learn(h, 1, recordOf(id, n), false)
		}
		h.Configure(1, table(1, routeX))
		return h
	}
	ahead, lagging := learned(1, x, y), learned(2, x)
	var first core.Action
	for port := uint16(1); first.Number != 7; port++ {
		p := syn(0)
		p.From = netip.AddrPortFrom(client.Addr(), port)
		first = ahead.HandlePacket(10, p, true)
	}
	middle := lagging.HandlePacket(100, data(first.Token, 9000, 50), true)
	c.Assert(middle.Number, qt.Equals, uint64(7))
	last := learned(3, x, y).HandlePacket(200, data(middle.Token, 9000, 50), true)
	c.Check(last.Number, qt.Equals, uint64(7))
}
