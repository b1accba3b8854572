package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"monsooncleat.example/monsooncleat/internal/cli/trace"
)

// runExplain prints the lines of several processes' logs that concern one flow,
// and the likely cause of its failure.
func runExplain(_ context.Context, e *env, args []string) error {
	fs := e.newFlags("explain")
	summary := fs.Bool("summary", false, "group the losses in all logs by cause, service, data centre and second")
	plot := fs.String("plot", "", "with -summary, also write a plot over time to the SVG `FILE`")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	switch {
	case *summary && fs.NArg() < 1:
		return fmt.Errorf("%w: expected at least one log file", errUsage)
	case *summary:
		lines, err := readLogs(fs.Args())
		if err != nil {
			return err
		}
		return e.printSummary(trace.Summarize(lines), *plot)
	case *plot != "":
		return fmt.Errorf("%w: -plot goes with -summary", errUsage)
	case fs.NArg() < 2:
		return fmt.Errorf("%w: expected a flow and at least one log file", errUsage)
	}
	lines, err := readLogs(fs.Args()[1:])
	if err != nil {
		return err
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

// printSummary prints the losses as a Markdown table and, unless path is empty, plots
// them.
func (e *env) printSummary(s *trace.Summary, path string) error {
	fmt.Fprintln(e.out, "| cause | service | data centre | packets | seconds | most in a second | at |\n| --- | --- | --- | --- | --- | --- | --- |")
	for _, l := range s.Losses {
		if _, err := fmt.Fprintf(e.out, "| %s | %s | %s | %d | %d | %d | %s |\n", l.Cause, l.Service, l.Centre, l.Count, len(l.BySecond),
			l.BySecond[l.Peak], l.Peak.Format("15:04:05")); err != nil {
			return err
		}
	}
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create plot")
	}
	if err := s.Plot(f); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "write plot")
}

func readLogs(paths []string) ([]trace.Line, error) {
	var lines []trace.Line
	for _, path := range paths {
		logLines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, logLines...)
	}
	return lines, nil
}

func readLog(path string) ([]trace.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer f.Close()
	return trace.Read(path, f)
}
