package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

var thirdClient = netip.MustParseAddrPort("100.64.0.9:1")

// TestSilenceOlderThanTheClaimEndsNoFlow guards against resets on packets that went unanswered while the server was cut off.
func TestSilenceOlderThanTheClaimEndsNoFlow(t *testing.T) {
	type packet struct {
		at   clock.Millis
		from netip.AddrPort
	}
	cut := []packet{{1000, client}, {1200, client}, {1600, client}, {2400, client}}
	claimedCut := []packet{{1000, client}, {1200, client}, {1600, client}, {1800, otherClient}, {2000, otherClient}}
	tests := []struct {
		name string
		// claims are the times at which the claim begins and is withdrawn in turn.
		claims  []clock.Millis
		packets []packet
		last    packet
	}{
		{"no claim during the cut, then another flow", []clock.Millis{9000}, cut, packet{9500, otherClient}},
		{"no claim during the cut, then another flow at once", []clock.Millis{2450}, cut, packet{2500, otherClient}},
		{"no claim during the cut, then the same flow", []clock.Millis{2450}, cut, packet{4000, client}},
		{"claim before the cut, then another flow", []clock.Millis{900}, claimedCut, packet{5500, thirdClient}},
		{"claim during the cut", []clock.Millis{1300}, cut[:2], packet{1600, client}},
		{"claim withdrawn and made again", []clock.Millis{900, 1250, 1300}, cut[:2], packet{1600, client}},
	}
	for _, test := range tests {
		c := qt.New(t)
		h := newStartedCore(1)
		first, server := openFlow(c, h)
		send := func(p packet, n int) core.Verdict {
			d := data(first.Token, 9000, n)
			d.From = p.from
			return h.HandlePacket(p.at, d, true).Verdict
		}
		send(packet{20, client}, 0)
		send(packet{20, otherClient}, 0)
		send(packet{20, thirdClient}, 0)
		for i, p := range append(test.packets, test.last) {
			for len(test.claims) > 0 && test.claims[0] < p.at {
				learn(h, test.claims[0], server, len(test.claims)%2 == 1)
				test.claims = test.claims[1:]
			}
			if verdict := send(p, 50); i == len(test.packets) {
				c.Check(verdict, qt.Equals, core.Forward, qt.Commentf(test.name))
			}
		}
	}
}

// TestOneLossReadAroundAPauseConfirmsNoClaim guards against counting two packets of one moment that a short pause of the host separates.
func TestOneLossReadAroundAPauseConfirmsNoClaim(t *testing.T) {
	c := qt.New(t)
	h, first := newHostWithAClaim(c)
	for i, now := range []clock.Millis{900, 1000, 1000, 1200, 1345} {
		p := data(first.Token, 9000, min(i, 1)*50)
		if i%2 == 0 {
			p.From = otherClient
		}
		c.Check(h.HandlePacket(now, p, true).Verdict, qt.Equals, core.Forward, qt.Commentf("at %d", now))
	}
}

// TestLatePacketBeforeAnAnswerIsNotReset guards against a reset while the answer of another flow waits on the host.
func TestLatePacketBeforeAnAnswerIsNotReset(t *testing.T) {
	c := qt.New(t)
	h, first := newHostWithAClaim(c)
	send := func(now, waited clock.Millis, from netip.AddrPort, ack uint32) core.Verdict {
		p := data(first.Token, ack, 50)
		p.From, p.Waited = from, waited
		return h.HandlePacket(now, p, true).Verdict
	}
	answered := netip.MustParseAddrPort("100.64.0.10:1")
	send(900, 0, answered, 9000)
	for _, now := range []clock.Millis{1000, 1200, 1600} {
		send(now, 0, client, 9000)
	}
	for _, now := range []clock.Millis{1800, 2000} {
		send(now, 0, otherClient, 9000)
	}
	c.Check(send(2600, 500, thirdClient, 9000), qt.Equals, core.Forward)
	send(2600, 500, answered, 9100)
	c.Check(send(2600, 0, thirdClient, 9000), qt.Equals, core.Forward)
}

// TestPacketsReadTogetherLetNoServerBeAvoided guards against a backoff of a server that had no time to answer.
func TestPacketsReadTogetherLetNoServerBeAvoided(t *testing.T) {
	type packet struct{ at, waited, offset clock.Millis }
	for name, packets := range map[string][]packet{
		"a copy behind its late request": {{1000, 195, 0}, {1005, 5, 0}},
		"packets out of order":           {{1000, 0, 1200}, {1001, 0, 0}},
	} {
		c := qt.New(t)
		h := newStartedCore(1)
		first, _ := openFlow(c, h)
		h.HandlePacket(20, data(first.Token, 9000, 0), true)
		for _, sent := range packets {
			p := data(first.Token, 9000, 1200)
			p.Seq, p.Waited = p.Seq+uint32(sent.offset), sent.waited
			h.HandlePacket(sent.at, p, true)
		}
		c.Check(h.Stats().Avoided, qt.Equals, uint64(0), qt.Commentf(name))
	}
}

// TestServerThatWasForgottenGetsThePacketsOfItsFlows guards against drops while a server is cut off from the control hosts for long.
func TestServerThatWasForgottenGetsThePacketsOfItsFlows(t *testing.T) {
	c := qt.New(t)
	h := newStartedCore(1)
	cut := func(id string) (silent, known bool) { return id == "i-1", true }
	h.Learn(100, &core.Update{Silence: cut})
	p := data(tokens.Candidate("i-1", 1000, 0), 9000, 50)
	for now := clock.Millis(500); now < 280_000; now += 500 {
		h.Tick(now)
	}
	c.Check(h.Servers(), qt.Equals, 2)
	c.Check(h.HandlePacket(280_000, p, true).Number, qt.Equals, uint64(1))
	back := startedRecord(1)
	back.Seq = 2
	learn(h, 281_000, back, false)
	for now := clock.Millis(281_000); now < 700_000; now += 500 {
		h.Tick(now)
	}
	c.Check(h.UsableServers(), qt.Equals, 3)
	c.Check(h.HandlePacket(700_000, p, true).Number, qt.Equals, uint64(1))
}

// TestRemovedRouteEndsNoLaterFlowOfThePort guards against a reset of a flow that another host has opened from the port of an earlier one.
func TestRemovedRouteEndsNoLaterFlowOfThePort(t *testing.T) {
	c := qt.New(t)
	h := newStartedCore(1)
	first, _ := openFlow(c, h)
	h.HandlePacket(20, data(first.Token, 9000, 50), true)
	h.Configure(1000, table(2, routeY))
	p := data(first.Token, 9000+1<<28, 50)
	p.Seq += 1 << 28
	c.Check(h.HandlePacket(1210, p, true).Verdict, qt.Equals, core.Forward)
}
