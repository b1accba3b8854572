package simnet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/lab/simnet"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// TestFloodShowsTheCollapse guards the model, not the product: without subsets it must
// have what was observed, that many entry hosts leave slots idle that few keep busy.
func TestFloodShowsTheCollapse(t *testing.T) {
	for _, test := range []struct {
		entryHosts int
		low, high  float64
	}{{6, 0.85, 1.1}, {84, 0.2, 0.6}, {294, 0.2, 0.6}} {
		s := simnet.Flood(test.entryHosts, 6, 6)
		s.Off = s.Off.With(tune.Subsets)
		r := simnet.Run(s, choose.DefaultSettings, 0)
		t.Log(r.DescribeFlood(&s, 0))
		use := r.UseOfSlots(&s)
		qt.Check(t, use > test.low && use < test.high, qt.IsTrue, qt.Commentf("%d entry hosts: %.3f of the slots", test.entryHosts, use))
	}
}

// checkFlood checks that servers reject few arrivals and that their slots are used, with a
// number of data centres evacuated.
func checkFlood(t *testing.T, seeds uint64, evacuated int) {
	t.Helper()
	for seed := range seeds {
		s := simnet.Flood(84, 6, 6)
		s.Failures = simnet.Failures{At: 5000, Evacuated: evacuated}
		r := simnet.Run(s, choose.DefaultSettings, seed)
		t.Log(r.DescribeFlood(&s, seed))
		rejected, use := float64(r.Shed)/float64(r.Arrivals), r.UseOfSlots(&s)
		qt.Check(t, rejected < 0.01, qt.IsTrue, qt.Commentf("seed %d: servers rejected %.3f of the arrivals", seed, rejected))
		qt.Check(t, use >= 0.95, qt.IsTrue, qt.Commentf("seed %d: %.3f of the slots", seed, use))
	}
}

// TestFloodWithAllDataCentres shows that TestFloodWhileEvacuated fails for the evacuation
// only.
func TestFloodWithAllDataCentres(t *testing.T) { checkFlood(t, 1, 0) }

// TestFloodWhileEvacuated guards against entry hosts of an evacuated data centre that take
// part in no split of the slots, so that they open flows which the servers reject.
func TestFloodWhileEvacuated(t *testing.T) { checkFlood(t, 2, 1) }
