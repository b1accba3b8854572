package matrix_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
)

// restBudget is the control traffic that a host may send in a second, in bytes.
const restBudget = 9000

// TestControlTraffic measures what one host sends to the others at rest and
// under load, by the count of hosts. Datagrams of the data path don't count.
func TestControlTraffic(t *testing.T) {
	for _, n := range []int{4, 8, 16, 32, 64} {
		c := qt.New(t)
		w := newWorld(1, core.Mechanisms{})
		w.control.roll(1, bundleText(1))
		for i := range n {
			w.startHost(i, n)
		}
		for i := range n {
			w.startServer(i, "tickets", 4)
		}
		w.run(15 * clock.Second)
		rest := w.sentIn(10 * clock.Second)
		w.load(0, 20*n, 10*clock.Second)
		began := time.Now()
		busy := w.sentIn(10 * clock.Second)
		took := time.Since(began).Seconds()
		t.Logf("measure: %d hosts and %d servers: %.0f bytes a second for a host at rest, %.0f with 20 requests a second for each host; processor %.2f%% of a core for a host",
			n, n, rest, busy, took/10/float64(n)*100)
		c.Check(rest <= restBudget, qt.IsTrue)
		c.Check(busy <= restBudget, qt.IsTrue)
	}
}

// sentIn returns the mean bytes that a host sent in a second over span.
func (w *world) sentIn(span clock.Millis) float64 {
	before := 0
	for _, h := range w.hosts {
		before += h.control
	}
	w.run(span)
	sum := 0
	for _, h := range w.hosts {
		sum += h.control
	}
	return float64(sum-before) / float64(len(w.hosts)) / span.Duration().Seconds()
}
