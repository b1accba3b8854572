// Package logs builds the loggers of the parts of a process.
package logs

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/charmbracelet/log"
)

// Logger writes leveled, structured lines for one part of a process.
type Logger = log.Logger

// Options choose what a process logs.
type Options struct {
	// Level is debug, info, warn or error.
	Level string
	// JSON selects one JSON object a line in place of logfmt.
	JSON bool
	// Parts lists the parts that log at debug level whatever Level says.
	Parts []string
}

// Factory makes the loggers of one process.
type Factory struct {
	out     io.Writer
	level   log.Level
	options Options
}

// New returns a Factory that writes to out, or an error for an unknown level.
func New(out io.Writer, options Options) (*Factory, error) {
	level, err := log.ParseLevel(options.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", options.Level)
	}
	return &Factory{out: out, level: level, options: options}, nil
}

// TimeFormat is the form of the time at the start of each line.
const TimeFormat = "2006-01-02T15:04:05.000"

// Lost returns the count of lines that were not written, where the writer drops
// lines.
func (f *Factory) Lost() uint64 {
	if a, ok := f.out.(*Async); ok {
		return a.Lost()
	}
	return 0
}

// Part returns the logger of one part. Its name is the prefix of each line.
func (f *Factory) Part(name string) *Logger {
	level := f.level
	if slices.Contains(f.options.Parts, name) {
		level = log.DebugLevel
	}
	// The library's plain text costs ten times as much processor time a line.
	opts := log.Options{
		Level: level, Prefix: name, ReportTimestamp: true, TimeFormat: TimeFormat, Formatter: log.LogfmtFormatter,
	}
	if f.options.JSON {
		opts.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(f.out, opts)
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return log.New(io.Discard)
}

// SplitParts parses a comma-separated list of part names.
func SplitParts(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
