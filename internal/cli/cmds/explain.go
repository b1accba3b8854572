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
	"monsooncleat.example/monsooncleat/internal/lab/yard"
)

// runExplain prints what the logs of many processes tell of one flow.
func runExplain(_ context.Context, e *env, args []string) error {
	fs := e.newFlags("explain")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if fs.NArg() < 2 {
		return fmt.Errorf("%w: want a flow and one log or more", errUsage)
	}
	var lines []trace.Line
	for _, name := range fs.Args()[1:] {
		more, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	story, err := trace.Explain(fs.Arg(0), lines)
	if err != nil {
		return err
	}
	for _, l := range story.Lines {
		fmt.Fprintf(e.out, "%s %-18s %s\n", l.Time.Format("15:04:05.000"), l.Source, l.Text)
	}
	_, err = fmt.Fprintln(e.out, "\ncause:", story.Cause)
	return err
}

func readLog(name string) ([]trace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer f.Close()
	return trace.Read(name, f)
}

// runLab plays the loads of the emulator with each way of placing flows and
// prints what the callers got.
func runLab(_ context.Context, e *env, args []string) error {
	fs := e.newFlags("lab")
	seeds := fs.Int("seeds", 8, "`COUNT` of seeds to play")
	only := fs.String("load", "", "`NAME` of the load to play: calm, burst, crash, release or cut (default all)")
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	if *seeds < 1 {
		return fmt.Errorf("%w: want one seed or more", errUsage)
	}
	fmt.Fprintln(e.out, "| load | way | in aim | worst 2 s | failed | shed | p50 ms | p99 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
	ways := yard.Ways()
	for _, load := range yard.Loads() {
		if *only != "" && load.Name != *only {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(ways)) {
			s := yard.Summarize(load, ways[name], *seeds)
			if _, err := fmt.Fprintf(e.out, "| %s | %s | %.4f | %.3f | %.1f | %.1f | %d | %d |\n", load.Name, name,
				s.InAim, s.Worst, s.Failed, s.Shed, s.P50, s.P99); err != nil {
				return err
			}
		}
	}
	return nil
}
