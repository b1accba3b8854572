package daemon_test

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/daemon"
)

// logBuffer is a log that several goroutines use.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(b)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.out.String(), text)
}

// TestHostReturnsToTheLogAfterAFullQueue has the disk stand still until the queue of
// batches is full. It guards against a host that stays out of the log afterwards.
func TestHostReturnsToTheLogAfterAFullQueue(t *testing.T) {
	c := qt.New(t)
	out := &logBuffer{}
	factory, err := logs.New(out, logs.Options{Level: "info"})
	c.Assert(err, qt.IsNil)
	host, folder := netip.MustParseAddr(loopbackSubnet()+".1"), c.TempDir()
	address := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(host, port) }
	peer := address(7000)
	d, err := daemon.New(&site.Settings{
		Name: "core-a", Peer: peer, Bind: peer, API: address(7002), Admin: address(7003), Seeds: []netip.AddrPort{peer}, DataFolder: folder,
		Bootstrap: true, AnnounceInterval: 1000, GracePeriod: 200, RecoveryTime: 12_000,
	}, clock.New(), factory, func(*daemon.Daemon) http.Handler { return http.NotFoundHandler() })
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.Cleanup(running.Wait)
	c.Cleanup(cancel)
	running.Go(func() { c.Check(d.Run(ctx), qt.IsNil) })
	awaitQuorum(c, []*daemon.Daemon{d}, 10*time.Second)

	// The disk goroutine waits in open until the pipe has a reader.
	pipe := filepath.Join(folder, "servers.new")
	c.Assert(unix.Mkfifo(pipe, 0o600), qt.IsNil)
	running.Go(func() { d.Leave(ctx, "i-1") })
	for end := time.Now().Add(20 * time.Second); !out.contains("Disk is too slow."); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the queue is not full"))
		running.Go(func() { d.Read(ctx) })
	}
	_, code := d.Read(ctx)
	c.Check(code, qt.Equals, core.Unavailable)

	reader, err := os.OpenFile(pipe, os.O_RDWR, 0)
	c.Assert(err, qt.IsNil)
	defer reader.Close()
	c.Assert(os.Remove(pipe), qt.IsNil)
	awaitQuorum(c, []*daemon.Daemon{d}, 10*time.Second)
}
