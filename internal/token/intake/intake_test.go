package intake_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/intake"
)

// host decides datagrams that consist of their class and the time of their arrival, in
// units of 10 ms. Each decision and each read takes time.
type host struct {
	now         clock.Millis
	perDecision clock.Millis
	arriving    [][2]byte
	decided     map[intake.Class][]clock.Millis
	order       []intake.Class
	// promised and longest are the bounds of the waits.
	promised, longest []clock.Millis
	// probes are the probes that have not been read, sent at probedAt.
	probes   [][]byte
	probedAt []clock.Millis
}

func (h *host) Classify(d []byte) intake.Class { return intake.Class(d[0]) }

func (h *host) Decide(d []byte, waited intake.Wait) {
	h.now += h.perDecision
	class := intake.Class(d[0])
	h.decided[class] = append(h.decided[class], h.now-10*clock.Millis(d[1]))
	h.order = append(h.order, class)
	h.promised, h.longest = append(h.promised, waited.Likely), append(h.longest, waited.Longest)
}

// read is an intake.Source of what has arrived by now.
func (h *host) read(buffer []byte) (int, bool) {
	if len(h.probes) > 0 && (len(h.arriving) == 0 || 10*clock.Millis(h.arriving[0][1]) > h.probedAt[0]) {
		n := copy(buffer, h.probes[0])
		h.probes, h.probedAt = h.probes[1:], h.probedAt[1:]
		return n, true
	}
	if len(h.arriving) == 0 || 10*clock.Millis(h.arriving[0][1]) > h.now {
		return 0, false
	}
	n := copy(buffer, h.arriving[0][:])
	h.arriving = h.arriving[1:]
	return n, true
}

func (h *host) probe(datagram []byte) {
	h.probes, h.probedAt = append(h.probes, datagram), append(h.probedAt, h.now)
}

// alive calls Alive as a ticker does that sees whether something has arrived.
func (h *host) alive(q *intake.Queue) {
	q.Alive(h.now, len(h.arriving) > 0 && 10*clock.Millis(h.arriving[0][1]) <= h.now)
}

func newHost(perDecision clock.Millis) (*host, *intake.Queue) {
	h := &host{perDecision: perDecision, decided: map[intake.Class][]clock.Millis{}}
	return h, intake.New(h, func() clock.Millis { return h.now }, 16, h.probe)
}

// serve calls Receive whenever something has arrived, as an event loop does.
func (h *host) serve(q *intake.Queue, end clock.Millis) {
	buffer := make([]byte, 16)
	for h.now < end {
		if n, ok := h.read(buffer); ok {
			q.Receive(buffer[:n], h.read, 50)
			continue
		}
		q.Resume(50)
		h.now++
	}
}

// TestStormOfOpeningsDelaysNoOpenFlow has a host that decides 1,000 packets a second.
// For a second, 3,000 openings arrive, beside 300 packets of open flows.
func TestStormOfOpeningsDelaysNoOpenFlow(t *testing.T) {
	h, q := newHost(1)
	for tick := range byte(100) {
		for i := range 33 {
			class := intake.Opening
			if i%11 == 0 {
				class = intake.Established
			}
			h.arriving = append(h.arriving, [2]byte{byte(class), tick})
		}
	}
	h.serve(q, 5000)
	established := h.decided[intake.Established]
	qt.Check(t, established, qt.HasLen, 300)
	slices.Sort(established)
	// A burst of openings, of reads and of what arrived meanwhile may come before.
	qt.Check(t, established[len(established)-1] <= 100, qt.IsTrue, qt.Commentf("waited up to %d ms", established[len(established)-1]))
	qt.Check(t, q.Len(), qt.Equals, 0)
	qt.Check(t, len(h.decided[intake.Opening])+int(q.Stats().Discarded), qt.Equals, 3000)
}

// TestWaitIsNeverUnderstated checks the bound that tells late measurements from slow
// servers.
func TestWaitIsNeverUnderstated(t *testing.T) {
	h, q := newHost(2)
	for tick := range byte(50) {
		for i := range 1 + int(tick)%9 {
			h.arriving = append(h.arriving, [2]byte{byte(intake.Established) + byte(i%2), tick})
		}
	}
	h.serve(q, 3000)
	for class, waits := range h.decided {
		i := 0
		for j, c := range h.order {
			if c != class {
				continue
			}
			// The arrival is known to 1 ms before the call that reads it.
			qt.Check(t, h.promised[j] >= waits[i]-h.perDecision-1, qt.IsTrue, qt.Commentf("class %d, packet %d: waited %d, bound %d", class, i, waits[i], h.promised[j]))
			i++
		}
	}
}

