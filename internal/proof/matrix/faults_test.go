package matrix_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
)

// faultCase brings about one fault in a world under load.
type faultCase struct {
	name string
	run  func(w *world)
	// excuse lists kinds of endings that the fault may bring.
	unknown bool
}

var faultCases = []faultCase{
	{name: "nothing", run: func(*world) {}},
	{name: "balancer dies", unknown: true, run: func(w *world) { w.kill("e2") }},
	{name: "balancer dies twice", unknown: true, run: func(w *world) {
		w.kill("e2")
		w.run(5 * clock.Second)
		w.kill("e3")
	}},
	{name: "balancer dies and comes back at once", unknown: true, run: func(w *world) {
		w.kill("e2")
		w.run(200)
		w.startHost(1, 5)
	}},
	{name: "balancer joins", run: func(w *world) { w.startHost(5, 6) }},
	{name: "balancer leaves", run: func(w *world) { w.leave("e2") }},
	{name: "balancer freezes and returns", unknown: true, run: func(w *world) {
		w.freeze("e2")
		w.run(8 * clock.Second)
		w.thaw("e2")
	}},
	{name: "balancer freezes shortly", unknown: true, run: func(w *world) {
		w.freeze("e2")
		w.run(600)
		w.thaw("e2")
	}},
	{name: "balancer is isolated and returns", unknown: true, run: func(w *world) {
		w.isolate("e2", true)
		w.run(8 * clock.Second)
		w.heal()
	}},
	{name: "balancer is isolated one way", unknown: true, run: func(w *world) {
		w.isolate("e2", false)
		w.run(8 * clock.Second)
		w.heal()
	}},
	{name: "server drains", run: func(w *world) { w.servers["s1"].drain(); w.servers["s2"].drain() }},
	{name: "server joins", run: func(w *world) {
		w.startServer(20, "tickets", 16)
		w.startServer(21, "punnitus", 16)
	}},
	{name: "server sheds", run: func(w *world) { w.servers["s1"].sheds = true }},
	{name: "server goes silent", unknown: true, run: func(w *world) { w.servers["s1"].silent = true }},
	{name: "server dies", unknown: true, run: func(w *world) {
		w.servers["s1"].die()
		w.servers["s2"].die()
	}},
	{name: "fabric loses and doubles", run: func(w *world) { w.lost, w.doubled = 0.05, 0.05 }},
	{name: "control is cut off", run: func(w *world) { w.control.down = true }},
	{name: "bundle rolls", run: func(w *world) { w.control.roll(2, bundleText(2)) }},
}

func TestEachFaultUnderLoad(t *testing.T) {
	for _, fc := range faultCases {
		t.Run(fc.name, func(t *testing.T) {
			for seed := range uint64(2) {
				c := qt.New(t)
				w := standard(seed, 5, 3, 16, core.Mechanisms{})
				w.doubled = 0.01
				w.load(200, 200, 20*clock.Second)
				w.run(3 * clock.Second)
				fc.run(w)
				w.callers.settle(25 * clock.Second)
				c.Check(w.faults, qt.HasLen, 0)
				if !fc.unknown {
					c.Check(w.callers.unknown, qt.Equals, 0)
				}
				t.Logf("seed %d: answered %d refusals %d unknown %d overruns %d", seed, w.callers.answered, w.callers.refusals, w.callers.unknown, w.callers.overruns)
			}
		})
	}
}

// TestPairsOfFaults brings two faults one shortly after the other.
func TestPairsOfFaults(t *testing.T) {
	for i, a := range faultCases {
		for j, b := range faultCases {
			if (i*7+j)%5 != 0 && testing.Short() {
				continue
			}
			t.Run(fmt.Sprintf("%s, %s", a.name, b.name), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				w := standard(uint64(100+20*i+j), 5, 3, 16, core.Mechanisms{})
				w.doubled = 0.01
				w.load(60, 60, 20*clock.Second)
				w.run(3 * clock.Second)
				a.run(w)
				w.run(clock.Millis(w.rand.IntN(3000)))
				if !(a.name == b.name && a.name == "bundle rolls") {
					b.run(w)
				}
				w.callers.settle(25 * clock.Second)
				verdicts.Note(a.name, b.name, len(w.faults) == 0)
				c.Check(w.faults, qt.HasLen, 0)
			})
		}
	}
}
