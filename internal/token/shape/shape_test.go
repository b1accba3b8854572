package shape_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/shape"
)

// wide is how much more than the link to the servers the link from the clients carries in
// the plays that are about the former.
const wide = 20

func newWideHost(shaped bool) *host {
	h := newHost(shaped, linkRate)
	h.in.perMilli *= wide
	return h
}

// checkUploads checks that the uploads ended, and that nothing was sent twice or in another
// order than it came.
func checkUploads(c *qt.C, r *result) {
	for _, u := range r.uploads {
		c.Check(u.done > 0, qt.IsTrue, qt.Commentf("upload %d has not ended: %s", u.flow, r))
		c.Check(u.reordered, qt.Equals, 0)
		for n := range u.packets {
			c.Check(u.received[n] <= u.sent[n], qt.IsTrue, qt.Commentf("packet %d was sent %d times and received %d times", n, u.sent[n], u.received[n]))
		}
	}
}

// TestSmallRequestsBesideAnUpload guards against requests that wait behind the packets of
// an upload, and against uploads that get nothing beside many requests.
func TestSmallRequestsBesideAnUpload(t *testing.T) {
	for _, test := range []struct {
		share             float64
		longest, unshaped clock.Millis
		upload            clock.Millis
	}{
		{0.5, 10, 50, 1100},
		{0.9, 10, 200, 5500},
		// The requests alone exceed the link, so that what it can't carry is dropped.
		{1.5, 160, 2000, 6500},
	} {
		c := qt.New(t)
		r := play(newWideHost(true), test.share, 240_000)
		c.Logf("%.0f%%: %s", 100*test.share, r)
		checkUploads(c, r)
		c.Check(r.wait(100) <= test.longest, qt.IsTrue)
		c.Check(r.uploads[0].done-uploadsAt <= test.upload, qt.IsTrue)
		before := play(newWideHost(false), test.share, 240_000)
		c.Check(before.wait(99) > test.unshaped, qt.IsTrue, qt.Commentf("without a shaper: %s", before))
	}
}

// TestNarrowLinkFromTheClients checks how much is gained where packets queue before they
// reach the host: the shaper keeps the uploads from filling that queue again and again,
// but not from filling it with their first packets.
func TestNarrowLinkFromTheClients(t *testing.T) {
	c := qt.New(t)
	shaped, before := play(newHost(true, linkRate), 0.9, 240_000), play(newHost(false, linkRate), 0.9, 240_000)
	c.Logf("%s; without a shaper: %s", shaped, before)
	checkUploads(c, shaped)
	c.Check(2*shaped.wait(99) < before.wait(99), qt.IsTrue)
}

// TestLinkNarrowerThanItsSetting guards against a host that makes it worse when its link
// carries a tenth of the setting: then nothing waits here.
func TestLinkNarrowerThanItsSetting(t *testing.T) {
	c := qt.New(t)
	shaped, before := play(newHost(true, linkRate/10), 0.05, 240_000), play(newHost(false, linkRate/10), 0.05, 240_000)
	c.Log(shaped)
	checkUploads(c, shaped)
	c.Check(shaped.waits, qt.DeepEquals, before.waits)
	c.Check(shaped.uploads[0].done, qt.Equals, before.uploads[0].done)
	c.Check(shaped.stats.ReleasedPackets, qt.Equals, uint64(0))
}

// TestPausedHostWakesWithAFullQueue guards against a host that, after a pause, sends
// packets whose senders have sent them again.
func TestPausedHostWakesWithAFullQueue(t *testing.T) {
	c := qt.New(t)
	h := newWideHost(true)
	h.paused = func(now clock.Millis) bool { return now > 560 && now <= 2560 }
	r := play(h, 0.3, 240_000, 240_000, 240_000)
	c.Log(r)
	c.Check(r.stats.Expired > 20, qt.IsTrue)
	checkUploads(c, r)
}

// offer offers a packet of 1200 bytes of data.
func offer(s *shape.Shaper, now clock.Millis, flow int, seq uint32) shape.Verdict {
	return s.Offer(now, flowOf(flow), &shape.Packet{Seq: seq, Length: dataSize, To: flowOf(flow).Client, Datagram: make([]byte, dataSize+tokenSize)})
}