// TestWaitIsKnownWhileTheHostIsBehind guards against openings that are dropped as outdated on
// a host that is busy all the time, but decides them soon.
func TestWaitIsKnownWhileTheHostIsBehind(t *testing.T) {
	h, q := newHost(1)
	for tick := range byte(200) {
		for range 10 {
			h.arriving = append(h.arriving, [2]byte{byte(intake.Established), tick})
		}
	}
	h.serve(q, 3000)
	waits := h.decided[intake.Established]
	qt.Assert(t, waits, qt.HasLen, 2000)
	for i, waited := range waits {
		qt.Check(t, h.promised[i] <= waited+30, qt.IsTrue, qt.Commentf("packet %d: waited %d, bound %d", i, waited, h.promised[i]))
	}
}

// TestProbeAfterAStallEndsIt guards against openings that are dropped for a stall long before
// they arrived, on a host that stays behind.
func TestProbeAfterAStallEndsIt(t *testing.T) {
	h, q := newHost(1)
	h.alive(q)
	h.now = 700
	for tick := range byte(150) {
		for range 10 {
			h.arriving = append(h.arriving, [2]byte{byte(intake.Established), 60 + tick})
		}
	}
	for h.now < 1000 {
		q.Receive([]byte{byte(intake.Established), byte(h.now / 10)}, h.read, 50)
	}
	qt.Check(t, q.Stalled(), qt.IsFalse)
}

// TestArrivalBesideAnEmptyReadIsNotUnderstated guards against a pause right after a read that
// finds the source empty: what arrives meanwhile is taken for fresh.
func TestArrivalBesideAnEmptyReadIsNotUnderstated(t *testing.T) {
	h, q := newHost(1)
	for range 40 {
		h.arriving = append(h.arriving, [2]byte{byte(intake.Opening), 0})
	}
	h.arriving = append(h.arriving, [2]byte{byte(intake.Established), 3})
	q.Receive([]byte{byte(intake.Opening), 0}, func(buffer []byte) (int, bool) {
		n, ok := h.read(buffer)
		if !ok {
			h.now += 40
		}
		return n, ok
	}, 500)
	at := slices.Index(h.order, intake.Established)
	qt.Assert(t, at >= 0, qt.IsTrue)
	waited := h.decided[intake.Established][0]
	qt.Check(t, h.promised[at] >= waited-1, qt.IsTrue, qt.Commentf("waited %d, bound %d", waited, h.promised[at]))
}

// TestShortPauseCountsForOpenings guards against an opening that is taken for fresh on a host
// without processor time, after its client has sent a copy.
func TestShortPauseCountsForOpenings(t *testing.T) {
	h, q := newHost(0)
	h.now = 100
	h.alive(q)
	h.now = 240
	q.Receive([]byte{byte(intake.Opening), 11}, h.read, 50)
	qt.Check(t, h.longest[0] >= 130, qt.IsTrue, qt.Commentf("at most %d", h.longest[0]))
	qt.Check(t, h.promised[0], qt.Equals, clock.Millis(0))
}

func TestQuietHostDecidesInOrder(t *testing.T) {
	h, q := newHost(0)
	h.arriving = [][2]byte{{byte(intake.Opening), 1}, {byte(intake.Established), 2}, {byte(intake.Invalid), 3}, {byte(intake.Opening), 4}}
	h.serve(q, 100)
	qt.Check(t, h.order, qt.DeepEquals, []intake.Class{intake.Opening, intake.Established, intake.Opening})
	qt.Check(t, slices.Max(h.promised), qt.Equals, clock.Millis(0))
}

// TestArrivalsDuringAStallAreTold guards against a paused host that takes what arrived
// during the pause for fresh, and refuses it by what it knew before.
func TestArrivalsDuringAStallAreTold(t *testing.T) {
	h, q := newHost(1)
	quiet := func(end clock.Millis) {
		for ; h.now < end; h.now += 100 {
			h.alive(q)
		}
	}
	quiet(1000)
	qt.Check(t, q.Stalled(), qt.IsFalse)
	h.now += 900
	// The event loop or its ticker may run first after the pause.
	h.alive(q)
	qt.Check(t, q.Stalled(), qt.IsTrue)
	q.Receive([]byte{byte(intake.Opening), 110}, h.read, 50)
	qt.Check(t, h.promised[0] >= 800, qt.IsTrue, qt.Commentf("waited %d", h.promised[0]))
	qt.Check(t, q.Stalled(), qt.IsFalse)
	quiet(h.now + 1000)
	q.Receive([]byte{byte(intake.Opening), byte(h.now / 10)}, h.read, 50)
	qt.Check(t, h.promised[1] <= 100, qt.IsTrue, qt.Commentf("waited %d", h.promised[1]))
}

// TestWaitInAShortStallIsPromised guards against a reset of an opening whose copy was sent during a stall that is too short to count.
func TestWaitInAShortStallIsPromised(t *testing.T) {
	c := qt.New(t)
	h, q := newHost(0)
	h.now = 100
	h.alive(q)
	h.now = 550
	q.Receive([]byte{byte(intake.Opening), 12}, h.read, 50)
	c.Assert(h.promised, qt.HasLen, 1)
	c.Check(h.promised[0] >= clock.Millis(430) || q.Stalled(), qt.IsTrue, qt.Commentf("waited %d", h.promised[0]))
}
