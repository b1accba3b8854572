package yard

import "monsooncleat.example/monsooncleat/internal/serve/choose"

// Summary is what callers got in the mean of several seeds.
type Summary struct {
	// InAim and Worst are shares of requests answered within their aim, over all
	// and over the worst two seconds.
	InAim float64
	Worst float64
	// Failed and Shed are counts of requests a run.
	Failed float64
	Shed   float64
	// P50 and P99 are latencies of the served requests in milliseconds.
	P50 int64
	P99 int64
}

// Summarize plays a load with a way of placing flows over seeds 0 to seeds-1.
func Summarize(load Load, way choose.Settings, seeds int) Summary {
	var s Summary
	all, n := newResult(), float64(seeds)
	for seed := range uint64(seeds) {
		r := Run(load, way, seed)
		s.InAim += r.Share() / n
		s.Worst += r.Worst() / n
		s.Failed += float64(r.Failed) / n
		s.Shed += float64(r.Shed) / n
		all.Latency.Merge(r.Latency)
	}
	s.P50, s.P99 = all.Latency.ValueAtQuantile(50), all.Latency.ValueAtQuantile(99)
	return s
}
