package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/daemon"
)

// silencer forwards TCP connections. After silence it goes on reading the open ones, so
// that the kernel acknowledges their bytes, and forwards nothing.
type silencer struct {
	target string
	mu     sync.Mutex
	flags  []*atomic.Bool
}

func newSilencer(c *qt.C, listen, target netip.AddrPort) *silencer {
	ln, err := net.Listen("tcp", listen.String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	s := &silencer{target: target.String()}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			go s.connect(in)
		}
	}()
	return s
}

func (s *silencer) connect(in net.Conn) {
	out, err := net.Dial("tcp", s.target)
	if err != nil {
		_ = in.Close()
		return
	}
	silent := &atomic.Bool{}
	s.mu.Lock()
	s.flags = append(s.flags, silent)
	s.mu.Unlock()
	forward := func(to, from net.Conn) {
		buf := make([]byte, 64<<10)
		for n, err := from.Read(buf); err == nil; n, err = from.Read(buf) {
			if !silent.Load() {
				_, _ = to.Write(buf[:n])
			}
		}
		_ = from.Close()
		if !silent.Load() {
			_ = to.Close()
		}
	}
	go forward(out, in)
	forward(in, out)
}

func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, silent := range s.flags {
		silent.Store(true)
	}
}

// loopbackSubnet returns the start of addresses that other processes hardly use.
func loopbackSubnet() string { return fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), rand.IntN(250)) }

// startBehindSilencers runs three control hosts that reach each other through silencers.
func startBehindSilencers(c *qt.C) ([]*daemon.Daemon, []*silencer) {
	log := &logBuffer{}
	c.Cleanup(func() {
		if c.Failed() {
			c.Log(log.String())
		}
	})
	factory, err := logs.New(log, logs.Options{Level: "info"})
	c.Assert(err, qt.IsNil)
	subnet := loopbackSubnet()
	address := func(host, port int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("%s.%d:%d", subnet, host+1, port))
	}
	seeds := []netip.AddrPort{address(0, 7000), address(1, 7000), address(2, 7000)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	c.Cleanup(running.Wait)
	c.Cleanup(cancel)
	var daemons []*daemon.Daemon
	var silencers []*silencer
	for i, seed := range seeds {
		silencers = append(silencers, newSilencer(c, seed, address(i, 7001)))
		d, err := daemon.New(&site.Settings{
			Name: fmt.Sprint("core-", i), Peer: seed, Bind: address(i, 7001), API: address(i, 7002), Admin: address(i, 7003),
			Seeds: seeds, DataFolder: c.TempDir(), Bootstrap: true, AnnounceInterval: 1000, GracePeriod: 200, MaxLosses: 1, RecoveryTime: 12_000,
		}, clock.New(), factory, func(*daemon.Daemon) http.Handler { return http.NotFoundHandler() })
		c.Assert(err, qt.IsNil)
		daemons = append(daemons, d)
		running.Go(func() { c.Check(d.Run(ctx), qt.IsNil) })
	}
	return daemons, silencers
}

// awaitQuorum waits until each control host answers reads that a quorum confirms.
func awaitQuorum(c *qt.C, daemons []*daemon.Daemon, limit time.Duration) {
	pending := slices.Clone(daemons)
	for end := time.Now().Add(limit); len(pending) > 0; time.Sleep(50 * time.Millisecond) {
		pending = slices.DeleteFunc(pending, func(d *daemon.Daemon) bool {
			_, code := d.Read(context.Background())
			return code == core.Done || code == core.Missing
		})
		c.Assert(len(pending) == 0 || time.Now().Before(end), qt.IsTrue, qt.Commentf("%d control hosts without a quorum after %v", len(pending), limit))
	}
}

// TestSilentConnectionsBetweenControlHostsRecover guards against control hosts that go on
// writing to connections that acknowledge the bytes and deliver nothing.
func TestSilentConnectionsBetweenControlHostsRecover(t *testing.T) {
	for _, test := range []struct {
		name   string
		silent []int
	}{{"all", []int{0, 1, 2}}, {"towardsOne", []int{1}}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			daemons, silencers := startBehindSilencers(c)
			awaitQuorum(c, daemons, 10*time.Second)
			time.Sleep(time.Second)
			for _, i := range test.silent {
				silencers[i].silence()
			}
			// By then, no follower counts its leader as active any more.
			time.Sleep(2 * time.Second)
			awaitQuorum(c, daemons, 15*time.Second)
		})
	}
}
