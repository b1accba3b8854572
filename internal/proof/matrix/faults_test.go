package matrix_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
)

// faultCase is one fault to inject in a cluster under load.
type faultCase struct {
	// name is a row and a column of the report.
	name   string
	inject func(cl *cluster)
	// allowsUnknown is set if requests may end with an unknown outcome.
	allowsUnknown bool
}

var faultCases = []faultCase{
	{name: "nothing", inject: func(*cluster) {}},
	{name: "entry host dies", allowsUnknown: true, inject: func(cl *cluster) { cl.kill("e2") }},
	{name: "two entry hosts die", allowsUnknown: true, inject: func(cl *cluster) {
		cl.kill("e2")
		cl.run(5 * clock.Second)
		cl.kill("e3")
	}},
	{name: "entry host dies and restarts after 200 ms", allowsUnknown: true, inject: func(cl *cluster) {
		cl.kill("e2")
		cl.run(200)
		cl.startHost(1, 5)
	}},
	{name: "entry host joins", inject: func(cl *cluster) { cl.startHost(5, 6) }},
	{name: "entry host leaves", inject: func(cl *cluster) { cl.leave("e2") }},
	{name: "entry host freezes for 8 s", allowsUnknown: true, inject: func(cl *cluster) {
		cl.freeze("e2")
		cl.run(8 * clock.Second)
		cl.unfreeze("e2")
	}},
	{name: "entry host freezes for 600 ms", allowsUnknown: true, inject: func(cl *cluster) {
		cl.freeze("e2")
		cl.run(600)
		cl.unfreeze("e2")
	}},
	{name: "entry host is isolated for 8 s", allowsUnknown: true, inject: func(cl *cluster) {
		cl.isolate("e2", true)
		cl.run(8 * clock.Second)
		cl.heal()
	}},
	{name: "entry host is isolated one way for 8 s", allowsUnknown: true, inject: func(cl *cluster) {
		cl.isolate("e2", false)
		cl.run(8 * clock.Second)
		cl.heal()
	}},
	{name: "servers drain", inject: func(cl *cluster) { cl.servers["s1"].drain(); cl.servers["s2"].drain() }},
	{name: "servers join", inject: func(cl *cluster) {
		cl.startServer(20, "tickets", 16)
		cl.startServer(21, "punnitus", 16)
	}},
	{name: "server sheds load", inject: func(cl *cluster) { cl.servers["s1"].shedding = true }},
	{name: "server goes silent", allowsUnknown: true, inject: func(cl *cluster) { cl.servers["s1"].silent = true }},
	{name: "servers die", allowsUnknown: true, inject: func(cl *cluster) {
		cl.servers["s1"].die()
		cl.servers["s2"].die()
	}},
	{name: "fabric loses and duplicates packets", inject: func(cl *cluster) { cl.fabricLossRate, cl.fabricDuplicateRate = 0.05, 0.05 }},
	{name: "control host is down", inject: func(cl *cluster) { cl.control.down = true }},
	{name: "bundle is rolled out", inject: func(cl *cluster) { cl.control.rollOut(2, bundleText(2)) }},
}

// TestEachFaultUnderLoad checks that no fault alone violates an invariant.
func TestEachFaultUnderLoad(t *testing.T) {
	for _, fc := range faultCases {
		t.Run(fc.name, func(t *testing.T) {
			for seed := range uint64(2) {
				c := qt.New(t)
				cl := newReadyCluster(seed, 5, 3, 16, core.Mechanisms{})
				cl.fabricDuplicateRate = 0.01
				cl.startLoad(200, 200, 20*clock.Second)
				cl.run(3 * clock.Second)
				fc.inject(cl)
				cl.clients.runAndVerify(25 * clock.Second)
				c.Check(cl.violations, qt.HasLen, 0)
				if !fc.allowsUnknown {
					c.Check(cl.clients.unknownOutcomes, qt.Equals, 0)
				}
				t.Logf("seed %d: %d answered, %d refusals, %d unknown, %d slot overruns", seed, cl.clients.answered, cl.clients.refusals, cl.clients.unknownOutcomes, cl.clients.slotOverruns)
			}
		})
	}
}

// TestPairsOfFaults injects the second of two faults up to 3 s after the first.
func TestPairsOfFaults(t *testing.T) {
	for i, a := range faultCases {
		for j, b := range faultCases {
			// With -short, only a fifth of the pairs is run.
			if (i*7+j)%5 != 0 && testing.Short() {
				continue
			}
			t.Run(fmt.Sprintf("%s, %s", a.name, b.name), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				cl := newReadyCluster(uint64(100+20*i+j), 5, 3, 16, core.Mechanisms{})
				cl.fabricDuplicateRate = 0.01
				cl.startLoad(60, 60, 20*clock.Second)
				cl.run(3 * clock.Second)
				a.inject(cl)
				cl.run(clock.Millis(cl.rand.IntN(3000)))
				// The fault rolls out version 2, which is done once at most.
				if !(a.name == b.name && a.name == "bundle is rolled out") {
					b.inject(cl)
				}
				cl.clients.runAndVerify(25 * clock.Second)
				results.Record(a.name, b.name, len(cl.violations) == 0)
				c.Check(cl.violations, qt.HasLen, 0)
			})
		}
	}
}