// takeAll takes all packets that next returns.
func takeAll(next func(clock.Millis) (*shape.Packet, bool), now clock.Millis) {
	ok := true
	for ok {
		_, ok = next(now)
	}
}

// newQueued returns a shaper on which packets of the given flows wait.
func newQueued(now clock.Millis, flows ...int) *shape.Shaper {
	s := shape.New(shape.Options{LinkRate: linkRate})
	for seq := range uint32(8) {
		for _, f := range flows {
			offer(s, now, f, seq)
		}
	}
	return s
}

// TestServesFlowsInTurn guards against a flow that keeps others waiting.
func TestServesFlowsInTurn(t *testing.T) {
	c := qt.New(t)
	s := newQueued(1000, 1, 2)
	sent := [3]int{}
	for now := clock.Millis(1000); sent[1]+sent[2] < 6; now++ {
		for p, ok := s.Next(now); ok; p, ok = s.Next(now) {
			sent[decode(p).flow]++
			c.Check(max(sent[1]-sent[2], sent[2]-sent[1]) <= 2, qt.IsTrue, qt.Commentf("%v", sent))
		}
	}
}

// TestServesFlowsThatHaveSentLittleFirst guards against a round that begins with the flow
// that came first.
func TestServesFlowsThatHaveSentLittleFirst(t *testing.T) {
	c := qt.New(t)
	s := newQueued(1000, 1)
	offer(s, 1000, 1, 8)
	offer(s, 1000, 1, 9)
	takeAll(s.Drain, 1000)
	// After five packets, flow 1 still has a part of its turn.
	c.Assert(s.Stats(1000).ReleasedPackets, qt.Equals, uint64(5))
	offer(s, 1000, 1, 10)
	for seq := range uint32(4) {
		offer(s, 1000, 2, seq)
	}
	for _, flow := range []int{2, 1} {
		p, ok := s.Drain(1000)
		c.Assert(ok, qt.IsTrue)
		c.Check(decode(p).flow, qt.Equals, flow)
	}
}

// TestPacketsWithoutData guards against acknowledgements that wait for their flow to send
// data, or that overtake the data of their flow.
func TestPacketsWithoutData(t *testing.T) {
	c := qt.New(t)
	s := newQueued(1000, 1)
	acknowledgement := &shape.Packet{To: route, Datagram: make([]byte, tokenSize)}
	c.Check(s.Offer(1000, flowOf(1), acknowledgement), qt.Equals, shape.Wait)
	c.Check(s.Offer(1000, flowOf(1), acknowledgement), qt.Equals, shape.Wait, qt.Commentf("not a copy"))
	c.Check(s.Offer(1000, flowOf(2), acknowledgement), qt.Equals, shape.Send)
	c.Check(s.Delayed(1000, flowOf(1)), qt.IsTrue)
	c.Check(s.Delayed(1000, flowOf(2)), qt.IsFalse)
	c.Check(s.Delayed(3000, flowOf(1)), qt.IsTrue, qt.Commentf("nothing has been released"))
	takeAll(s.Drain, 1000)
	c.Check(s.Offer(1000, flowOf(1), acknowledgement), qt.Equals, shape.Send)
	c.Check(offer(s, 1000, 1, 8), qt.Equals, shape.Wait, qt.Commentf("an acknowledgement passed where data would not"))
}

// TestSendsAtOnceBelowHalfOfTheRate guards against uploads that are delayed on a link with
// enough room, and against a queue that is left over from a busy time.
func TestSendsAtOnceBelowHalfOfTheRate(t *testing.T) {
	c := qt.New(t)
	s := newQueued(1000, 1)
	for now := clock.Millis(1001); now < 1500; now++ {
		takeAll(s.Next, now)
	}
	_, waiting := s.DueIn()
	c.Check(waiting, qt.IsFalse)
	for i := range 200 {
		c.Check(offer(s, clock.Millis(1500+i*4), 1, uint32(i)), qt.Equals, shape.Send)
	}
	s = shape.New(shape.Options{LinkRate: linkRate})
	for i := range 200 {
		offer(s, clock.Millis(i*4), i, 0)
	}
	c.Check(s.Stats(1000).Flows, qt.Equals, 0, qt.Commentf("flows are told apart at a calm time"))
}

