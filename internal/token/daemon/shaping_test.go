package daemon_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

// TestSendsWaitingPacketsAtAStop guards against packets that are lost, reordered or sent
// twice when a host stops while they wait, against a timer that doesn't release them, and
// against shaping where it is switched off.
func TestSendsWaitingPacketsAtAStop(t *testing.T) {
	const count = 40
	for _, off := range []tune.Off{0, tune.Off(0).With(tune.Shaping)} {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		server, err := net.ListenUDP("udp4", nil)
		c.Assert(err, qt.IsNil)
		defer server.Close()
		settings := newSettings(c)
		// The packets need 460 ms. The host stops after the tenth, and doesn't linger.
		settings.LinkRate, settings.Off, settings.GracePeriod = 800_000, off, 1500
		controls, stopControls := context.WithCancel(context.Background())
		defer stopControls()
		serveControl(controls, c, settings.Seeds[0], netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(server.LocalAddr().(*net.UDPAddr).Port)))
		d, stopped := startReady(ctx, c, settings, plainCodec{})

		conn, err := net.Dial("udp4", settings.Packets.String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		datagram := make([]byte, 1000)
		binary.BigEndian.PutUint32(datagram, 4000)
		binary.BigEndian.PutUint32(datagram[8:], uint32(tokens.Candidate("i-1", 0, 0)))
		for seq := range uint32(count) {
			binary.BigEndian.PutUint32(datagram[4:], seq)
			_, err := conn.Write(datagram)
			c.Assert(err, qt.IsNil)
		}
		buf := make([]byte, 2000)
		c.Assert(server.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		for seq := range uint32(count) {
			if seq == 10 {
				cancel()
			}
			n, err := server.Read(buf)
			c.Assert(err, qt.IsNil, qt.Commentf("packet %d", seq))
			c.Assert(n, qt.Equals, len(datagram)+4)
			c.Assert(binary.BigEndian.Uint32(buf[8:]), qt.Equals, seq)
		}
		c.Check(<-stopped, qt.IsNil)
		c.Assert(server.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
		_, err = server.Read(buf)
		c.Check(err, qt.IsNotNil, qt.Commentf("a packet was sent twice"))
		var metrics struct{ ShapingPacketsReleased int }
		c.Assert(json.Unmarshal(d.Metrics().Values(), &metrics), qt.IsNil)
		c.Check(metrics.ShapingPacketsReleased > 0, qt.Equals, off == 0)
	}
}
