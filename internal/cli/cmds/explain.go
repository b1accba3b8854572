package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"monsooncleat.example/monsooncleat/internal/cli/trace"
	"monsooncleat.example/monsooncleat/internal/lab/simnet"
)

// runExplain prints the lines of several processes' logs that concern one flow,
// and the likely cause of its failure.
func runExplain(_ context.Context, e *env, args []string) error {
	fs := e.newFlags("explain")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if fs.NArg() < 2 {
		return fmt.Errorf("%w: expected a flow and at least one log file", errUsage)
	}
	var lines []trace.Line
	for _, path := range fs.Args()[1:] {
		logLines, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, logLines...)
	}
	explanation, err := trace.Explain(fs.Arg(0), lines)
	if err != nil {
		return err
	}
	for _, l := range explanation.Lines {
		fmt.Fprintf(e.out, "%s %-18s %s\n", l.Time.Format("15:04:05.000"), l.Source, l.Text)
	}
	_, err = fmt.Fprintln(e.out, "\ncause:", explanation.Cause)
	return err
}

func readLog(path string) ([]trace.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer f.Close()
	return trace.Read(path, f)
}

// runLab simulates each scenario with each flow placement strategy and prints the
// request outcomes as a Markdown table.
func runLab(_ context.Context, e *env, args []string) error {
	fs := e.newFlags("lab")
	seeds := fs.Int("seeds", 8, "`COUNT` of seeds to simulate")
	only := fs.String("load", "", "`NAME` of the scenario to simulate: calm, burst, crash, release or cut (default: all)")
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	if *seeds < 1 {
		return fmt.Errorf("%w: expected -seeds of at least 1", errUsage)
	}
	fmt.Fprintln(e.out, "| scenario | strategy | on time | worst 2 s | failed | shed | p50 ms | p99 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	strategies := simnet.Strategies()
	for _, scenario := range simnet.Scenarios() {
		if *only != "" && scenario.Name != *only {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(strategies)) {
			summary := simnet.Summarize(scenario, strategies[name], *seeds)
			if _, err := fmt.Fprintf(e.out, "| %s | %s | %.4f | %.3f | %.1f | %.1f | %d | %d |\n", scenario.Name, name,
				summary.OnTime, summary.WorstWindow, summary.Failed, summary.Shed, summary.P50, summary.P99); err != nil {
				return err
			}
		}
	}
	return nil
}
