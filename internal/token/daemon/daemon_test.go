package daemon_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	directory "monsooncleat.example/monsooncleat/internal/dir/daemon"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/token/daemon"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

var route = netip.MustParseAddrPort("198.18.0.1:443")

// plainCodec encodes a packet as the client's port, the sequence number and the
// token, of four bytes each, and one byte that is 1 for an opening packet.
type plainCodec struct{}

const plainSize = 13

func (plainCodec) Decode(b []byte, p *core.Packet) bool {
	if len(b) < plainSize {
		return false
	}
	*p = core.Packet{
		From: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(binary.BigEndian.Uint32(b))), To: route,
		Seq: binary.BigEndian.Uint32(b[4:]), Token: tokens.Token(binary.BigEndian.Uint32(b[8:])), Open: b[12] == 1,
	}
	p.Ack, p.Length = p.Seq, 1
	return true
}

func (plainCodec) Forward(dst, b []byte, a *core.Action) []byte {
	return append(binary.BigEndian.AppendUint32(dst, uint32(a.Token)), b...)
}

func (plainCodec) Reset(dst []byte, _ *core.Packet) []byte { return append(dst, 'r') }

// freeAddress returns an address whose port is free for UDP and TCP. With one that is
// free for UDP only, a listener for TCP may find a connection of another test there.
func freeAddress(c *qt.C) netip.AddrPort {
	for {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer listener.Close()
		if conn, err := net.ListenPacket("udp4", listener.Addr().String()); err == nil {
			defer conn.Close()
			return netip.MustParseAddrPort(conn.LocalAddr().String())
		}
	}
}

// serveControl runs a control host that answers fetches with one route, one server and
// the evacuation of a data centre without servers.
func serveControl(ctx context.Context, c *qt.C, address, server netip.AddrPort) {
	reply := msgs.FetchReply{
		Current: true, RunID: 1, Position: 1, EvacuationsVersion: 9, Evacuations: []msgs.Evacuation{{Centre: "b", Active: true}},
		Servers: []msgs.ServerStatus{{Record: fleet.Record{
			ID: "i-1", Number: 1, Seq: 1, Service: "x", Address: server, Centre: "a", Slots: 2, State: fleet.Ready,
		}}},
		Delta: msgs.EncodeDelta(routes.Diff(nil, &routes.Table{Version: 1, Services: []string{"x"}, Routes: []routes.Route{{
			Name: "r", Address: route, Timeout: 1000, Targets: []routes.Target{{Service: "x", Weight: 1}},
		}}})),
	}
	s := link.NewServer(address.String(), directory.Key, func(from link.Replier, body []byte) {
		m, err := msgs.Decode(body)
		if err != nil || m.Fetch == nil {
			return
		}
		r := reply
		r.RequestID = m.Fetch.RequestID
		from.Reply(msgs.Encode(&msgs.Envelope{FetchReply: &r}))
	}, logs.Discard())
	go func() { c.Check(s.Run(ctx), qt.IsNil) }()
}

// newSettings returns settings with free addresses.
func newSettings(c *qt.C) *site.Settings {
	return &site.Settings{
		Name: "entry", Centre: "a", Packets: freeAddress(c), Ready: freeAddress(c), Admin: freeAddress(c), Seeds: []netip.AddrPort{freeAddress(c)},
		AnnounceInterval: 1000, GracePeriod: 1600,
	}
}

// startReady runs an entry host and waits until it is ready. The channel gets the result
// of its Run.
func startReady(ctx context.Context, c *qt.C, settings *site.Settings) (*daemon.Daemon, <-chan error) {
	factory, err := logs.New(io.Discard, logs.Options{Level: "info"})
	c.Assert(err, qt.IsNil)
	d, err := daemon.New(settings, clock.New(), factory, plainCodec{})
	c.Assert(err, qt.IsNil)
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx) }()
	c.Assert(becomesReady(settings.Ready), qt.IsTrue)
	return d, stopped
}

// TestForwardsWhileItTicks sends packets without a pause over many ticks. It guards
// against data races between packets and ticks, which gnet runs on different
// goroutines.
func TestForwardsWhileItTicks(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := net.ListenUDP("udp4", nil)
	c.Assert(err, qt.IsNil)
	defer server.Close()
	serverAddr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(server.LocalAddr().(*net.UDPAddr).Port))
	settings := newSettings(c)
	serveControl(ctx, c, settings.Seeds[0], serverAddr)
	d, stopped := startReady(ctx, c, settings)

	conn, err := net.Dial("udp4", settings.Packets.String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	var sent atomic.Int64
	go func() {
		for i := uint32(1); ctx.Err() == nil; i++ {
			sent.Add(1)
			b := binary.BigEndian.AppendUint32(nil, i%50_000)
			b = binary.BigEndian.AppendUint32(b, i)
			b = binary.BigEndian.AppendUint32(b, uint32(tokens.Candidate("i-1", 0, 0)))
			_, _ = conn.Write(append(b, byte(i%2)))
			time.Sleep(50 * time.Microsecond)
		}
	}()
	c.Assert(server.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	buf := make([]byte, 64)
	for i := range 8000 {
		n, err := server.Read(buf)
		if err != nil {
			t.Fatalf("after %d of %d datagrams: %s; dropped by the kernel: %s for the relay, %s for the server; %v",
				i, sent.Load(), err, kernelDrops(settings.Packets.Port()), kernelDrops(serverAddr.Port()), d.Metrics().Values())
		}
		c.Assert(n, qt.Equals, plainSize+4)
		c.Assert(tokens.Token(binary.BigEndian.Uint32(buf)), qt.Equals, tokens.Candidate("i-1", 0, 0))
	}
	cancel()
	c.Check(<-stopped, qt.IsNil)
}

// TestServesWhereAdvertsCannotBeReceived guards against a host that ends because the port
// for adverts is taken.
func TestServesWhereAdvertsCannotBeReceived(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	taken, err := net.ListenPacket("udp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	settings := newSettings(c)
	settings.Peer = netip.MustParseAddrPort(taken.LocalAddr().String())
	serveControl(ctx, c, settings.Seeds[0], freeAddress(c))
	_, stopped := startReady(ctx, c, settings)
	// A host that is ready must have the evacuations, too.
	dump, err := admin.FetchDump(ctx, settings.Admin.String())
	c.Assert(err, qt.IsNil)
	c.Check(string(dump), qt.Contains, `"evacuationsVersion": 9`)
	// A task that keeps failing ends the process within this time.
	select {
	case err := <-stopped:
		t.Fatalf("the host ended: %v", err)
	case <-time.After(3 * time.Second):
	}
	cancel()
	c.Check(<-stopped, qt.IsNil)
}

// kernelDrops returns how many datagrams to a local port the kernel dropped because the
// receive buffer was full, or "unknown".
func kernelDrops(port uint16) string {
	b, err := os.ReadFile("/proc/net/udp")
	if err != nil {
		return "unknown"
	}
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) > 2 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) {
			return fields[len(fields)-1]
		}
	}
	return "unknown"
}

func becomesReady(address netip.AddrPort) bool {
	for range 100 {
		resp, err := http.Get("http://" + address.String() + "/")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
