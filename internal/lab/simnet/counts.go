package simnet

import "monsooncleat.example/monsooncleat/internal/base/clock"

const (
	// countInterval is the time between two comparisons of the reported loads with the
	// requests on the servers.
	countInterval = 100 * clock.Millis(1)
	// countTimeConstant is that of the exponentially smoothed loads that hosts report.
	countTimeConstant = clock.Second
	// countTolerance is the ratio of reports to requests that Counts.Server allows for.
	countTolerance = 1.1
)

// Counts compares the reported loads with the requests that wait for servers, both
// smoothed, during the burst from Scenario.CountFrom on.
type Counts struct {
	// Server is the largest excess, over all servers, of the reports on a server over
	// countTolerance times the requests there.
	Server float64
	// Total is the highest ratio of all reports to the requests on all servers.
	Total float64
}

// compareCounts updates the counts of the result.
func (sim *simulation) compareCounts() {
	reported := map[uint32]float64{}
	for _, h := range sim.hosts {
		for token, l := range h.reported {
			if !h.killed || sim.now-h.killedAt <= reportTTL {
				reported[token] += float64(l.InFlight)
			}
		}
	}
	requests, reports := 0.0, 0.0
	counted := sim.inBurst(sim.now) && sim.now >= sim.scenario.CountFrom
	r := &sim.result.Counts
	for _, s := range sim.servers {
		waiting := 0
		for f := range s.flows {
			if f.client.waiting && f.client.flow == f {
				waiting++
			}
		}
		s.meanRequests += (float64(waiting) - s.meanRequests) * float64(countInterval) / float64(countTimeConstant)
		requests += s.meanRequests
		reports += reported[uint32(s.token)]
		if counted {
			r.Server = max(r.Server, reported[uint32(s.token)]-countTolerance*s.meanRequests)
		}
	}
	if counted {
		r.Total = max(r.Total, reports/max(requests, 1))
	}
	sim.after(countInterval, sim.compareCounts)
}
