package loads_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/loads"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

func centreOf(token uint32) string {
	if token == 0 {
		return ""
	}
	return fmt.Sprint("hall-", token%3)
}

// TestSumsStayExact compares the sums with those of the latest reports, after many
// reports of hosts that come and go.
func TestSumsStayExact(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	a := loads.New()
	latest, at := map[string]choose.Loads{}, map[string]clock.Millis{}
	now := clock.Millis(1)
	for id := range uint64(5000) {
		now += clock.Millis(r.IntN(20))
		host := fmt.Sprint("e", r.IntN(40))
		l := choose.Loads{}
		for range r.IntN(5) {
			l[1+uint32(r.IntN(30))] = choose.Load{InFlight: float32(r.IntN(4096)) / 1024, Flows: float32(r.IntN(64)) / 16}
		}
		a.SetReport(now, host, id+1, l)
		latest[host], at[host] = l, now
	}
	now += 250
	want := choose.Loads{}
	for host, l := range latest {
		if now-at[host] <= clock.Second {
			want.Add(l)
		}
	}
	qt.Check(t, a.LocalSum(now), qt.DeepEquals, want)
	qt.Check(t, a.LocalSum(now+3*clock.Second), qt.HasLen, 0)
}

// TestTotalsTellWhichReportTheyInclude has a host report again before the totals are
// encoded anew: it must know which of its reports to take off.
func TestTotalsTellWhichReportTheyInclude(t *testing.T) {
	a := loads.New()
	load := func(v float32) choose.Loads { return choose.Loads{3: {InFlight: v}} }
	inHall0 := func(now clock.Millis) (choose.Loads, uint64) {
		totals, id := a.Totals(now, "e1", centreOf)
		qt.Assert(t, totals, qt.HasLen, 1)
		qt.Assert(t, totals[0].Centre, qt.Equals, "hall-0")
		l := choose.Loads{}
		qt.Assert(t, l.Parse(totals[0].Loads), qt.IsNil)
		return l, id
	}
	a.SetReport(0, "e1", 11, load(1))
	a.SetReport(0, "e2", 12, load(2))
	got, id := inHall0(10)
	qt.Check(t, got, qt.DeepEquals, load(3))
	qt.Check(t, id, qt.Equals, uint64(11))
	a.SetReport(20, "e1", 13, load(5))
	got, id = inHall0(30)
	qt.Check(t, got, qt.DeepEquals, load(3))
	qt.Check(t, id, qt.Equals, uint64(11))
	got, id = inHall0(130)
	qt.Check(t, got, qt.DeepEquals, load(7))
	qt.Check(t, id, qt.Equals, uint64(13))
	a.SetReport(140, "e3", 14, choose.Loads{0: {InFlight: 9}})
	a.SetControlSum(150, "c2", load(1))
	got, _ = inHall0(400)
	qt.Check(t, got, qt.DeepEquals, load(8), qt.Commentf("without the unknown server, with the other control host"))
	qt.Check(t, a.TotalWithout(400, "e1")[3], qt.Equals, choose.Load{InFlight: 3})
}
