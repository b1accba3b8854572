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
	q.Alive(h.now)
	// The datagram arrives at 110.
	for h.now = 200; h.now < 400; h.now += 100 {
		q.Alive(h.now)
	}
	q.Receive([]byte{byte(intake.Opening), 11}, h.read, 50)
	qt.Check(t, h.longest[0] >= h.decided[intake.Opening][0], qt.IsTrue, qt.Commentf("waited %d, bound %d", h.decided[intake.Opening][0], h.longest[0]))
}

// TestPauseOfAQuietHostIsForgotten guards against an opening that is dropped as outdated for a pause long before it arrived.
func TestPauseOfAQuietHostIsForgotten(t *testing.T) {
	for _, pause := range []clock.Millis{160, 600} {
		h, q := newHost(0)
		h.now = 100
		q.Alive(h.now)
		for h.now += pause; h.now < 2000; h.now += 100 {
			q.Alive(h.now)
		}
		q.Receive([]byte{byte(intake.Opening), byte(h.now / 10)}, h.read, 50)
		qt.Check(t, h.longest[0] <= 150, qt.IsTrue, qt.Commentf("pause of %d: bound %d", pause, h.longest[0]))
	}
}
