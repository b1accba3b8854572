package dirsim_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// TestServerLongSilentStaysSoBesideALostControlHost guards against dead servers that are offered again after each short loss of contact with the quorum, once a control host is gone for good.
func TestServerLongSilentStaysSoBesideALostControlHost(t *testing.T) {
	for seed := range uint64(5) {
		sim := newSimulation(t, seed, 3)
		sim.publishWithRetry(1, ackTimeout)
		sim.awaitConvergence(recoveryTimeout)
		sim.announce(hostAddress(2), serverAt(2, 1), nil)
		sim.run(500)
		sim.powerOff(hostAddress(3))
		sim.run(evictAfter + recoveryTimeout + silentAfter + 5000)
		offered, current := clock.Millis(0), clock.Millis(0)
		host := sim.hosts[hostAddress(1)].core
		sim.c.Assert(host.Fleet().Find("s-2").Silent(), qt.IsTrue)
		for range 10 {
			sim.partition([]string{hostAddress(1)}, []string{hostAddress(2)}, true)
			sim.run(1000)
			sim.partition([]string{hostAddress(1)}, []string{hostAddress(2)}, false)
			for range 2500 {
				sim.run(1)
				if host.Current() {
					current++
					if s := host.Fleet().Find("s-2"); s != nil && !s.Silent() {
						offered++
					}
				}
			}
		}
		sim.c.Check(offered <= 10*2*exchangeInterval, qt.IsTrue, qt.Commentf("seed %d: offered for %d of %d ms", seed, offered, current))
	}
}
