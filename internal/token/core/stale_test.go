package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// TestFlowOfAnotherHostIsNotResetOnOldSilence guards against a reset of the first packet that a host sees of a flow, for a cut of its link that is over.
func TestFlowOfAnotherHostIsNotResetOnOldSilence(t *testing.T) {
	for _, age := range []clock.Millis{1000, 2000, 3000} {
		c := qt.New(t)
		h, first := newHostWithAClaim(c)
		send := func(now clock.Millis, from netip.AddrPort) core.Verdict {
			p := data(first.Token, 9000, 50)
			p.From = from
			return h.HandlePacket(now, p, true).Verdict
		}
		for _, now := range []clock.Millis{1000, 1200, 1600} {
			send(now, client)
		}
		for _, now := range []clock.Millis{1800, 2000} {
			send(now, otherClient)
		}
		c.Check(send(2000+age, thirdClient), qt.Equals, core.Forward, qt.Commentf("%d after the last retransmission", age))
	}
}

// TestCopyOfAFlowBeyondTheLimitGoesToItsServer guards against a second server for an opening while the table of flows is full.
func TestCopyOfAFlowBeyondTheLimitGoesToItsServer(t *testing.T) {
	c := qt.New(t)
	h := newStartedCore(1)
	for i := range 1100 {
		p := syn(0)
		p.From = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 7)
		first := h.HandlePacket(1000, p, true)
		p.Ack = 1
		a := h.HandlePacket(1010, p, true)
		c.Assert(a.Verdict == core.Forward && a.Number != first.Number, qt.IsFalse, qt.Commentf("opening %d: %s", i, a.Reason))
	}
}

// TestPacketOfAnEarlierFlowOpensNoLaterOne guards against a late packet from the port of an opening, of the flow before, that counts as the answer to the opening.
func TestPacketOfAnEarlierFlowOpensNoLaterOne(t *testing.T) {
	for _, closing := range []bool{false, true} {
		for seed := range uint64(5) {
			c := qt.New(t)
			h := newStartedCore(seed)
			opening := h.HandlePacket(1000, syn(0), true)
			earlier := data(tokens.Candidate("i-1", 1000, 0), 1<<30, 0)
			earlier.Seq, earlier.Close = 1<<31, closing
			h.HandlePacket(1010, earlier, true)
			a := h.HandlePacket(1100, syn(1), true)
			c.Check(a.Number, qt.Equals, opening.Number, qt.Commentf("close %t, seed %d: %s", closing, seed, a.Reason))
		}
	}
}
