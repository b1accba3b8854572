package yard_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/lab/yard"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

const seeds = 4

func TestEachWayUnderEachLoad(t *testing.T) {
	for _, load := range yard.Loads() {
		for name, way := range yard.Ways() {
			t.Logf("%-8s %-34s %+v", load.Name, name, yard.Summarize(load, way, seeds))
		}
	}
}

// TestPlacementServesTheFearedLoads plays each load with the way in force, and
// checks what callers get against the way that looks at all servers.
func TestPlacementServesTheFearedLoads(t *testing.T) {
	c := qt.New(t)
	for _, load := range yard.Loads() {
		got := yard.Summarize(load, choose.DefaultSettings, seeds)
		share, worst, failed := got.InAim, got.Worst, got.Failed
		worstOfAll := yard.Summarize(load, yard.Ways()["anywhere, all, by requests"], seeds).Worst
		c.Check(worst > worstOfAll-0.02, qt.IsTrue, qt.Commentf("%s: worst seconds %.3f against %.3f", load.Name, worst, worstOfAll))
		switch load.Name {
		case "calm", "release":
			c.Check(share > 0.99, qt.IsTrue, qt.Commentf("%s: %.4f", load.Name, share))
			c.Check(failed, qt.Equals, 0.0)
		case "burst":
			c.Check(worst > worstOfAll+0.1, qt.IsTrue, qt.Commentf("burst: %.3f against %.3f", worst, worstOfAll))
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	c := qt.New(t)
	load := yard.Loads()[1]
	a, b := yard.Run(load, choose.DefaultSettings, 3), yard.Run(load, choose.DefaultSettings, 3)
	c.Check(a.Asked, qt.Equals, b.Asked)
	c.Check(a.InAim, qt.Equals, b.InAim)
	c.Check(a.Latency.Max(), qt.Equals, b.Latency.Max())
}
