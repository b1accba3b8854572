package intake_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/intake"
)

// TestTickerIsNoEventLoop guards against an opening that is taken for fresh because the ticker ran while the event loop had no processor time.
func TestTickerIsNoEventLoop(t *testing.T) {
	h, q := newHost(0)
	h.now = 100
	h.alive(q)
	h.arriving = [][2]byte{{byte(intake.Opening), 11}}
	for h.now = 200; h.now < 400; h.now += 100 {
		h.alive(q)
	}
	buffer := make([]byte, 16)
	n, ok := h.read(buffer)
	qt.Assert(t, ok, qt.IsTrue)
	q.Receive(buffer[:n], h.read, 50)
	qt.Check(t, h.longest[0] >= h.decided[intake.Opening][0], qt.IsTrue, qt.Commentf("waited %d, bound %d", h.decided[intake.Opening][0], h.longest[0]))
}

// TestWaitBesideATickerIsBounded guards against bounds that are too short while the event loop has no processor time, or so long that a good opening is dropped.
func TestWaitBesideATickerIsBounded(t *testing.T) {
	for _, test := range []struct {
		name string
		// Ticks are in order, and so are the arrivals, in units of 10 ms. All that has arrived is read at the end.
		ticks    []clock.Millis
		arrivals []byte
		end      clock.Millis
		// excess is how much longer than the wait of the first arrival its bound may be.
		excess clock.Millis
	}{
		{"read at once", []clock.Millis{100, 200, 300}, []byte{30}, 300, 100},
		{"read before the next tick", []clock.Millis{100, 200, 300}, []byte{31}, 390, 10},
		{"waits across one tick", []clock.Millis{100, 200, 300}, []byte{29}, 301, 90},
		{"waits across three ticks", []clock.Millis{100, 200, 300, 400, 500}, []byte{21}, 590, 10},
		{"more arrive while the first waits", []clock.Millis{100, 200, 300, 400}, []byte{15, 25, 35}, 450, 50},
		{"late ticks", []clock.Millis{100, 240, 380}, []byte{12}, 400, 20},
		{"a pause, and a wait after it", []clock.Millis{100, 700, 800}, []byte{15}, 850, 50},
		{"after a long quiet time", []clock.Millis{100, 200, 2000, 2100, 2200, 2300}, []byte{231}, 2320, 10},
	} {
		h, q := newHost(0)
		for _, at := range test.arrivals {
			h.arriving = append(h.arriving, [2]byte{byte(intake.Opening), at})
		}
		for _, h.now = range test.ticks {
			h.alive(q)
		}
		h.now = test.end
		buffer := make([]byte, 16)
		n, ok := h.read(buffer)
		qt.Assert(t, ok, qt.IsTrue)
		q.Receive(buffer[:n], h.read, 50)
		qt.Assert(t, h.longest, qt.HasLen, len(test.arrivals))
		for i, waited := range h.decided[intake.Opening] {
			qt.Check(t, h.longest[i] >= waited, qt.IsTrue, qt.Commentf("%s: arrival %d waited %d, bound %d", test.name, i, waited, h.longest[i]))
		}
		qt.Check(t, h.longest[0]-h.decided[intake.Opening][0] <= test.excess, qt.IsTrue, qt.Commentf("%s: waited %d, bound %d", test.name, h.decided[intake.Opening][0], h.longest[0]))
	}
}

// TestLateTicksDropNoOpening guards against an opening that is dropped as outdated on a host whose ticker always runs late, though its event loop runs.
func TestLateTicksDropNoOpening(t *testing.T) {
	for _, interval := range []clock.Millis{121, 150, 160, 400, 700} {
		h, q := newHost(0)
		for at := interval; at < 3*clock.Second/2; at += interval {
			h.now = at
			h.alive(q)
			h.serve(q, at+5)
		}
		h.now += 10
		q.Receive([]byte{byte(intake.Opening), byte(h.now / 10)}, h.read, 50)
		qt.Check(t, h.longest[0] <= 20, qt.IsTrue, qt.Commentf("ticks every %d ms: bound %d", interval, h.longest[0]))
		qt.Check(t, q.Stalled(), qt.IsFalse)
	}
}

// TestLateTickIsNoEventLoop guards against an opening that is taken for fresh because the event loop had read it, and got no processor time to pass it on, when a late ticker found the socket empty.
func TestLateTickIsNoEventLoop(t *testing.T) {
	for _, interval := range []clock.Millis{121, 160, 300} {
		h, q := newHost(0)
		h.now = 100
		h.alive(q)
		for range 3 {
			h.now += interval
			q.Alive(h.now, false)
		}
		q.Receive([]byte{byte(intake.Opening), 11}, h.read, 50)
		qt.Check(t, h.longest[0] >= h.decided[intake.Opening][0], qt.IsTrue, qt.Commentf("waited %d, bound %d", h.decided[intake.Opening][0], h.longest[0]))
	}
}

// TestQuietHostSendsNoProbes guards against wake-ups of the event loop while nothing arrives.
func TestQuietHostSendsNoProbes(t *testing.T) {
	h, q := newHost(0)
	for n := range clock.Millis(100) {
		h.now += 100 + n%20
		h.alive(q)
	}
	qt.Check(t, q.Stats().ProbesSent, qt.Equals, uint64(0))
}

// TestWhatIsNeverReadIsForgotten guards against an opening that is dropped as outdated for a datagram that the ticker saw and nobody read, such as one with a wrong checksum.
func TestWhatIsNeverReadIsForgotten(t *testing.T) {
	h, q := newHost(0)
	for h.now = 100; h.now < 2000; h.now += 100 {
		q.Alive(h.now, h.now >= 400 && h.now < 700)
	}
	q.Receive([]byte{byte(intake.Opening), byte(h.now / 10)}, h.read, 50)
	qt.Check(t, h.longest[0] <= 100, qt.IsTrue, qt.Commentf("bound %d", h.longest[0]))
}

// TestPauseOfAQuietHostIsForgotten guards against an opening that is dropped as outdated for a pause long before it arrived.
func TestPauseOfAQuietHostIsForgotten(t *testing.T) {
	for _, pause := range []clock.Millis{160, 600} {
		h, q := newHost(0)
		h.now = 100
		h.alive(q)
		for h.now += pause; h.now < 2000; h.now += 100 {
			h.alive(q)
		}
		q.Receive([]byte{byte(intake.Opening), byte(h.now / 10)}, h.read, 50)
		qt.Check(t, h.longest[0] <= 150, qt.IsTrue, qt.Commentf("pause of %d: bound %d", pause, h.longest[0]))
	}
}
