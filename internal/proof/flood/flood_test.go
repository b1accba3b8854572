package flood_test

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/lab/simnet"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Goals of docs/design/hard-load.md.
const (
	goalInTime   = 0.95
	goalUrgent   = 0.97
	goalAfter    = 0.99
	goalRejected = 0.01
)

var goalSeeds = flag.Uint64("goal.seeds", 1, "number of seeds for each scenario of the goal tests")

// flood is a demand, as factors on the usual reads and reports.
type flood struct {
	reads, reports float64
	// fits is set if the slots bear all requests, urgentFits if they bear the reports.
	fits, urgentFits bool
}

// floods are the demands to test.
var floods = []flood{{3.5, 3.5, true, true}, {6, 6, false, true}, {10, 10, false, false}, {10, 1, false, true}}

// mean returns the mean of a figure over results.
func mean(results []*simnet.Result, figure func(*simnet.Result) float64) float64 {
	sum := 0.0
	for _, r := range results {
		sum += figure(r)
	}
	return sum / float64(len(results))
}

// checkAtLeast checks the mean of a figure over results.
func checkAtLeast(t *testing.T, results []*simnet.Result, name string, want float64, figure func(*simnet.Result) float64) {
	t.Helper()
	got := mean(results, figure)
	qt.Check(t, got >= want, qt.IsTrue, qt.Commentf("%s: %.4f, want at least %.3f", name, got, want))
}

// runFlood runs a scenario with some seeds and checks that hardly anything is rejected by
// servers, and that the load before and after the burst is served.
func runFlood(t *testing.T, s *simnet.Scenario) []*simnet.Result {
	t.Helper()
	var results []*simnet.Result
	for seed := range *goalSeeds {
		r := simnet.Run(*s, choose.DefaultSettings, seed)
		t.Log(r.DescribeFlood(s, seed))
		results = append(results, r)
	}
	for i, k := range s.Kinds {
		checkAtLeast(t, results, k.Name+" before the burst", 0.999, func(r *simnet.Result) float64 { return r.Kinds[i].Rest.Share() })
		checkAtLeast(t, results, k.Name+" after the burst", goalAfter, func(r *simnet.Result) float64 { return r.Kinds[i].After.Share() })
	}
	return results
}

func notRejected(r *simnet.Result) float64 { return 1 - float64(r.Shed)/float64(r.Arrivals) }

func useOfSlots(s *simnet.Scenario) func(*simnet.Result) float64 {
	return func(r *simnet.Result) float64 { return r.UseOfSlots(s) }
}

func inTime(r *simnet.Result) float64 {
	var all simnet.Outcomes
	for i := range r.Kinds {
		all.Requests += r.Kinds[i].Burst.Requests
		all.OnTime += r.Kinds[i].Burst.OnTime
	}
	return all.Share()
}

func urgentInTime(r *simnet.Result) float64 { return r.Kinds[1].Burst.Share() }

// check runs a scenario with the demand and checks the goals for it.
func (f *flood) check(t *testing.T, s *simnet.Scenario) {
	t.Helper()
	results := runFlood(t, s)
	checkAtLeast(t, results, "arrivals that servers don't reject", 1-goalRejected, notRejected)
	if f.fits {
		checkAtLeast(t, results, "in time", goalInTime, inTime)
	} else {
		checkAtLeast(t, results, "use of the slots", goalInTime, useOfSlots(s))
	}
	if f.urgentFits {
		checkAtLeast(t, results, "urgent requests in time", goalUrgent, urgentInTime)
	}
}

// TestManyHostsKeepSlotsBusyUnderOverload checks the goals for overload. It guards
// against entry hosts that all open flows on the same servers and then all refuse, which
// leaves slots idle.
func TestManyHostsKeepSlotsBusyUnderOverload(t *testing.T) {
	for _, entryHosts := range []int{84, 6, 66, 294} {
		for _, f := range floods {
			t.Run(fmt.Sprint(entryHosts, "Hosts", f.reads, "Reads", f.reports, "Reports"), func(t *testing.T) {
				t.Parallel()
				s := simnet.Flood(entryHosts, f.reads, f.reports)
				f.check(t, &s)
			})
		}
	}
}

// TestFloodOnShortQueues has the servers that the customer describes, which reject at
// once what finds 8 requests waiting, and any request after 160 ms.
func TestFloodOnShortQueues(t *testing.T) {
	for _, f := range floods {
		t.Run(fmt.Sprint(f.reads, "Reads", f.reports, "Reports"), func(t *testing.T) {
			t.Parallel()
			s := simnet.Flood(84, f.reads, f.reports)
			s.Queue, s.QueueTimeout = 8, 160
			f.check(t, &s)
		})
	}
}

