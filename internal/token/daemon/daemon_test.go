package daemon_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
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
// token, of four bytes each, and one byte that is 0, or the number of the transmission of
// an opening packet.
type plainCodec struct{}

const plainSize = 13

func (plainCodec) Decode(b []byte, p *core.Packet) bool {
	if len(b) < plainSize {
		return false
	}
	*p = core.Packet{
		From: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(binary.BigEndian.Uint32(b))), To: route,
		Seq: binary.BigEndian.Uint32(b[4:]), Token: tokens.Token(binary.BigEndian.Uint32(b[8:])), Open: b[12] > 0,
	}
	p.Ack, p.Length = p.Seq, 1
	if p.Open {
		p.Ack = uint32(b[12]) - 1
	}
	return true
}

func (plainCodec) Forward(dst, b []byte, a *core.Action) []byte {
	return append(binary.BigEndian.AppendUint32(dst, uint32(a.Token)), b...)
}

func (plainCodec) Reset(dst []byte, _ *core.Packet) []byte { return append(dst, 'r') }

// Ports of the tests lie between those of examples/local and 32768, where Linux starts
// the ports of outgoing connections.
const (
	firstPort = 29_000
	endPort   = 32_768
)

// freeAddresses returns n addresses whose ports are free for both TCP and UDP, because
// hosts listen on some of them by one protocol and on some by the other. All ports are
// held until the last one is chosen, so that no two are the same.
func freeAddresses(c *qt.C, n int) []netip.AddrPort {
	var out []netip.AddrPort
	for range 1000 {
		if len(out) == n {
			return out
		}
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+rand.IntN(endPort-firstPort)))
		tcp, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		defer tcp.Close()
		udp, err := net.ListenPacket("udp", address.String())
		if err != nil {
			continue
		}
		defer udp.Close()
		out = append(out, address)
	}
	c.Fatalf("found only %d of %d free ports", len(out), n)
	return nil
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
	serveReplies(ctx, c, address, func() msgs.FetchReply { return reply })
}

// serveReplies runs a control host that answers fetches with what next returns.
func serveReplies(ctx context.Context, c *qt.C, address netip.AddrPort, next func() msgs.FetchReply) {
	s := link.NewServer(address.String(), directory.Key, func(from link.Replier, body []byte) {
		m, err := msgs.Decode(body)
		if err != nil || m.Fetch == nil {
			return
		}
		r := next()
		r.RequestID = m.Fetch.RequestID
		from.Reply(msgs.Encode(&msgs.Envelope{FetchReply: &r}))
	}, logs.Discard())
	go func() { c.Check(s.Run(ctx), qt.IsNil) }()
}

// newSettings returns settings with free addresses.
func newSettings(c *qt.C) *site.Settings {
	free := freeAddresses(c, 4)
	return &site.Settings{
		Name: "entry", Centre: "a", Packets: free[0], Ready: free[1], Admin: free[2], Seeds: free[3:],
		AnnounceInterval: 1000, GracePeriod: 1600,
	}
}

// startReady runs an entry host and waits until it is ready. The channel gets the result
// of its Run.
func startReady(ctx context.Context, c *qt.C, settings *site.Settings, codec daemon.Codec) (*daemon.Daemon, <-chan error) {
	factory, err := logs.New(io.Discard, logs.Options{Level: "info"})
	c.Assert(err, qt.IsNil)
	d, err := daemon.New(settings, clock.New(), factory, codec)
	c.Assert(err, qt.IsNil)
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx) }()
	c.Assert(becomesReady(settings.Ready), qt.IsTrue)
	return d, stopped
}

const (
	// flowPackets are sent by TestForwardsWhileItTicks, one per sendInterval, so that the
	// test lasts for more than ten ticks.
	flowPackets  = 8000
	sendInterval = 150 * time.Microsecond
	// sendWindow bounds the datagrams in transit. The smallest receive buffer of the
	// kernel holds them and two copies of each opening, so that none is dropped there.
	sendWindow = 64
	// maxTransit is the longest time a datagram may take, by a processClock, and maxTransits
	// the longest time all of them may take.
	maxTransit  = time.Second
	maxTransits = 10 * time.Second
	// maxStep bounds the steps of a processClock.
	maxStep = 20 * time.Millisecond
)

// processClock measures time without most of that in which the machine does not run this
// process: it stood still for more than a second beside 22 busy loops on 7 cores.
type processClock struct{ elapsed atomic.Int64 }

// run drives the clock until ctx is done.
func (p *processClock) run(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(time.Millisecond)
		now := time.Now()
		p.elapsed.Add(int64(min(now.Sub(last), maxStep)))
		last = now
	}
}

func (p *processClock) now() time.Duration { return time.Duration(p.elapsed.Load()) }

// sender sends numbered datagrams through an entry host.
type sender struct {
	start time.Time
	clock processClock
	// sentAt is the time since start at which each datagram was sent, or 0, and
	// sentByClock the same by clock.
	sentAt, sentByClock [flowPackets]atomic.Int64

	sent     atomic.Int64
	received atomic.Int64
}

// run sends all datagrams. A datagram that is late, because the machine is busy, doesn't
// delay the later ones, so that the number sent doesn't depend on how long a sleep takes.
func (s *sender) run(ctx context.Context, c *qt.C, conn net.Conn) {
	for i := range int64(flowPackets) {
		for time.Since(s.start) < time.Duration(i)*sendInterval || i-s.received.Load() >= sendWindow {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(sendInterval / 3)
		}
		s.sent.Add(1)
		s.sentByClock[i].Store(int64(s.clock.now()))
		s.sentAt[i].Store(int64(time.Since(s.start)))
		transmit(c, conn, int(i), byte(i%2))
	}
}

