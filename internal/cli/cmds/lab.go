package cmds

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/lab/simnet"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// runLab simulates each scenario with each flow placement strategy and prints the
// request outcomes as a Markdown table.
func runLab(_ context.Context, e *env, args []string) error {
	fs := e.newFlags("lab")
	seeds := fs.Int("seeds", 8, "`COUNT` of seeds to simulate")
	only := fs.String("load", "", "`NAME` of the scenario to simulate: calm, burst, crash, release, cut or overload (default: all)")
	ablate := fs.Bool("ablate", false, "instead of strategies, compare the default one with each mechanism switched off")
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	if *seeds < 1 {
		return fmt.Errorf("%w: expected -seeds of at least 1", errUsage)
	}
	if *ablate {
		return e.printAblation(*only, *seeds)
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

// printAblation prints, for each scenario and mechanism, what switching the mechanism
// off changes, paired over the seeds.
func (e *env) printAblation(only string, seeds int) error {
	fmt.Fprintln(e.out, "| scenario | switched off | on time | change | worst 2 s | change |\n| --- | --- | --- | --- | --- | --- |")
	for _, scenario := range simnet.Scenarios() {
		if only != "" && scenario.Name != only {
			continue
		}
		for _, m := range tune.All() {
			without := scenario
			without.Off = without.Off.With(m)
			d := simnet.Compare(scenario, without, choose.DefaultSettings, seeds)
			if _, err := fmt.Fprintf(e.out, "| %s | %s | %.4f | %+.4f ± %.4f | %.3f | %+.3f ± %.3f |\n", scenario.Name, m,
				d.OnTime.Base, d.OnTime.Change, d.OnTime.Error, d.WorstWindow.Base, d.WorstWindow.Change, d.WorstWindow.Error); err != nil {
				return err
			}
		}
	}
	return nil
}
