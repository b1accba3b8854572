package simnet

import "monsooncleat.example/monsooncleat/internal/serve/choose"

// Summary holds the results of several runs with different seeds.
type Summary struct {
	// OnTime is the mean share of requests answered within the latency target.
	OnTime float64
	// WorstWindow is the mean of that share in the worst window of each run.
	WorstWindow float64
	// Failed and Shed are mean counts of requests per run.
	Failed float64
	Shed   float64
	// P50 and P99 are latency quantiles of the served requests of all runs, in
	// milliseconds.
	P50 int64
	P99 int64
}

// Summarize runs a scenario with a flow placement strategy for the seeds 0 to
// seeds-1.
func Summarize(scenario Scenario, strategy choose.Settings, seeds int) Summary {
	var s Summary
	all, n := newResult(), float64(seeds)
	for seed := range uint64(seeds) {
		r := Run(scenario, strategy, seed)
		s.OnTime += r.OnTimeShare() / n
		s.WorstWindow += r.WorstWindow() / n
		s.Failed += float64(r.Failed) / n
		s.Shed += float64(r.Shed) / n
		all.Latency.Merge(r.Latency)
	}
	s.P50, s.P99 = all.Latency.ValueAtQuantile(50), all.Latency.ValueAtQuantile(99)
	return s
}
