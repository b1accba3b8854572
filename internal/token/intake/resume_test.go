package intake_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/intake"
)

// TestOpeningsLeftToTheTickerMakeNoLaterOneOld guards against an opening that is dropped as outdated, long after a burst whose last openings the ticker has decided: nothing waits, and all ticks are in time.
func TestOpeningsLeftToTheTickerMakeNoLaterOneOld(t *testing.T) {
	h, q := newHost(1)
	h.now = 100
	h.alive(q)
	h.now = 110
	for range 80 {
		h.arriving = append(h.arriving, [2]byte{byte(intake.Opening), 11})
	}
	buffer := make([]byte, 16)
	n, _ := h.read(buffer)
	q.Receive(buffer[:n], h.read, 50)
	// The probe that the burst asked for, if any, is read, too.
	for len(h.probes) > 0 {
		n, _ = h.read(buffer)
		q.Receive(buffer[:n], h.read, 0)
	}
	for h.now = 200; h.now < 2000; h.now += 100 {
		h.alive(q)
		q.Resume(50)
		h.now = h.now / 100 * 100
	}
	qt.Assert(t, q.Len(), qt.Equals, 0)
	before := len(h.longest)
	h.now = 1950
	q.Receive([]byte{byte(intake.Opening), byte(clock.Millis(1950) / 10)}, h.read, 50)
	qt.Check(t, h.longest[before] <= 150, qt.IsTrue, qt.Commentf("bound %d", h.longest[before]))
}
