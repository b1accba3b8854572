// Package cmds implements the subcommands of the monsooncleat program.
package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"monsooncleat.example/monsooncleat/internal/base/logs"
)

// Exit codes of the program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// errUsage marks errors in a command's arguments or flags.
var errUsage = errors.New("wrong usage")

// env holds the output streams of a command.
type env struct {
	out    io.Writer
	errOut io.Writer
}

type command struct {
	name    string
	args    string
	summary string
	run     func(ctx context.Context, e *env, args []string) error
}

func commands() []command {
	return []command{
		{"entry", "-settings FILE", "run an entry host", runEntry},
		{"control", "-settings FILE", "run a control host", runControl},
		{"relay", "[-settings FILE]", "run an entry host that routes flows by token", runRelay},
		{"directory", "[-settings FILE]", "run a control host for relays", runDirectory},
		{"bundle", "publish|approve|roll|resume|status", "publish, approve and roll out bundles", runBundle},
		{"evacuations", "list|start|end [-control ADDRESS] [DATA-CENTRE]", "list the data centres, take one out of service or put it back", runEvacuations},
		{"member", "add|remove NAME", "add or remove a control host", runMember},
		{"keys", "operator|shared FILE", "create a key", runKeys},
		{"dump", "ADDRESS", "print the state of one process", runDump},
		{"explain", "FLOW LOG... | -summary LOG...", "explain from logs why a flow failed, or what was lost", runExplain},
		{"lab", "[-ablate] [-seeds COUNT] [-load NAME]", "compare strategies and mechanisms in a simulation", runLab},
		{"check", "entry|control|operator|bundle FILE", "check a settings file or a bundle", runCheck},
		{"version", "", "print the version", runVersion},
	}
}

// Run runs the command that args[0] names and returns the exit code. Results are
// printed to out, errors to errOut.
func Run(args []string, out, errOut io.Writer) int {
	e := &env{out, errOut}
	if len(args) == 0 {
		usage(errOut)
		return ExitUsage
	}
	if isHelp(args[0]) {
		usage(out)
		return ExitDone
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return e.reportError(c, c.run(signalContext(), e, args[1:]))
		}
	}
	fmt.Fprintf(errOut, "monsooncleat: unknown command %q\n", args[0])
	usage(errOut)
	return ExitUsage
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help" || arg == "help"
}

// reportError prints err, with the usage of c if err wraps errUsage, and returns
// the exit code.
func (e *env) reportError(c command, err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitDone
	case errors.Is(err, errUsage):
		fmt.Fprintf(e.errOut, "monsooncleat %s: %v\nusage: monsooncleat %s %s\n", c.name, err, c.name, c.args)
		return ExitUsage
	default:
		fmt.Fprintf(e.errOut, "monsooncleat %s: %v\n", c.name, err)
		return ExitFailed
	}
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "monsooncleat is a layer-4 load balancer.\n\nusage: monsooncleat COMMAND [flags]")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-11s %-48s %s\n", c.name, c.args, c.summary)
	}
	fmt.Fprintln(w, "\nRun a command with -h for its flags. Exit codes: 0 done, 1 failed, 2 wrong usage.")
}

// signalContext returns a context that is canceled by the first SIGTERM or
// interrupt. A later interrupt exits the process at once. A later SIGTERM is
// ignored, so that a supervisor that sends it twice does not cut the drain short.
func signalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		for s := range signals {
			if s == os.Interrupt {
				os.Exit(ExitFailed)
			}
		}
	}()
	return ctx
}

// newFlags returns the flag set of a command. It prints help and parse errors to
// the error output.
func (e *env) newFlags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet("monsooncleat "+name, flag.ContinueOnError)
	fs.SetOutput(e.errOut)
	return fs
}

// parse parses args and requires want positional arguments. Errors other than
// flag.ErrHelp wrap errUsage.
func parse(fs *flag.FlagSet, args []string, want int) error {
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if fs.NArg() != want {
		return fmt.Errorf("%w: expected %d arguments, got %d", errUsage, want, fs.NArg())
	}
	return nil
}

// logFlags adds the logging flags of a daemon. The returned function creates the
// log factory after the flags are parsed.
func logFlags(fs *flag.FlagSet) func(w io.Writer) (*logs.Factory, error) {
	level := fs.String("log-level", "info", "log `LEVEL`: debug, info, warn or error")
	asJSON := fs.Bool("log-json", false, "log one JSON object per line")
	parts := fs.String("log-parts", "", "comma-separated `PARTS` that log at debug level: entry, control, directory, api, settings or link")
	return func(w io.Writer) (*logs.Factory, error) {
		f, err := logs.New(w, logs.Options{Level: *level, JSON: *asJSON, DebugParts: logs.SplitParts(*parts)})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errUsage, err)
		}
		return f, nil
	}
}
