package cmds

import (
	"context"
	"fmt"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/conf/node"
	ctrl "monsooncleat.example/monsooncleat/internal/ctrl/daemon"
	entry "monsooncleat.example/monsooncleat/internal/entry/daemon"
)

// daemon serves until its context is canceled.
type daemon interface {
	Run(ctx context.Context) error
}

func runEntry(ctx context.Context, e *env, args []string) error {
	return runDaemon(ctx, e, "entry", args, node.LoadEntry, entry.New)
}

func runControl(ctx context.Context, e *env, args []string) error {
	return runDaemon(ctx, e, "control", args, node.LoadControl, ctrl.New)
}

// runDaemon loads the settings file that args name, creates a daemon from it and
// runs it.
func runDaemon[S any, D daemon](ctx context.Context, e *env, name string, args []string,
	load func(path string) (S, error), create func(S, clock.Source, *logs.Factory) (D, error),
) error {
	fs := e.newFlags(name)
	path := fs.String("settings", name+".toml", "settings `FILE`")
	newFactory := logFlags(fs)
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	factory, err := newFactory(e.errOut)
	if err != nil {
		return err
	}
	settings, err := load(*path)
	if err != nil {
		return err
	}
	d, err := create(settings, clock.New(), factory)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// Version is the version of the program.
const Version = "0.1.0"

func runVersion(_ context.Context, e *env, args []string) error {
	if err := parse(e.newFlags("version"), args, 0); err != nil {
		return err
	}
	_, err := fmt.Fprintln(e.out, "monsooncleat", Version)
	return err
}
