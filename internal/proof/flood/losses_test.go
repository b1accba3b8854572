package flood_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/lab/simnet"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Goals for the requests and the reported loads from a second after the routers have
// noticed a change of entry hosts on.
const (
	goalAfterLoss  = 0.995
	maxTotalRatio  = 1.1
	maxServerExtra = 2.0
)

// rollDuration is how long a roll of all entry hosts takes.
const rollDuration = 6 * clock.Second

// losses are changes of entry hosts. The routers have noticed the last of them after
// settled.
func losses(entryHosts int) []struct {
	name     string
	failures simnet.Failures
	settled  clock.Millis
} {
	return []struct {
		name     string
		failures simnet.Failures
		settled  clock.Millis
	}{
		{"Killed30", simnet.Failures{Killed: 0.3}, 1000},
		{"Killed50", simnet.Failures{Killed: 0.5}, 1000},
		{"KilledDataCentre", simnet.Failures{Killed: 1, KilledInOne: true}, 1000},
		{"Killed30AndBack", simnet.Failures{Killed: 0.3, RestartAfter: 3000}, 4000},
		{"Rolled", simnet.Failures{RolledEvery: rollDuration / clock.Millis(entryHosts)}, rollDuration + 1500},
	}
}

// runLosses runs a scenario of Weighing for each change of entry hosts, with the counts
// from an offset to the time from which the routers have noticed it.
func runLosses(t *testing.T, entryHosts []int, factor float64, offset clock.Millis, check func(t *testing.T, s *simnet.Scenario, r *simnet.Result)) {
	for _, n := range entryHosts {
		for _, l := range losses(n) {
			t.Run(fmt.Sprint(n, "Hosts", l.name), func(t *testing.T) {
				t.Parallel()
				for seed := range *goalSeeds {
					s := simnet.Weighing(n, factor)
					s.Failures = l.failures
					s.Failures.At, s.Failures.Rehash = s.BurstFrom+2*clock.Second, true
					s.CountFrom = s.Failures.At + l.settled + offset
					s.BurstTo = s.CountFrom + 3*clock.Second
					s.Duration = s.BurstTo + 4*clock.Second
					r := simnet.Run(s, choose.DefaultSettings, seed)
					t.Logf("seed %d: feeds %+v, tickets %+v, refused %d, rejected %d, lost in front %d, reports %+v, use %.3f",
						seed, r.Kinds[0].Burst, r.Kinds[1].Burst, r.Refused, r.Shed, r.LostInFront, r.Counts, r.UseOfSlots(&s))
					check(t, &s, r)
				}
			})
		}
	}
}

// TestReportsCountMovedFlowsOnce guards against entry hosts that go on counting the
// requests of flows that routers have sent to other hosts, so that the reports show several
// times the requests that are on the servers.
func TestReportsCountMovedFlowsOnce(t *testing.T) {
	runLosses(t, []int{8, 60, 84, 296}, 3, clock.Second, func(t *testing.T, _ *simnet.Scenario, r *simnet.Result) {
		qt.Check(t, r.Counts.Total <= maxTotalRatio, qt.IsTrue, qt.Commentf("reports are %.2f times the requests", r.Counts.Total))
		qt.Check(t, r.Counts.Server <= maxServerExtra, qt.IsTrue, qt.Commentf("reports on a server exceed the requests by %.2f", r.Counts.Server))
	})
}

// TestRoomIsNotDeniedAfterLoss has three times the demand, which is 0.6 of the slots. It
// guards against openings that are refused while servers have free slots.
func TestRoomIsNotDeniedAfterLoss(t *testing.T) {
	runLosses(t, []int{8, 60, 84, 296}, 3, clock.Second/2, func(t *testing.T, _ *simnet.Scenario, r *simnet.Result) {
		for i := range r.Kinds {
			o := r.Kinds[i].Burst
			qt.Check(t, o.Share() >= goalAfterLoss, qt.IsTrue, qt.Commentf("%.4f of the requests in time", o.Share()))
			qt.Check(t, o.Failed, qt.Equals, 0)
		}
	})
}

// TestLateCopiesLeaveRoomOnNarrowLinks has six times the demand, with 30% of the entry
// hosts killed, on links that the storm of copies fills. It guards against flows that are opened
// for copies that come too late, which leave no room for requests that can be in time.
func TestLateCopiesLeaveRoomOnNarrowLinks(t *testing.T) {
	run := func(off tune.Off) *simnet.Result {
		s := simnet.Weighing(60, 6)
		s.LinkRate, s.Off = 1_200_000, off
		s.Failures = simnet.Failures{At: s.BurstFrom + 2*clock.Second, Killed: 0.3, Rehash: true}
		s.CountFrom = s.Failures.At + 1500
		s.BurstTo, s.Duration = s.CountFrom+3*clock.Second, s.CountFrom+6*clock.Second
		r := simnet.Run(s, choose.DefaultSettings, 0)
		t.Logf("use %.3f, feeds %+v, tickets %+v", r.UseOfSlots(&s), r.Kinds[0].Burst, r.Kinds[1].Burst)
		return r
	}
	with, without := run(0), run(tune.Off(0).With(tune.LateCopies))
	for i := range with.Kinds {
		qt.Check(t, with.Kinds[i].Burst.Share() > without.Kinds[i].Burst.Share(), qt.IsTrue, qt.Commentf("kind %d", i))
	}
}