// failureAt is when the failures begin, one second into the burst.
const failureAt = 11 * clock.Second

// TestFloodWithKilledHosts kills a third of the entry hosts in a burst. Their clients
// lose packets until the router notices after a second, and their places are unused until
// the list changes. From then on the goals hold.
func TestFloodWithKilledHosts(t *testing.T) {
	s := simnet.Flood(84, 6, 6)
	s.BurstTo, s.Duration = 18_000, 23_000
	s.Failures = simnet.Failures{At: failureAt, Killed: 1.0 / 3}
	whole := runFlood(t, &s)
	// Of 8 s, one lacks a third of the packets, and 1.6 s lack a third of the places.
	checkAtLeast(t, whole, "use of the slots", 0.85, useOfSlots(&s))
	s.CountFrom = failureAt + 3*clock.Second
	after := runFlood(t, &s)
	checkAtLeast(t, after, "use of the slots after the list changed", goalInTime, useOfSlots(&s))
	checkAtLeast(t, after, "urgent requests after the list changed", goalUrgent, urgentInTime)
}

// TestFloodWithPausedHosts pauses a tenth of the entry hosts for 3 s. They go on with the
// list from before, while the others have split their places.
func TestFloodWithPausedHosts(t *testing.T) {
	s := simnet.Flood(84, 6, 6)
	s.BurstTo, s.Duration = 18_000, 23_000
	s.Failures = simnet.Failures{At: failureAt, Killed: 0.1, PausedFor: 3 * clock.Second}
	s.CountFrom = failureAt + s.Failures.PausedFor
	results := runFlood(t, &s)
	checkAtLeast(t, results, "use of the slots", goalInTime, useOfSlots(&s))
	checkAtLeast(t, results, "urgent requests in time", goalUrgent, urgentInTime)
}

// TestFloodWithCutDataCentre cuts a data centre off for 3 s of the burst.
func TestFloodWithCutDataCentre(t *testing.T) {
	s := simnet.Flood(84, 6, 6)
	s.CutAt, s.CutDuration = failureAt, 3*clock.Second
	results := runFlood(t, &s)
	checkAtLeast(t, results, "use of the slots", 0.9, useOfSlots(&s))
	checkAtLeast(t, results, "urgent requests in time", 0.95, urgentInTime)
}

// TestFloodWithDifferingLists has half of the entry hosts miss a tenth of them for a
// second. Places with two owners put a few requests too many on a server.
func TestFloodWithDifferingLists(t *testing.T) {
	s := simnet.Flood(84, 6, 6)
	s.Failures = simnet.Failures{At: failureAt, Differing: 0.1}
	results := runFlood(t, &s)
	checkAtLeast(t, results, "arrivals that servers don't reject", 1-goalRejected, notRejected)
	checkAtLeast(t, results, "use of the slots", goalInTime, useOfSlots(&s))
	checkAtLeast(t, results, "urgent requests in time", goalUrgent, urgentInTime)
}

// TestFloodWithSlowServers makes a tenth of the servers five times as slow during the
// burst. What is on them is late, but must not keep the others idle.
func TestFloodWithSlowServers(t *testing.T) {
	s := simnet.Flood(84, 6, 6)
	s.Failures = simnet.Failures{At: failureAt - clock.Second, Slow: 0.1, SlowFactor: 5}
	results := runFlood(t, &s)
	checkAtLeast(t, results, "use of the slots", 0.85, useOfSlots(&s))
	checkAtLeast(t, results, "urgent requests in time", 0.9, urgentInTime)
}

// TestFloodWithEvacuatedDataCentre has the entry hosts of an evacuated data centre use
// the servers of the others. It guards against hosts that go by the loads of others while
// the servers are full, since they own no places there.
func TestFloodWithEvacuatedDataCentre(t *testing.T) {
	// The usual demand is 27% of all slots, so that 2.5 times as much is what two thirds
	// of them bear, 3.7 times is 2.2 times a demand of 45%, and at 6 times the urgent
	// requests by themselves are 95% of what two thirds bear.
	for _, factor := range []float64{2.47, 3.67, 6} {
		t.Run(fmt.Sprint(factor, "Times"), func(t *testing.T) {
			t.Parallel()
			s := simnet.Flood(84, factor, factor)
			s.Failures = simnet.Failures{At: failureAt - 4*clock.Second, Evacuated: 1}
			results := runFlood(t, &s)
			checkAtLeast(t, results, "use of the remaining slots", 0.9, useOfSlots(&s))
			checkAtLeast(t, results, "arrivals that servers don't reject", 1-goalRejected, notRejected)
			checkAtLeast(t, results, "urgent requests in time", goalUrgent, urgentInTime)
		})
	}
}
