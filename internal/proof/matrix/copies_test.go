package matrix_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// openFlowWithCopies starts a flow whose client sends three copies of the opening packet.
func (c *clients) openFlowWithCopies() {
	f := c.openFlow(streamVIP)
	for _, delay := range []clock.Millis{200, 600, 1400} {
		c.cluster.queue.Add(c.cluster.now+delay, func() {
			if !f.broken {
				c.sendViaFabric(inner.BuildTCP(f.src, f.dst, inner.Segment{Flags: inner.SYN, Seq: f.isn}))
			}
		})
	}
}

// TestNewOwnerOpensNoFlowAgain guards against an opening that two servers answer: the copy
// of an opening packet comes to a host that took over the flow without a record.
func TestNewOwnerOpensNoFlowAgain(t *testing.T) {
	for _, name := range []string{"entry host dies and restarts after 200 ms", "entry host is isolated one way for 8 s"} {
		t.Run(name, func(t *testing.T) {
			fault := faultCases[slices.IndexFunc(faultCases, func(fc faultCase) bool { return fc.name == name })]
			for _, seed := range []uint64{0, 1, 3} {
				cl := newReadyCluster(seed, 5, 3, 16, core.Mechanisms{})
				for range 1000 {
					cl.queue.Add(cl.now+clock.Millis(cl.rand.Int64N(int64(15*clock.Second))), cl.clients.openFlowWithCopies)
				}
				cl.run(3 * clock.Second)
				fault.inject(cl)
				cl.clients.runAndVerify(16 * clock.Second)
				qt.Check(t, cl.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}
