package intake_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/token/intake"
)

// TestTicksInTimeAreNoEventLoop guards against an opening that is taken for fresh because the event loop had read it, and not yet said so, when tickers in time found the socket empty.
func TestTicksInTimeAreNoEventLoop(t *testing.T) {
	h, q := newHost(0)
	for h.now = 100; h.now <= 400; h.now += 100 {
		q.Alive(h.now, false)
	}
	q.Receive([]byte{byte(intake.Opening), 11}, h.read, 50)
	qt.Check(t, h.longest[0] >= h.decided[intake.Opening][0], qt.IsTrue, qt.Commentf("waited %d, bound %d", h.decided[intake.Opening][0], h.longest[0]))
}
