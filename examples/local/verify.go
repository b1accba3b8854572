package main

import (
	"fmt"
	"os"
	"strings"

	"monsooncleat.example/monsooncleat/internal/stand/client"
)

// summary is the last line of the output, as JSON.
type summary struct {
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

// verification holds the summary of a run and the invariants that it violated.
type verification struct {
	summary    summary
	violations []string
}

// requireZero records a violation if count is greater than 0.
func (v *verification) requireZero(count int, format string, args ...any) {
	if count > 0 {
		v.violations = append(v.violations, fmt.Sprintf(format, args...))
	}
}

// verify checks the outcomes that the clients saw against the journal of the
// attempts that the servers ran.
func (r *runner) verify(report *client.Report, results []client.Result) (*verification, error) {
	runs, err := r.readJournal()
	if err != nil {
		return nil, err
	}
	v := &verification{summary: summary{
		Answered: report.Answered, NotRun: report.NotRun, Unknown: report.Unknown,
		Lost: report.Lost, Crossed: report.WrongAnswers, P50: report.P50Millis, P99: report.P99Millis,
	}}
	refusedButRan, answeredNotRun := 0, 0
	for _, res := range results {
		attempts := runs[res.ID]
		if !res.Idempotent && len(attempts) > 1 {
			v.summary.Doubled++
		}
		for _, attempt := range res.Refused {
			refusedButRan += attempts.countRefused(attempt, res.Idempotent)
		}
		if res.Outcome == "answered" && len(attempts) == 0 {
			answeredNotRun++
		}
	}
	v.summary.BrokenFlows, _ = r.brokenStreams(report)
	v.summary.Imbalance = r.imbalance(report)
	withOutcome := v.summary.Answered + v.summary.NotRun + v.summary.Unknown
	v.requireZero(r.opts.requests-withOutcome, "only %d of %d requests have an outcome", withOutcome, r.opts.requests)
	v.requireZero(v.summary.Doubled, "%d requests that are not idempotent ran more than once", v.summary.Doubled)
	v.requireZero(refusedButRan, "%d attempts ran although they were refused as not run", refusedButRan)
	v.requireZero(answeredNotRun, "%d requests were answered but not run by any server", answeredNotRun)
	v.requireZero(v.summary.Lost, "%d requests got no final answer", v.summary.Lost)
	v.requireZero(v.summary.Crossed, "%d answers were incomplete or belonged to another request", v.summary.Crossed)
	v.requireZero(v.summary.BrokenFlows, "%d streams broke, by cause: %v", v.summary.BrokenFlows, report.BrokenByReason)
	fmt.Printf("requests by server %v, streams by server %v, refusals %d, resends %d\n",
		report.ByServer, report.StreamsByServer, report.Refusals, report.Resends)
	if _, onKilled := r.brokenStreams(report); onKilled > 0 {
		fmt.Printf("%d streams broke because their server was killed\n", onKilled)
	}
	return v, nil
}

// attemptsRun lists the attempts of one request that servers ran.
type attemptsRun []uint32

// countRefused returns how often a refused attempt ran. An idempotent attempt counts
// as 0: it may have run before it was refused elsewhere.
func (a attemptsRun) countRefused(attempt uint32, idempotent bool) int {
	n := 0
	for _, ran := range a {
		if ran == attempt && !idempotent {
			n++
		}
	}
	return n
}

// readJournal returns the attempts that servers ran, by request ID.
func (r *runner) readJournal() (map[string]attemptsRun, error) {
	b, err := os.ReadFile(r.path("journal"))
	if err != nil {
		return nil, err
	}
	runs := map[string]attemptsRun{}
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		var id string
		var attempt uint32
		var idempotent bool
		if _, err := fmt.Sscan(line, &id, &attempt, &idempotent); err != nil {
			return nil, fmt.Errorf("parse journal line %q: %w", line, err)
		}
		runs[id] = append(runs[id], attempt)
	}
	return runs, nil
}

// brokenStreams counts the streams that broke, and separately those whose server
// was killed.
func (r *runner) brokenStreams(report *client.Report) (broken, onKilled int) {
	for server, n := range report.BrokenByServer {
		if server != "" && strings.Contains(r.killedServers, server+" ") {
			onKilled += n
		} else {
			broken += n
		}
	}
	return broken, onKilled
}

// imbalance returns the load of the most loaded server divided by the mean, for the
// less balanced of the two services. Requests count only for servers that were up
// during the whole run.
func (r *runner) imbalance(report *client.Report) float64 {
	streams := report.StreamsByServer
	return max(maxOverMean(report.ByServer, r.alwaysUp), maxOverMean(streams, nil))
}

// maxOverMean returns the highest load divided by the mean, over the servers in only
// or, if only is nil, over all.
func maxOverMean(loads map[string]int, only map[string]bool) float64 {
	sum, highest, n := 0, 0, 0
	for name, load := range loads {
		if only == nil || only[name] {
			sum += load
			highest = max(highest, load)
			n++
		}
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) * float64(n) / float64(sum)
}
