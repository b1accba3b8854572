package daemon_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	"monsooncleat.example/monsooncleat/internal/dir/daemon"
)

// TestLogLineOfALongName guards against log lines of up to a megabyte, the longest path of
// a call.
func TestLogLineOfALongName(t *testing.T) {
	var out bytes.Buffer
	factory, err := logs.New(&out, logs.Options{Level: "info"})
	qt.Assert(t, err, qt.IsNil)
	address := netip.MustParseAddrPort("127.0.0.1:9")
	settings := &site.Settings{
		Name: "core-a", DataFolder: t.TempDir(), API: address, Peer: address, AnnounceInterval: 1000, GracePeriod: 1000, RecoveryTime: 1000,
	}
	d, err := daemon.New(settings, clock.New(), factory, func(*daemon.Daemon) http.Handler { return nil })
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.Evacuate(ctx, strings.Repeat("x", 1<<20), true)
	qt.Check(t, out.String(), qt.Contains, "Evacuation order decided.")
	qt.Check(t, out.Len() < 4000, qt.IsTrue, qt.Commentf("logged %d bytes", out.Len()))
}
