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

// mechanism is one protection, the fault that it is for, and how to turn it off.
type mechanism struct {
	name string
	off  core.Mechanisms
	run  func(w *world)
	// broken judges the world when promises are measured and not only broken.
	broken func(w *world) bool
	// idle asks for no load but that of run.
	idle bool
}

func anyFault(w *world) bool { return len(w.faults) > 0 }

var mechanisms = []mechanism{
	{"exceptions", core.Mechanisms{Exceptions: true}, func(w *world) {
		w.startServer(21, "punnitus", 16)
		w.run(4 * clock.Second)
		w.kill("e2")
	}, anyFault, false},
	{"notes", core.Mechanisms{Notes: true}, func(w *world) {
		for _, s := range w.servers {
			s.work = 700
		}
		w.run(clock.Second)
		w.kill("e2")
	}, anyFault, false},
	{"ledger", core.Mechanisms{Ledger: true}, func(w *world) { w.doubled = 0.2 }, anyFault, false},
	{"fence", core.Mechanisms{Fence: true}, func(w *world) {
		w.startServer(21, "punnitus", 16)
		w.run(4 * clock.Second)
		w.isolate("e2", true)
		w.run(8 * clock.Second)
		w.heal()
	}, anyFault, false},
	{"ask", core.Mechanisms{Ask: true}, func(w *world) {
		w.startServer(21, "punnitus", 16)
		w.run(2 * clock.Second)
		w.startHost(5, 6)
		w.run(2 * clock.Second)
		w.leave("e3")
		w.run(clock.Second)
		w.leave("e4")
	}, func(w *world) bool { return len(w.faults) > 0 || w.callers.unknown > 0 }, false},
	{"bound", core.Mechanisms{Bound: true}, func(w *world) {
		for i := range 11 {
			w.startServer(100+i, "punnitus", 16)
		}
		w.run(15 * clock.Second)
		w.load(1400, 1, 5*clock.Second)
	}, func(w *world) bool { return w.imbalance() > 1.10 }, true},
}

// imbalance returns the busiest stream server's flows over the mean.
func (w *world) imbalance() float64 {
	sum, most, n := 0, 0, 0
	for _, s := range w.servers {
		if s.service == "punnitus" && s.alive && !s.draining {
			sum += len(s.flows)
			most = max(most, len(s.flows))
			n++
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}

// TestEachMechanismIsNeeded shows that each promise breaks when its mechanism
// is turned off, and holds with it, under the same fault and seeds.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, m := range mechanisms {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			brokenWith, brokenWithout := 0, 0
			var last []string
			for seed := range uint64(3) {
				w := mechanismWorld(seed, m, core.Mechanisms{})
				if m.broken(w) {
					brokenWith++
					last = w.faults
				}
				off := mechanismWorld(seed, m, m.off)
				if m.broken(off) {
					brokenWithout++
				}
			}
			c.Check(brokenWith, qt.Equals, 0, qt.Commentf("%v", last))
			c.Check(brokenWithout > 0, qt.IsTrue)
			t.Logf("broken in %d of 3 runs without it, %d with it", brokenWithout, brokenWith)
		})
	}
}

func mechanismWorld(seed uint64, m mechanism, off core.Mechanisms) *world {
	w := standard(200+seed, 5, 3, 16, off)
	if !m.idle {
		w.load(300, 150, 12*clock.Second)
	}
	w.run(3 * clock.Second)
	m.run(w)
	w.callers.settle(20 * clock.Second)
	return w
}

// TestServicesStayApart moves an address from one service to another while
// flows are open, and reuses a server's name and address for the other service.
func TestServicesStayApart(t *testing.T) {
	c := qt.New(t)
	w := newWorld(9, core.Mechanisms{})
	moved := "198.51.100.21:7001"
	w.control.roll(1, twoStreams(1, moved, "punnitus"))
	for i := range 4 {
		w.startHost(i, 4)
	}
	for i := range 3 {
		w.startServer(i, "punnitus", 16)
		w.startServer(10+i, "kuvat", 16)
	}
	w.run(6 * clock.Second)
	movedAddr := netip.MustParseAddrPort(moved)
	w.callers.services[movedAddr] = "punnitus"
	for range 100 {
		w.callers.open(movedAddr)
		w.run(20)
	}
	w.run(clock.Second)
	old := w.callers.all
	w.control.roll(2, twoStreams(2, moved, "kuvat"))
	w.run(5 * clock.Second)
	w.callers.services[movedAddr] = "kuvat"
	for range 50 {
		w.callers.open(movedAddr)
	}
	w.kill("e2")
	w.callers.settle(10 * clock.Second)
	c.Check(w.faults, qt.HasLen, 0)
	for _, f := range old {
		c.Assert(f.server.service, qt.Equals, "punnitus")
	}
	for _, f := range w.callers.all[len(old):] {
		c.Assert(f.server.service, qt.Equals, "kuvat")
	}
}

// twoStreams returns a bundle with two stream services, one of which owns the
// moved address besides its own.
func twoStreams(version spec.Version, moved, owner string) string {
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
