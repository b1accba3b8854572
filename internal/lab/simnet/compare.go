package simnet

import (
	"math"
	"runtime"
	"sync"

	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Change is the difference of a figure between two scenarios over the same seeds.
type Change struct {
	// Base is the mean in the first scenario, Change the mean difference of the second
	// from it.
	Base, Change float64
	// Error is the half-width of the 95% confidence interval of Change.
	Error float64
}

// Difference compares two scenarios.
type Difference struct {
	// OnTime is the share of requests answered within the latency target, WorstWindow
	// that share in the worst window.
	OnTime, WorstWindow Change
}

// Compare simulates two scenarios with a flow placement strategy for the seeds 0 to
// seeds-1, on half of the cores.
func Compare(base, other Scenario, strategy choose.Settings, seeds int) Difference {
	results := make([][2]*Result, seeds)
	work := make(chan int)
	var workers sync.WaitGroup
	for range max(runtime.NumCPU()/2, 1) {
		workers.Go(func() {
			for i := range work {
				results[i] = [2]*Result{Run(base, strategy, uint64(i)), Run(other, strategy, uint64(i))}
			}
		})
	}
	for i := range seeds {
		work <- i
	}
	close(work)
	workers.Wait()
	return Difference{
		OnTime:      newChange(results, (*Result).OnTimeShare),
		WorstWindow: newChange(results, (*Result).WorstWindow),
	}
}

// confidence is the number of standard errors in half of a 95% confidence interval.
const confidence = 1.96

func newChange(results [][2]*Result, figure func(*Result) float64) Change {
	n := float64(len(results))
	var c Change
	for _, r := range results {
		c.Base += figure(r[0]) / n
		c.Change += (figure(r[1]) - figure(r[0])) / n
	}
	variance := 0.0
	for _, r := range results {
		d := figure(r[1]) - figure(r[0]) - c.Change
		variance += d * d / max(n-1, 1)
	}
	c.Error = confidence * math.Sqrt(variance/n)
	return c
}
