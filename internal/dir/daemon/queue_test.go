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
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/daemon"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
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

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.String()
}

func (l *logBuffer) contains(text string) bool { return strings.Contains(l.String(), text) }

// startAlone runs a control host that is the only voter. It returns its data folder, the
// context that ends with the test, and its log.
func startAlone(c *qt.C, running *sync.WaitGroup) (d *daemon.Daemon, folder string, ctx context.Context, log *logBuffer) {
	log = &logBuffer{}
	factory, err := logs.New(log, logs.Options{Level: "info"})
	c.Assert(err, qt.IsNil)
	host, folder := netip.MustParseAddr(loopbackSubnet()+".1"), c.TempDir()
	address := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(host, port) }
	peer := address(7000)
	d, err = daemon.New(&site.Settings{
		Name: "core-a", Peer: peer, Bind: peer, API: address(7002), Admin: address(7003), Seeds: []netip.AddrPort{peer}, DataFolder: folder,
		Bootstrap: true, AnnounceInterval: 1000, GracePeriod: 200, RecoveryTime: 12_000,
	}, clock.New(), factory, func(*daemon.Daemon) http.Handler { return http.NotFoundHandler() })
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(running.Wait)
	c.Cleanup(cancel)
	running.Go(func() { c.Check(d.Run(ctx), qt.IsNil) })
	awaitQuorum(c, []*daemon.Daemon{d}, 10*time.Second)
	return d, folder, ctx, log
}

// block makes the next write of a file wait, until the function that it returns is called.
func block(c *qt.C, folder, file string) (release func()) {
	// Opening a pipe for writing waits until it has a reader.
	pipe := filepath.Join(folder, file+".new")
	c.Assert(unix.Mkfifo(pipe, 0o600), qt.IsNil)
	return sync.OnceFunc(func() {
		reader, err := os.OpenFile(pipe, os.O_RDWR, 0)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = reader.Close() })
		c.Assert(os.Remove(pipe), qt.IsNil)
	})
}

func publication(version uint64) *msgs.Publication {
	return &msgs.Publication{Table: routes.Table{Version: version}, Source: []byte("{}")}
}

// TestHostReturnsToTheLogAfterAFullQueue has the disk stand still until the queue of
// batches is full. It guards against a host that stays out of the log afterwards.
func TestHostReturnsToTheLogAfterAFullQueue(t *testing.T) {
	c := qt.New(t)
	var running sync.WaitGroup
	d, folder, ctx, log := startAlone(c, &running)
	release := block(c, folder, "snapshot")
	defer release()
	end := time.Now().Add(20 * time.Second)
	for version := uint64(1); !log.contains("Disk is too slow."); version++ {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the queue is not full"))
		running.Go(func() { d.Publish(ctx, publication(version)) })
		time.Sleep(10 * time.Millisecond)
	}
	_, code := d.Read(ctx)
	c.Check(code, qt.Equals, core.Unavailable)

	release()
	awaitQuorum(c, []*daemon.Daemon{d}, 10*time.Second)
}

// TestServerListHoldsUpNoPublication guards against votes and entries of the log that wait for
// a write of the server list.
func TestServerListHoldsUpNoPublication(t *testing.T) {
	c := qt.New(t)
	var running sync.WaitGroup
	d, folder, ctx, _ := startAlone(c, &running)
	withService := publication(1)
	withService.Table.Services = []string{"weigh-a7"}
	c.Assert(d.Publish(ctx, withService), qt.Equals, core.Done)
	server := fleet.Record{
		ID: "i-1", Number: 1, Started: 100, Seq: 1, Service: "weigh-a7", Centre: "hall-0", Slots: 2, State: fleet.Ready,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	c.Assert(d.Announce(ctx, server), qt.Equals, core.Done)
	release := block(c, folder, "servers")
	defer release()
	left := make(chan core.Code, 1)
	running.Go(func() { left <- d.Leave(ctx, "i-1") })
	time.Sleep(200 * time.Millisecond)
	c.Check(d.Publish(ctx, publication(2)), qt.Equals, core.Done)
	select {
	case code := <-left:
		c.Errorf("the removal was answered with %v before the list was saved", code)
	default:
	}
	release()
}
