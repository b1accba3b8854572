// Package logs creates the loggers of a process, one for each part (component) of
// it.
package logs

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/charmbracelet/log"
)

// Logger writes leveled, structured log lines for one part of a process.
type Logger = log.Logger

// Options select what a process logs and in which format.
type Options struct {
	// Level is debug, info, warn or error.
	Level string
	// JSON selects one JSON object per line instead of logfmt.
	JSON bool
	// DebugParts lists the parts that log at debug level regardless of Level.
	DebugParts []string
}

// Factory creates the loggers of one process.
type Factory struct {
	out     io.Writer
	level   log.Level
	options Options
}

// New returns a Factory that writes to out, or an error if the level is unknown.
func New(out io.Writer, options Options) (*Factory, error) {
	level, err := log.ParseLevel(options.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: want debug, info, warn or error", options.Level)
	}
	return &Factory{out: out, level: level, options: options}, nil
}

// TimeFormat is the layout, as for time.Format, of the timestamp in each log line.
const TimeFormat = "2006-01-02T15:04:05.000"

// Lost returns the number of log lines that an AsyncWriter dropped or could not
// write. It is zero for any other writer.
func (f *Factory) Lost() uint64 {
	if a, ok := f.out.(*AsyncWriter); ok {
		return a.Lost()
	}
	return 0
}

// Logger returns the logger of the part called name. The name is the prefix of each
// line.
func (f *Factory) Logger(name string) *Logger {
	level := f.level
	if slices.Contains(f.options.DebugParts, name) {
		level = log.DebugLevel
	}
	// The library's TextFormatter takes ten times as much CPU time per line.
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

// SplitParts parses a comma-separated list of part names. It returns nil for
// an empty list.
func SplitParts(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
