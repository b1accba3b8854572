package server_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/stand/server"
	"monsooncleat.example/monsooncleat/internal/stand/tunnel"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

var (
	serverAddr = netip.MustParseAddrPort("127.0.61.1:21007")
	clientAddr = netip.MustParseAddrPort("127.0.61.2:40000")
	virtualIP  = netip.MustParseAddrPort("198.51.100.20:7001")
)

// exchange sends a segment to the server and returns the acknowledgement number of its
// reply.
func exchange(t *testing.T, client *tunnel.Endpoint, replies <-chan uint32, s inner.Segment) uint32 {
	t.Helper()
	client.Send(serverAddr, inner.BuildTCP(clientAddr, virtualIP, s))
	select {
	case ack := <-replies:
		return ack
	case <-time.After(5 * time.Second):
		t.Fatal("the server did not reply")
		return 0
	}
}

// TestLateCopyOfOpeningSegmentKeepsTheStream guards against a stream that starts anew,
// and acknowledges nothing more, when a copy of its SYN arrives after data.
func TestLateCopyOfOpeningSegmentKeepsTheStream(t *testing.T) {
	s, err := server.New(server.Options{Name: "s", Service: "punnitus", ListenAddr: serverAddr.String(), ReturnPort: 21008})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	client, err := tunnel.Open("127.0.61.2:21008")
	qt.Assert(t, err, qt.IsNil)
	defer client.Close()
	replies := make(chan uint32, 8)
	go client.Serve(func(p *inner.Packet) { replies <- p.Ack })

	syn := inner.Segment{Flags: inner.SYN, Seq: 100}
	data := func(seq uint32) inner.Segment {
		return inner.Segment{Flags: inner.ACK, Seq: seq, Ack: 1, Payload: []byte("feed")}
	}
	qt.Check(t, exchange(t, client, replies, syn), qt.Equals, uint32(101))
	qt.Check(t, exchange(t, client, replies, data(101)), qt.Equals, uint32(105))
	qt.Check(t, exchange(t, client, replies, syn), qt.Equals, uint32(105))
	qt.Check(t, exchange(t, client, replies, data(105)), qt.Equals, uint32(109))
	newer := inner.Segment{Flags: inner.SYN, Seq: 500}
	qt.Check(t, exchange(t, client, replies, newer), qt.Equals, uint32(501))
}
