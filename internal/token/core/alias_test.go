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

// TestLaterRelayKnowsTheTokenOfAnEarlierIncarnation guards against an open flow without an answer on a relay that was started after its server.
func TestLaterRelayKnowsTheTokenOfAnEarlierIncarnation(t *testing.T) {
	c := qt.New(t)
	h := newBareCore(1)
	h.Configure(1, table(1, routeX))
	restarted := startedRecord(1)
	h.Learn(10, &core.Update{Servers: []core.ServerUpdate{{Record: restarted}}})
	earlier := data(tokens.Candidate("i-1", 900, 0), 9000, 50)
	c.Check(h.HandlePacket(20, earlier, true).Reason, qt.Equals, core.UnknownToken)
	h.Learn(30, &core.Update{Servers: []core.ServerUpdate{{Record: restarted, Aliases: []fleet.Alias{{Started: 900, Age: 500}}}}})
	a := h.HandlePacket(40, earlier, true)
	c.Check(a.Verdict, qt.Equals, core.Forward)
	c.Check(a.Server, qt.Equals, restarted.Address)
	c.Check(a.Token, qt.Equals, earlier.Token)
	c.Check(a.Claim, qt.Equals, core.NoClaim)
	h.Tick(160_000)
	c.Check(h.HandlePacket(160_000, earlier, true).Token, qt.Equals, tokens.Candidate("i-1", 1000, 0))
	h.Tick(301_000)
	other := data(tokens.Candidate("i-1", 900, 0), 9000, 50)
	other.From = netip.MustParseAddrPort("100.64.0.8:1")
	c.Check(h.HandlePacket(301_000, other, true).Reason, qt.Equals, core.UnknownToken)
}

// TestRecordJustHeardLeavesTheTokenOfAnOpenFlow guards against a token in the packets of an open flow that the next relay has not heard of.
func TestRecordJustHeardLeavesTheTokenOfAnOpenFlow(t *testing.T) {
	for _, opener := range []bool{true, false} {
		c := qt.New(t)
		h, behind := newStartedCore(1), newStartedCore(2)
		first, server := openFlow(c, h)
		h.HandlePacket(20, data(first.Token, 9000, 0), true)
		if !opener {
			h = newStartedCore(3)
		}
		server.Started += 500
		learn(h, 100, server, false)
		token := first.Token
		for i := range uint32(4) {
			p := data(token, 9000+100*i, 50)
			p.Seq += 50 * i
			a := h.HandlePacket(clock.Millis(120+100*i), p, true)
			c.Check(a.Number, qt.Equals, first.Number)
			token = a.Token
		}
		a := behind.HandlePacket(600, data(token, 9400, 50), true)
		c.Check(a.Verdict, qt.Equals, core.Forward, qt.Commentf("opener %t: %s", opener, a.Reason))
		c.Check(a.Server, qt.Equals, first.Server)
	}
}
