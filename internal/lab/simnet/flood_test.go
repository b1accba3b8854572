package simnet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/lab/simnet"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// logFlood logs the figures of a run.
func logFlood(t *testing.T, s *simnet.Scenario, seed uint64, r *simnet.Result) {
	t.Helper()
	reads, reports := &r.Kinds[0], &r.Kinds[1]
	t.Logf("%s, %d entry hosts, reads x%v, reports x%v, seed %d: %.3f of the slots, in time %.3f of reads and %.3f of reports, "+
		"after the burst %.3f and %.3f; refused %d, servers rejected %d of %d", s.Name, s.DataCentres*s.Hosts, s.Kinds[0].Burst, s.Kinds[1].Burst,
		seed, r.UseOfSlots(s), reads.Burst.Share(), reports.Burst.Share(), reads.After.Share(), reports.After.Share(), r.Refused, r.Shed, r.Arrivals)
}

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
		logFlood(t, &s, 0, r)
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
		logFlood(t, &s, seed, r)
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
