package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// TestCopiesReadTogetherGoToOneServer guards against a second server that answers a copy which
// was read before the first server could have answered.
func TestCopiesReadTogetherGoToOneServer(t *testing.T) {
	for _, copies := range [][2]uint32{{0, 1}, {0, 2}, {1, 2}} {
		for _, gap := range []clock.Millis{0, 3, 6, 40, 120} {
			for seed := range uint64(5) {
				h := newStartedCore(seed)
				first := h.HandlePacket(1000, syn(copies[0]), true)
				second := h.HandlePacket(1000+gap, syn(copies[1]), true)
				qt.Check(t, second.Number, qt.Equals, first.Number, qt.Commentf("transmissions %v, gap %d, seed %d", copies, gap, seed))
			}
		}
	}
}

// TestCopyReadTogetherStaysWithASuspectedServer guards against the same while other flows of
// the server have gone unanswered.
func TestCopyReadTogetherStaysWithASuspectedServer(t *testing.T) {
	c := qt.New(t)
	h := newBareCore(1)
	h.Learn(1, &core.Update{Servers: []core.ServerUpdate{{Record: startedRecord(1)}}})
	h.Configure(1, table(1, routeX))
	for attempt, now := range []clock.Millis{10, 210, 610} {
		p := syn(uint32(attempt))
		p.From = otherClient
		h.HandlePacket(now, p, true)
	}
	first := h.HandlePacket(700, syn(1), true)
	h.Learn(702, &core.Update{Servers: []core.ServerUpdate{{Record: startedRecord(2)}, {Record: startedRecord(3)}}})
	second := h.HandlePacket(705, syn(2), true)
	c.Check(second.Number, qt.Equals, first.Number)
}

// TestCopyOfAClosedFlowOpensNoOther guards against a copy that is decided after its flow was
// answered and closed, and takes a place on another server.
func TestCopyOfAClosedFlowOpensNoOther(t *testing.T) {
	for _, opener := range []bool{true, false} {
		for _, closing := range []string{"close", "abort"} {
			for attempt := uint32(1); attempt <= 2; attempt++ {
				c := qt.New(t)
				h := newStartedCore(1)
				first := h.HandlePacket(10, syn(0), true)
				if !opener {
					h = newStartedCore(2)
				}
				h.HandlePacket(20, data(first.Token, 9000, 50), true)
				end := data(first.Token, 9100, 0)
				end.Seq, end.Close, end.Abort = 151, closing == "close", closing == "abort"
				h.HandlePacket(60, end, true)
				opened := h.Stats().Opened
				a := h.HandlePacket(65, syn(attempt), true)
				c.Check(a.Verdict, qt.Equals, core.Drop, qt.Commentf("opener %t, %s, transmission %d: %s", opener, closing, attempt, a.Reason))
				c.Check(h.Stats().Opened, qt.Equals, opened)
			}
		}
	}
}

// TestPortOfAClosedFlowOpensTheNext guards against taking the first transmission of another
// flow of the client's port for a copy.
func TestPortOfAClosedFlowOpensTheNext(t *testing.T) {
	c := qt.New(t)
	h := newStartedCore(1)
	first := h.HandlePacket(10, syn(0), true)
	end := data(first.Token, 9100, 0)
	end.Close = true
	h.HandlePacket(60, end, true)
	next := syn(0)
	next.Seq = 1 << 31
	c.Check(h.HandlePacket(100, next, true).Reason, qt.Equals, core.NewFlow)
	next.From = netip.MustParseAddrPort("100.64.0.9:1")
	c.Check(h.HandlePacket(110, next, true).Reason, qt.Equals, core.NewFlow)
}

// TestOpeningWhoseCopyWasSentOpensNoFlow guards against a second server that answers a client
// whose copy has opened the flow through another host while the opening waited on this one.
func TestOpeningWhoseCopyWasSentOpensNoFlow(t *testing.T) {
	for attempt, interval := range []clock.Millis{200, 400, 800} {
		// A decision may take 50 ms to leave the host.
		for _, waited := range []clock.Millis{0, interval - 51, interval - 50, interval, 2000} {
			h := newStartedCore(1)
			p := syn(uint32(attempt))
			p.Waited = waited
			want := core.Forward
			if waited >= interval-50 {
				want = core.Drop
			}
			qt.Check(t, h.HandlePacket(3000, p, true).Verdict, qt.Equals, want, qt.Commentf("transmission %d waited %d", attempt, waited))
		}
	}
}
