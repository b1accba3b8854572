package simnet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/lab/simnet"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

const seeds = 4

// TestReportEachStrategyInEachScenario checks nothing: it logs the figures of all
// combinations.
func TestReportEachStrategyInEachScenario(t *testing.T) {
	for _, scenario := range simnet.Scenarios() {
		for name, strategy := range simnet.Strategies() {
			t.Logf("%-8s %-50s %+v", scenario.Name, name, simnet.Summarize(scenario, strategy, seeds))
		}
	}
}

// TestPlacementServesTheFearedLoads simulates each scenario with the default
// strategy. The share of requests answered on time in the worst window must not
// fall behind the strategy that compares all servers, and must exceed it under a
// burst.
func TestPlacementServesTheFearedLoads(t *testing.T) {
	c := qt.New(t)
	for _, scenario := range simnet.Scenarios() {
		got := simnet.Summarize(scenario, choose.DefaultSettings, seeds)
		onTime, worst, failed := got.OnTime, got.WorstWindow, got.Failed
		baselineWorst := simnet.Summarize(scenario, simnet.Strategies()["any data centre, best of all, by requests"], seeds).WorstWindow
		c.Check(worst > baselineWorst-0.02, qt.IsTrue, qt.Commentf("%s: on-time share of the worst window %.3f, baseline %.3f", scenario.Name, worst, baselineWorst))
		switch scenario.Name {
		case "calm", "release":
			c.Check(onTime > 0.99, qt.IsTrue, qt.Commentf("%s: on-time share %.4f", scenario.Name, onTime))
			c.Check(failed, qt.Equals, 0.0)
		case "burst":
			c.Check(worst > baselineWorst+0.1, qt.IsTrue, qt.Commentf("burst: on-time share of the worst window %.3f, baseline %.3f", worst, baselineWorst))
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	c := qt.New(t)
	scenario := simnet.Scenarios()[1]
	a, b := simnet.Run(scenario, choose.DefaultSettings, 3), simnet.Run(scenario, choose.DefaultSettings, 3)
	c.Check(a.Requests, qt.Equals, b.Requests)
	c.Check(a.OnTime, qt.Equals, b.OnTime)
	c.Check(a.Latency.Max(), qt.Equals, b.Latency.Max())
}

// TestOverloadAnswersWhatTheSlotsBear plays several times the usual demand. Of what
// the slots can serve in that time, 85% must be answered within the latency targets
// at three times the demand, and 80% at ten times, as a mean over the seeds.
func TestOverloadAnswersWhatTheSlotsBear(t *testing.T) {
	const seeds = 8
	for _, test := range []struct {
		factor float64
		length clock.Millis
		want   float64
	}{{3, 6000, 0.85}, {10, 2000, 0.8}} {
		scenario := simnet.Overload(test.factor, test.length)
		slots := scenario.DataCentres * scenario.Servers * scenario.Slots
		capacity := float64(slots) * float64(test.length) / float64(scenario.ServiceTime)
		mean := 0.0
		for seed := range uint64(seeds) {
			got := simnet.Run(scenario, choose.DefaultSettings, seed)
			share := float64(got.Burst.OnTime) / capacity
			t.Logf("factor %v, seed %d: %.3f of the capacity on time; %+v, refused %d, shed %d",
				test.factor, seed, share, got.Burst, got.Refused, got.Shed)
			mean += share / seeds
		}
		qt.Check(t, mean >= test.want, qt.IsTrue, qt.Commentf("factor %v: %.3f of the capacity on time, want %.2f", test.factor, mean, test.want))
	}
}

// TestCompareIsPaired compares a scenario with itself, and with one that switches off
// what it depends on.
func TestCompareIsPaired(t *testing.T) {
	c := qt.New(t)
	scenario := simnet.Overload(3, 3000)
	same := simnet.Compare(scenario, scenario, choose.DefaultSettings, 3)
	c.Check(same.OnTime.Change, qt.Equals, 0.0)
	c.Check(same.OnTime.Error, qt.Equals, 0.0)
	without := scenario
	without.Off = without.Off.With(tune.Admission)
	d := simnet.Compare(scenario, without, choose.DefaultSettings, 3)
	c.Check(d.OnTime.Change+d.OnTime.Error < 0, qt.IsTrue, qt.Commentf("%+v", d))
}
