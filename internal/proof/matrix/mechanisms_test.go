package matrix_test

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/entry/core"
)

// mechanism is one protection, with a fault that it protects against.
type mechanism struct {
	name     string
	disabled core.Mechanisms
	inject   func(cl *cluster)
	// failed reports whether the run violated what the mechanism protects.
	failed func(cl *cluster) bool
	// noLoad skips the default load, because inject starts its own.
	noLoad bool
}

// anyViolation reports whether an invariant did not hold.
func anyViolation(cl *cluster) bool { return len(cl.violations) > 0 }

var mechanisms = []mechanism{
	{"flow replication", core.Mechanisms{FlowReplication: true}, func(cl *cluster) {
		cl.startServer(21, "punnitus", 16)
		cl.run(4 * clock.Second)
		cl.kill("e2")
	}, anyViolation, false},
	{"request replication", core.Mechanisms{RequestReplication: true}, func(cl *cluster) {
		for _, s := range cl.servers {
			s.serviceTime = 700
		}
		cl.run(clock.Second)
		cl.kill("e2")
	}, anyViolation, false},
	{"deduplication", core.Mechanisms{Deduplication: true}, func(cl *cluster) { cl.fabricDuplicateRate = 0.2 }, anyViolation, false},
	{"fencing", core.Mechanisms{Fencing: true}, func(cl *cluster) {
		cl.startServer(21, "punnitus", 16)
		cl.run(4 * clock.Second)
		cl.isolate("e2", true)
		cl.run(8 * clock.Second)
		cl.heal()
	}, anyViolation, false},
	{"owner lookup", core.Mechanisms{OwnerLookup: true}, func(cl *cluster) {
		cl.startServer(21, "punnitus", 16)
		cl.run(2 * clock.Second)
		cl.startHost(5, 6)
		cl.run(2 * clock.Second)
		cl.leave("e3")
		cl.run(clock.Second)
		cl.leave("e4")
	}, func(cl *cluster) bool { return len(cl.violations) > 0 || cl.clients.unknownOutcomes > 0 }, false},
	{"load bound", core.Mechanisms{LoadBound: true}, func(cl *cluster) {
		for i := range 11 {
			cl.startServer(100+i, "punnitus", 16)
		}
		cl.run(15 * clock.Second)
		cl.startLoad(1400, 1, 5*clock.Second)
	}, func(cl *cluster) bool { return cl.imbalance() > 1.10 }, true},
}

// imbalance returns the highest count of flows on a stream server divided by the
// mean. Draining servers do not count.
func (cl *cluster) imbalance() float64 {
	sum, highest, n := 0, 0, 0
	for _, s := range cl.servers {
		if s.service == "punnitus" && s.alive && !s.draining {
			sum += len(s.flows)
			highest = max(highest, len(s.flows))
			n++
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) * float64(n) / float64(sum)
}

// TestEachMechanismIsNeeded injects the same fault with the same seeds with each
// mechanism disabled and enabled. Some run must fail without the mechanism, and
// none with it.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			failedEnabled, failedDisabled := 0, 0
			var lastViolations []string
			for seed := range uint64(3) {
				cl := runMechanism(seed, m, core.Mechanisms{})
				if m.failed(cl) {
					failedEnabled++
					lastViolations = cl.violations
				}
				without := runMechanism(seed, m, m.disabled)
				if m.failed(without) {
					failedDisabled++
				}
			}
			c.Check(failedEnabled, qt.Equals, 0, qt.Commentf("%v", lastViolations))
			c.Check(failedDisabled > 0, qt.IsTrue)
			t.Logf("%d of 3 runs failed with the mechanism disabled, %d with it enabled", failedDisabled, failedEnabled)
		})
	}
}

// runMechanism injects the fault of m in a cluster and runs it to its end.
func runMechanism(seed uint64, m mechanism, disabled core.Mechanisms) *cluster {
	cl := newReadyCluster(200+seed, 5, 3, 16, disabled)
	if !m.noLoad {
		cl.startLoad(300, 150, 12*clock.Second)
	}
	cl.run(3 * clock.Second)
	m.inject(cl)
	cl.clients.runAndVerify(20 * clock.Second)
	return cl
}

// TestServicesStayApart moves an address from one service to another while flows
// are open. Open flows must stay with the old service; new ones go to the other.
func TestServicesStayApart(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(9, core.Mechanisms{})
	moved := "198.51.100.21:7001"
	cl.control.rollOut(1, twoServiceBundle(1, moved, "punnitus"))
	for i := range 4 {
		cl.startHost(i, 4)
	}
	for i := range 3 {
		cl.startServer(i, "punnitus", 16)
		cl.startServer(10+i, "kuvat", 16)
	}
	cl.run(6 * clock.Second)
	movedAddr := netip.MustParseAddrPort(moved)
	cl.clients.serviceByAddr[movedAddr] = "punnitus"
	for range 100 {
		cl.clients.openFlow(movedAddr)
		cl.run(20)
	}
	cl.run(clock.Second)
	oldFlows := cl.clients.allFlows
	cl.control.rollOut(2, twoServiceBundle(2, moved, "kuvat"))
	cl.run(5 * clock.Second)
	cl.clients.serviceByAddr[movedAddr] = "kuvat"
	for range 50 {
		cl.clients.openFlow(movedAddr)
	}
	cl.kill("e2")
	cl.clients.runAndVerify(10 * clock.Second)
	c.Check(cl.violations, qt.HasLen, 0)
	for _, f := range oldFlows {
		c.Assert(f.server.service, qt.Equals, "punnitus")
	}
	for _, f := range cl.clients.allFlows[len(oldFlows):] {
		c.Assert(f.server.service, qt.Equals, "kuvat")
	}
}

// twoServiceBundle returns a bundle with two stream services. The service owner also
// has the address moved.
func twoServiceBundle(version spec.Version, moved, owner string) string {
	own := map[string]string{"punnitus": "198.51.100.20:7001", "kuvat": "198.51.100.30:7001"}
	text := fmt.Sprintf("version = %d\n[[dataCentre]]\nname = \"oulu1\"\n", version)
	for _, name := range []string{"punnitus", "kuvat"} {
		addresses := fmt.Sprintf("%q", own[name])
		if name == owner {
			addresses += fmt.Sprintf(", %q", moved)
		}
		text += fmt.Sprintf("[[service]]\nname = %q\nkind = \"stream\"\nprotocol = \"tcp\"\naddresses = [%s]\n", name, addresses)
	}
	return text
}
