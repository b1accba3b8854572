package cmds

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	directory "monsooncleat.example/monsooncleat/internal/dir/daemon"
	relay "monsooncleat.example/monsooncleat/internal/token/daemon"
	"monsooncleat.example/monsooncleat/platform"
)

// reloadInterval is the interval of the checks whether the settings file was
// modified. A SIGHUP reloads it at once.
const reloadInterval = 2 * time.Second

// platformDaemon is a relay or a directory. It takes its settings from the
// platform's file, and its seeds can change while it runs.
type platformDaemon interface {
	daemon
	// UpdateSeeds passes on the seeds of reloaded settings.
	UpdateSeeds(seeds []string)
}

func runRelay(ctx context.Context, e *env, args []string) error {
	return runOnPlatform(ctx, e, "relay", args, func(s *site.Settings, factory *logs.Factory) (platformDaemon, error) {
		return relay.New(s, clock.New(), factory, platform.Codec{})
	})
}

func runDirectory(ctx context.Context, e *env, args []string) error {
	return runOnPlatform(ctx, e, "directory", args, func(s *site.Settings, factory *logs.Factory) (platformDaemon, error) {
		return directory.New(s, clock.New(), factory, func(d *directory.Daemon) http.Handler {
			return platform.NewAPI(d, factory.Logger("api"))
		})
	})
}

// heapPercent is the part of the memory of a process, in percent, above which the garbage
// collector keeps what it manages. The rest is for the program, and for bytes in sockets.
const heapPercent = 70

// runOnPlatform runs a daemon with the platform's settings. Its logs are written
// asynchronously, so that a blocked log reader does not block the daemon.
func runOnPlatform(ctx context.Context, e *env, name string, args []string,
	create func(*site.Settings, *logs.Factory) (platformDaemon, error),
) error {
	// SIGHUP is caught first: opening files on a slow disk can take seconds,
	// and an uncaught SIGHUP ends the process.
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	fs := e.newFlags(name)
	path := fs.String("settings", platform.SettingsPath(), "settings `FILE` of the platform")
	policy := fs.String("policy", "", "`FILE` with the mechanisms of the relay to switch off")
	bind := fs.String("bind", "", "`ADDRESS` to listen on for other hosts, if they reach this one through a proxy")
	newFactory := logFlags(fs)
	if err := parse(fs, args, 0); err != nil {
		return err
	}
	// The process must survive when the reader at the other end of its log pipe
	// exits.
	signal.Ignore(syscall.SIGPIPE)
	async := logs.NewAsyncWriter(e.out)
	factory, err := newFactory(async)
	if err != nil {
		return err
	}
	writerCtx, stopWriter := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	writer.Go(func() { async.Run(writerCtx) })
	defer writer.Wait()
	defer stopWriter()

	log := factory.Logger("settings")
	settings, err := platform.LoadSettings(*path)
	if err != nil {
		log.Error("Cannot load settings.", "path", *path, "err", err)
		return err
	}
	if *policy != "" {
		if settings.Off, err = tune.Load(*policy); err != nil {
			log.Error("Cannot load the policy.", "path", *policy, "err", err)
			return err
		}
	}
	if *bind != "" {
		if settings.Bind, err = netip.ParseAddrPort(*bind); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(settings.MemoryLimit / 100 * heapPercent)
	}
	d, err := create(settings, factory)
	if err != nil {
		log.Error("Cannot start the daemon.", "err", err)
		return err
	}
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go watchSettings(watchCtx, sighups, *path, settings, d, log)
	return d.Run(ctx)
}

// watchSettings reloads the settings on SIGHUP and when the modification time of
// the file changes. Only changed seeds are applied; all other settings need a
// restart. If loading fails, the previous settings stay in force.
func watchSettings(ctx context.Context, sighups <-chan os.Signal, path string, settings *site.Settings, d platformDaemon,
	log *logs.Logger,
) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		case <-ticker.C:
			if m := modTime(path); m.Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(path)
		next, err := platform.LoadSettings(path)
		if err != nil {
			log.Error("Cannot reload settings. The previous settings stay in force.", "err", err)
			continue
		}
		changed := !slices.Equal(settings.Seeds, next.Seeds)
		log.Info("Settings reloaded.", "seeds", next.SeedAddresses(), "changed", changed)
		if changed {
			settings = next
			d.UpdateSeeds(next.SeedAddresses())
		}
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// cannot be examined.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
