package matrix_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
)

// controlBudget is the limit of the control traffic that one host sends, in bytes
// per second.
const controlBudget = 9000

// TestControlTrafficStaysWithinBudget measures the frames that a host sends at rest
// and under load in clusters of 4 to 64 hosts. Datagrams of the data path do not
// count.
func TestControlTrafficStaysWithinBudget(t *testing.T) {
	for _, n := range []int{4, 8, 16, 32, 64} {
		c := qt.New(t)
		cl := newCluster(1, core.Mechanisms{})
		cl.control.rollOut(1, bundleText(1))
		for i := range n {
			cl.startHost(i, n)
		}
		for i := range n {
			cl.startServer(i, "tickets", 4)
		}
		cl.run(15 * clock.Second)
		atRest := cl.controlBytesPerSecond(10 * clock.Second)
		cl.startLoad(0, 20*n, 10*clock.Second)
		began := time.Now()
		underLoad := cl.controlBytesPerSecond(10 * clock.Second)
		seconds := time.Since(began).Seconds()
		t.Logf("measure: %d hosts and %d servers: %.0f bytes/s per host at rest, %.0f bytes/s with 20 requests/s per host; CPU %.2f%% of a core per host",
			n, n, atRest, underLoad, seconds/10/float64(n)*100)
		c.Check(atRest <= controlBudget, qt.IsTrue)
		c.Check(underLoad <= controlBudget, qt.IsTrue)
	}
}

// controlBytesPerSecond runs the cluster for span and returns the mean rate of
// control traffic that a host sends.
func (cl *cluster) controlBytesPerSecond(span clock.Millis) float64 {
	before := 0
	for _, h := range cl.hosts {
		before += h.controlBytes
	}
	cl.run(span)
	sum := 0
	for _, h := range cl.hosts {
		sum += h.controlBytes
	}
	return float64(sum-before) / float64(len(cl.hosts)) / span.Duration().Seconds()
}