// transmit sends datagram i. Transmission is 0, or its number for an opening packet.
func transmit(c *qt.C, conn net.Conn, i int, transmission byte) {
	b := binary.BigEndian.AppendUint32(nil, uint32(i+1))
	b = binary.BigEndian.AppendUint32(b, uint32(i))
	b = binary.BigEndian.AppendUint32(b, uint32(tokens.Candidate("i-1", 0, 0)))
	_, err := conn.Write(append(b, transmission))
	c.Check(err, qt.IsNil)
}

// sendCopies sends the copies of openings that are due, as clients do. Hosts drop openings
// whose client has sent a copy meanwhile.
func (r *receiver) sendCopies(c *qt.C, conn net.Conn, now time.Duration) {
	for i := r.oldest; i < flowPackets; i++ {
		sentAt, n := time.Duration(r.sentAt[i].Load()), r.copies[i]
		if sentAt == 0 || now-sentAt < copyAges[0] {
			return
		}
		if i%2 == 1 && r.receivedAt[i] == 0 && n < len(copyAges) && now-sentAt >= copyAges[n] {
			r.copies[i]++
			transmit(c, conn, i, byte(n)+2)
		}
	}
}

// receiver records when the server received each datagram.
type receiver struct {
	*sender
	receivedAt [flowPackets]time.Duration
	// copies is the number of copies of each datagram that were sent and not received.
	copies [flowPackets]int
	// oldest is the first datagram that has not been received.
	oldest int
}

// copyAges are the ages at which clients send copies of an opening.
var copyAges = [...]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// receive waits for a datagram. It returns an error if one took longer than maxTransit or
// came more often than it was sent.
func (r *receiver) receive(c *qt.C, conn net.Conn, server *net.UDPConn) error {
	c.Assert(server.SetReadDeadline(time.Now().Add(maxTransit/10)), qt.IsNil)
	buf := make([]byte, 64)
	n, err := server.Read(buf)
	now, byClock := time.Since(r.start), r.clock.now()
	if err == nil {
		c.Assert(n, qt.Equals, plainSize+4)
		c.Assert(tokens.Token(binary.BigEndian.Uint32(buf)), qt.Equals, tokens.Candidate("i-1", 0, 0))
		i := binary.BigEndian.Uint32(buf[8:])
		if r.receivedAt[i] != 0 {
			if r.copies[i] == 0 {
				return fmt.Errorf("datagram %d was received more often than it was sent", i)
			}
			r.copies[i]--
			return nil
		}
		r.receivedAt[i] = now
		r.received.Add(1)
		if transit := byClock - time.Duration(r.sentByClock[i].Load()); transit > maxTransit {
			return fmt.Errorf("datagram %d was forwarded after %s", i, transit)
		}
	}
	for r.oldest < flowPackets && r.receivedAt[r.oldest] != 0 {
		r.oldest++
	}
	r.sendCopies(c, conn, now)
	if r.oldest < flowPackets {
		// sentAt is set last, so sentByClock is known if sentAt is.
		sent := r.sentAt[r.oldest].Load() != 0
		if transit := byClock - time.Duration(r.sentByClock[r.oldest].Load()); sent && transit > maxTransit {
			return fmt.Errorf("datagram %d was not forwarded within %s", r.oldest, transit)
		}
	}
	return nil
}

// transits returns the longest transit, and the time during which at least one datagram
// was in transit.
func (r *receiver) transits() (longest, total time.Duration) {
	var end time.Duration
	for i, receivedAt := range r.receivedAt {
		sentAt := time.Duration(r.sentAt[i].Load())
		longest = max(longest, receivedAt-sentAt)
		if receivedAt > end {
			total += receivedAt - max(sentAt, end)
			end = receivedAt
		}
	}
	return longest, total
}

// TestForwardsWhileItTicks sends packets without a pause over many ticks. It guards
// against data races between packets and ticks, which gnet runs on different
// goroutines, and against datagrams that are lost, duplicated or delayed by ticks.
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
	d, stopped := startReady(ctx, c, settings, plainCodec{})

	conn, err := net.Dial("udp4", settings.Packets.String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	r := &receiver{sender: &sender{start: time.Now()}}
	go r.clock.run(ctx)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		r.run(ctx, c, conn)
	}()
	defer func() {
		cancel()
		<-finished
	}()
	for r.received.Load() < flowPackets {
		if err := r.receive(c, conn, server); err != nil {
			t.Fatalf("after %d of %d datagrams: %s; dropped by the kernel: %s for the relay, %s for the server; %s",
				r.received.Load(), r.sent.Load(), err, kernelDrops(settings.Packets.Port()), kernelDrops(serverAddr.Port()), string(d.Metrics().Values()))
		}
	}
	<-finished
	longest, total := r.transits()
	t.Logf("sent in %s, by the process clock %s; longest transit %s, all transits %s", time.Duration(r.sentAt[flowPackets-1].Load()), r.clock.now(), longest, total)
	c.Check(total < maxTransits, qt.IsTrue, qt.Commentf("all transits took %s", total))
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
	serveControl(ctx, c, settings.Seeds[0], freeAddresses(c, 1)[0])
	_, stopped := startReady(ctx, c, settings, plainCodec{})
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
