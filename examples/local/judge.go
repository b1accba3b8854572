package main

import (
	"fmt"
	"os"
	"strings"

	"monsooncleat.example/monsooncleat/internal/stand/caller"
)

// line is the last line of the output.
type line struct {
	Answered    int     `json:"answered"`
	NotRun      int     `json:"notRun"`
	Unknown     int     `json:"unknown"`
	Doubled     int     `json:"doubled"`
	Lost        int     `json:"lost"`
	Crossed     int     `json:"crossed"`
	BrokenFlows int     `json:"brokenFlows"`
	Imbalance   float64 `json:"imbalance"`
	P50         float64 `json:"p50Ms"`
	P99         float64 `json:"p99Ms"`
}

// verdict is the line with the promises that were broken.
type verdict struct {
	line   line
	faults []string
}

func (v *verdict) fault(bad int, format string, args ...any) {
	if bad > 0 {
		v.faults = append(v.faults, fmt.Sprintf(format, args...))
	}
}

// judge compares what callers were told with what servers ran.
func (r *runner) judge(report *caller.Report, results []caller.Result) (*verdict, error) {
	runs, err := r.journal()
	if err != nil {
		return nil, err
	}
	v := &verdict{line: line{
		Answered: report.Answered, NotRun: report.NotRun, Unknown: report.Unknown,
		Lost: report.Lost, Crossed: report.Crossed, P50: report.P50, P99: report.P99,
	}}
	refusedRan, neverRan := 0, 0
	for _, res := range results {
		tries := runs[res.ID]
		if !res.Idempotent && len(tries) > 1 {
			v.line.Doubled++
		}
		for _, try := range res.Refused {
			refusedRan += tries.of(try, res.Idempotent)
		}
		if res.Outcome == "answered" && len(tries) == 0 {
			neverRan++
		}
	}
	v.line.BrokenFlows, _ = r.broken(report)
	v.line.Imbalance = r.imbalance(report)
	accounted := v.line.Answered + v.line.NotRun + v.line.Unknown
	v.fault(r.opts.requests-accounted, "%d of %d requests are accounted for", accounted, r.opts.requests)
	v.fault(v.line.Doubled, "%d requests that must not run twice did", v.line.Doubled)
	v.fault(refusedRan, "%d tries ran although they were refused as not run", refusedRan)
	v.fault(neverRan, "%d requests were answered that no server ran", neverRan)
	v.fault(v.line.Lost, "%d requests got no final answer", v.line.Lost)
	v.fault(v.line.Crossed, "%d answers were not whole or not the caller's own", v.line.Crossed)
	v.fault(v.line.BrokenFlows, "%d streams broke: %v", v.line.BrokenFlows, report.BrokenBy)
	fmt.Printf("requests by server %v, streams by server %v, refusals %d, resends %d\n",
		report.ByServer, report.StreamsBy, report.Refusals, report.Resends)
	if _, dead := r.broken(report); dead > 0 {
		fmt.Printf("%d streams ended with the servers that were killed\n", dead)
	}
	return v, nil
}

// runsOf lists the tries of one request that a server ran.
type runsOf []uint32

// of counts the runs of a refused try. A try that may run twice may have run
// before it was refused elsewhere.
func (t runsOf) of(try uint32, idempotent bool) int {
	n := 0
	for _, ran := range t {
		if ran == try && !idempotent {
			n++
		}
	}
	return n
}

func (r *runner) journal() (map[string]runsOf, error) {
	b, err := os.ReadFile(r.path("journal"))
	if err != nil {
		return nil, err
	}
	runs := map[string]runsOf{}
	for _, text := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		var id string
		var try uint32
		var idempotent bool
		if _, err := fmt.Sscan(text, &id, &try, &idempotent); err != nil {
			return nil, fmt.Errorf("journal line %q: %w", text, err)
		}
		runs[id] = append(runs[id], try)
	}
	return runs, nil
}

// broken counts the streams that broke, apart from those whose server was
// killed.
func (r *runner) broken(report *caller.Report) (broken, dead int) {
	for server, n := range report.BrokenOn {
		if server != "" && strings.Contains(r.killed, server+" ") {
			dead += n
		} else {
			broken += n
		}
	}
	return broken, dead
}

// imbalance returns the busiest server's load over the mean, the worse of the
// two services, over the servers that were up all the time.
func (r *runner) imbalance(report *caller.Report) float64 {
	streams := report.StreamsBy
	return max(worst(report.ByServer, r.steady), worst(streams, nil))
}

func worst(loads map[string]int, only map[string]bool) float64 {
	sum, most, n := 0, 0, 0
	for name, load := range loads {
		if only == nil || only[name] {
			sum += load
			most = max(most, load)
			n++
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(most) * float64(n) / float64(sum)
}
