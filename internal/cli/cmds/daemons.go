package cmds

import (
	"context"
	"fmt"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/node"
	ctrl "monsooncleat.example/monsooncleat/internal/ctrl/daemon"
	entry "monsooncleat.example/monsooncleat/internal/entry/daemon"
)

func runEntry(ctx context.Context, e *env, args []string) error {
	fs := e.newFlags("entry")
	path := fs.String("settings", "entry.toml", "settings `FILE`")
	factory := logFlags(fs)
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	f, err := factory(e.err)
	if err != nil {
		return err
	}
	settings, err := node.LoadEntry(*path)
	if err != nil {
		return err
	}
	d, err := entry.New(settings, clock.New(), f)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

func runControl(ctx context.Context, e *env, args []string) error {
	fs := e.newFlags("control")
	path := fs.String("settings", "control.toml", "settings `FILE`")
	factory := logFlags(fs)
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	f, err := factory(e.err)
	if err != nil {
		return err
	}
	settings, err := node.LoadControl(*path)
	if err != nil {
		return err
	}
	d, err := ctrl.New(settings, clock.New(), f)
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