// copied is a packet that waits, or has expired.
type copied struct {
	serial  clock.Millis
	seq     uint32
	renewed clock.Millis
}

// TestQueuesKeepTheirRules offers packets at random and checks the order within flows, that
// nothing is lost early, sent twice or sent too late, and the bounds.
func TestQueuesKeepTheirRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &host{shaper: shape.New(shape.Options{LinkRate: rapid.SampledFrom([]int64{100_000, linkRate, 1_000_000_000}).Draw(t, "rate")})}
		waiting := map[int][]copied{}
		now, serial, accepted, released := clock.Millis(1), clock.Millis(0), uint64(0), uint64(0)
		take := func(next func(clock.Millis) (*shape.Packet, bool)) {
			for p, ok := next(now); ok; p, ok = next(now) {
				released++
				o := decode(p)
				w := waiting[o.flow]
				for ; len(w) > 0 && w[0].serial != o.sentAt; w = w[1:] {
					if now-w[0].renewed <= 600 {
						t.Fatalf("packet %d overtook %d of flow %d", o.sentAt, w[0].serial, o.flow)
					}
				}
				if len(w) == 0 || now-w[0].renewed > 600 {
					t.Fatalf("packet %d of flow %d was sent twice or too late", o.sentAt, o.flow)
				}
				waiting[o.flow] = w[1:]
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.SampledFrom([]int{0, 0, 1, 3, 20, 300}).Draw(t, "pause"))
			flow := rapid.IntRange(0, 2000).Draw(t, "flow")
			if rapid.Bool().Draw(t, "few") {
				flow %= 5
			}
			first, n := rapid.IntRange(0, 60).Draw(t, "seq"), rapid.IntRange(1, 40).Draw(t, "packets")
			for seq := uint32(first); seq < uint32(first+n); seq++ {
				serial++
				duplicates := h.shaper.Stats(now).Duplicates
				v := h.offer(now, packet{flow, dataSize, seq, serial})
				if v == shape.Wait {
					accepted++
					for _, w := range waiting[flow] {
						if w.seq == seq && now-w.renewed <= 600 {
							t.Fatalf("packet %d of flow %d waits twice", seq, flow)
						}
					}
					waiting[flow] = append(waiting[flow], copied{serial, seq, now})
				}
				if h.shaper.Stats(now).Duplicates > duplicates {
					w := waiting[flow]
					i := len(w) - 1
					for w[i].seq != seq {
						i--
					}
					w[i].renewed = now
				}
			}
			take(h.shaper.Next)
			st := h.shaper.Stats(now)
			if st.Waiting > 625 || st.WaitingBytes > 1_000_000 || st.Flows > 1024 {
				t.Fatalf("bounds: %+v", st)
			}
			if accepted != released+st.Expired+uint64(st.Waiting) {
				t.Fatalf("%d packets accepted, %d released: %+v", accepted, released, st)
			}
		}
		take(h.shaper.Drain)
		if st := h.shaper.Stats(now); st.Waiting != 0 || st.WaitingBytes != 0 || accepted != released+st.Expired {
			t.Fatalf("after draining: %+v", st)
		}
	})
}

// TestRequestsPassAfterAFloodOfPacketsWithoutData guards against requests that are dropped
// for many seconds, because the queue of the link is taken to have no end.
func TestRequestsPassAfterAFloodOfPacketsWithoutData(t *testing.T) {
	s, datagram, sent := shape.New(shape.Options{LinkRate: 8_000_000}), make([]byte, 972), 0
	flow := shape.Flow{Route: netip.MustParseAddrPort("198.18.0.1:443")}
	for now := clock.Millis(1); now <= 10_000; now++ {
		// The link carries a packet in a millisecond.
		for i := range uint16(4) {
			flow.Client = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(now >> 8), byte(now)}), i+1)
			if now <= 5000 {
				s.Offer(now, &flow, &shape.Packet{Datagram: datagram})
			}
		}
		if now > 5000 && now%5 != 0 && s.Offer(now, &flow, &shape.Packet{Length: 900, Datagram: datagram}) == shape.Send {
			sent++
		}
	}
	qt.Check(t, sent >= 3000, qt.IsTrue, qt.Commentf("sent %d of 4000", sent))
}
