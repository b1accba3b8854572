package cmds_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/cli/cmds"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	directory "monsooncleat.example/monsooncleat/internal/dir/daemon"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

func freeAddress(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestEvacuationsCommand runs the command against a control host, which stores the orders.
// It guards against an answer that does not fit the state of the log.
func TestEvacuationsCommand(t *testing.T) {
	peer := freeAddress(t)
	s := &site.Settings{
		Name: "c", Centre: "a", API: freeAddress(t), Peer: peer, Bind: peer, Admin: freeAddress(t), Seeds: []netip.AddrPort{peer}, Bootstrap: true,
		DataFolder: t.TempDir(), AnnounceInterval: 1000, GracePeriod: 5000, RecoveryTime: 4000, Centres: []string{"a", "b"}, RepeatWindow: 6000,
	}
	factory, err := logs.New(io.Discard, logs.Options{Level: "error"})
	qt.Assert(t, err, qt.IsNil)
	d, err := directory.New(s, clock.New(), factory, func(*directory.Daemon) http.Handler { return http.NotFoundHandler() })
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = d.Run(ctx) }()
	defer func() { cancel(); <-done }()
	run := func(args ...string) (string, int) {
		var out strings.Builder
		code := cmds.Run(append([]string{"evacuations", args[0], "-control", s.Admin.String()}, args[1:]...), &out, &out)
		return out.String(), code
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, code := run("list"); code == cmds.ExitDone {
			break
		}
	}
	d.Announce(ctx, fleet.Record{ID: "i-1", Number: 1, Seq: 1, Service: "x", Centre: "b", Slots: 2, Address: peer, State: fleet.Ready})
	for _, step := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"start", "b"}, cmds.ExitDone, "b: evacuated\nwarning: service x has 0 requests in flight and 0 slots left\n"},
		{[]string{"list"}, cmds.ExitDone, "b            evacuated"},
		{[]string{"start", "c"}, cmds.ExitFailed, "unknown data centre"},
		{[]string{"end", "b"}, cmds.ExitDone, "b: in service"},
		{[]string{"start", "b"}, cmds.ExitDone, "b: evacuated"},
		{[]string{"end", "b"}, cmds.ExitFailed, "not confirmed"},
		{[]string{"end"}, cmds.ExitUsage, "expected 1 arguments"},
	} {
		out, code := run(step.args...)
		qt.Check(t, code, qt.Equals, step.code, qt.Commentf("%v: %s", step.args, out))
		qt.Check(t, out, qt.Contains, step.want, qt.Commentf("%v", step.args))
	}
	response, err := http.Post("http://"+s.Admin.String()+"/evacuations", "", nil)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Check(t, response.StatusCode, qt.Equals, http.StatusMethodNotAllowed)
}
