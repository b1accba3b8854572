package main

import (
	"fmt"
	"os"
	"strings"

	"monsooncleat.example/monsooncleat/internal/stand/client"
)

// summary is the last line of the output, as JSON.
type summary struct {
	Answered int `json:"answered"`
	// NotRun counts requests that no server ran.
	NotRun int `json:"notRun"`
	// Unknown counts requests that may have run.
	Unknown int `json:"unknown"`
	// Doubled counts requests that ran more than once although they are not
	// idempotent.
	Doubled int `json:"doubled"`
	// Lost counts requests without an answer, even after the grace period.
	Lost int `json:"lost"`
	// Crossed counts answers that were incomplete or belonged to another request.
	Crossed int `json:"crossed"`
	// BrokenFlows counts streams that broke on servers that were not killed.
	BrokenFlows int `json:"brokenFlows"`
	// Imbalance is the result of runner.imbalance.
	Imbalance float64 `json:"imbalance"`
	P50       float64 `json:"p50Ms"`
	P99       float64 `json:"p99Ms"`
}

// verification holds the summary of a run and the invariants that it violated.
type verification struct {
	summary    summary
	violations []string
}

// requireNone records a violation if count is greater than 0.
func (v *verification) requireNone(count int, format string, args ...any) {
	if count > 0 {
		v.violations = append(v.violations, fmt.Sprintf(format, args...))
	}
}

// verify checks the outcomes that the clients saw against the journal of the
// tries that the servers ran.
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
		tries := runs[res.ID]
		if !res.Idempotent && len(tries) > 1 {
			v.summary.Doubled++
		}
		for _, try := range res.Refused {
			refusedButRan += tries.runsOf(try, res.Idempotent)
		}
		if res.Outcome == "answered" && len(tries) == 0 {
			answeredNotRun++
		}
	}
	v.summary.BrokenFlows, _ = r.brokenStreams(report)
	v.summary.Imbalance = r.imbalance(report)
	decided := v.summary.Answered + v.summary.NotRun + v.summary.Unknown
	v.requireNone(r.opts.requests-decided, "only %d of %d requests ended as answered, not run or unknown", decided, r.opts.requests)
	v.requireNone(v.summary.Doubled, "%d requests that are not idempotent ran more than once", v.summary.Doubled)
	v.requireNone(refusedButRan, "%d tries ran although they were refused as not run", refusedButRan)
	v.requireNone(answeredNotRun, "%d requests were answered but not run by any server", answeredNotRun)
	v.requireNone(v.summary.Lost, "%d requests got no final answer", v.summary.Lost)
	v.requireNone(v.summary.Crossed, "%d answers were incomplete or belonged to another request", v.summary.Crossed)
	v.requireNone(v.summary.BrokenFlows, "%d streams broke, by cause: %v", v.summary.BrokenFlows, report.BrokenByReason)
	fmt.Printf("requests by server %v, streams by server %v, refusals %d, resends %d\n",
		report.ByServer, report.StreamsByServer, report.Refusals, report.Resends)
	if _, onKilled := r.brokenStreams(report); onKilled > 0 {
		fmt.Printf("%d streams broke because their server was killed\n", onKilled)
	}
	return v, nil
}

// triesRun lists the tries of one request that servers ran.
type triesRun []uint32

// runsOf returns how often a refused try ran. It is 0 for an idempotent request,
// which may run on one server and be refused by another.
func (t triesRun) runsOf(try uint32, idempotent bool) int {
	n := 0
	for _, ran := range t {
		if ran == try && !idempotent {
			n++
		}
	}
	return n
}

// readJournal returns the tries that servers ran, by request ID.
func (r *runner) readJournal() (map[string]triesRun, error) {
	b, err := os.ReadFile(r.path("journal"))
	if err != nil {
		return nil, err
	}
	runs := map[string]triesRun{}
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		var id string
		var try uint32
		var idempotent bool
		if _, err := fmt.Sscan(line, &id, &try, &idempotent); err != nil {
			return nil, fmt.Errorf("parse journal line %q: %w", line, err)
		}
		runs[id] = append(runs[id], try)
	}
	return runs, nil
}

// brokenStreams returns the number of streams that broke on servers that were not
// killed, and of those on killed servers.
func (r *runner) brokenStreams(report *client.Report) (onOthers, onKilled int) {
	for server, n := range report.BrokenByServer {
		if server != "" && strings.Contains(r.killedServers, server+" ") {
			onKilled += n
		} else {
			onOthers += n
		}
	}
	return onOthers, onKilled
}

// imbalance returns the load of the most loaded server divided by the mean, for the
// less balanced of the two services. Requests count only for servers that were up
// during the whole run.
func (r *runner) imbalance(report *client.Report) float64 {
	streams := report.StreamsByServer
	return max(maxOverMean(report.ByServer, r.alwaysUp), maxOverMean(streams, nil))
}

// maxOverMean returns the highest load divided by the mean, over the servers in
// loads that are also in only, or over all in loads if only is nil.
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
