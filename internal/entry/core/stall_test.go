package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// TestRetransmissionsThatWaitedOnTheHostBreakNoFlow guards against the reset of a flow
// after the entry host has stalled: the retransmissions that waited meanwhile arrive all
// at once, before the server could answer the first of them.
func TestRetransmissionsThatWaitedOnTheHostBreakNoFlow(t *testing.T) {
	c := qt.New(t)
	host := newSingleHost(t, 1, 14)
	host.HandleDatagram(3, fabricAddr, syn(0))
	segment := func(seq uint32) []byte {
		return geneve.Append(nil, inner.BuildTCP(clientAddr(0), serviceAddr(0),
			inner.Segment{Flags: inner.ACK, Seq: seq, Ack: 1, Payload: []byte("feed")}), nil)
	}
	for range 20 {
		host.HandleDatagram(2000, fabricAddr, segment(2))
	}
	host.HandleDatagram(2100, fabricAddr, segment(6))
	c.Check(host.PendingOutput().Losses.Resets(), qt.HasLen, 0)
	c.Check(host.Flows(), qt.Equals, 1)

	// Many retransmissions, over a time without an answer, must end the flow, in that time only.
	resetAt := clock.Millis(0)
	for now := 2200 * clock.Millis(1); now < 80*clock.Second && resetAt == 0; now += 20 {
		host.HandleDatagram(now, fabricAddr, segment(6))
		if len(host.PendingOutput().Losses.Resets()) > 0 {
			resetAt = now
		}
	}
	c.Assert(resetAt >= 62*clock.Second, qt.IsTrue, qt.Commentf("reset at %d", resetAt))
	c.Check(host.PendingOutput().Losses.Resets()[0].Reason.String(), qt.Equals, "noProgress")
}
