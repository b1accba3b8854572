package daemon_test

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// numberCodec writes the number of the server in the place of its token.
type numberCodec struct{ plainCodec }

func (numberCodec) Forward(dst, b []byte, a *core.Action) []byte {
	return append(binary.BigEndian.AppendUint32(dst, uint32(a.Number)), b...)
}

// TestAskedPacketsKeepTheRateOfTheLink guards against a link that packets to a server which may not exist fill before those of open flows.
func TestAskedPacketsKeepTheRateOfTheLink(t *testing.T) {
	for _, ended := range []bool{false, true} {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		server, err := net.ListenUDP("udp4", nil)
		c.Assert(err, qt.IsNil)
		defer server.Close()
		settings := newSettings(c)
		settings.LinkRate = 800_000
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(server.LocalAddr().(*net.UDPAddr).Port))
		status := func(id string, number uint64, ended bool) msgs.ServerStatus {
			return msgs.ServerStatus{Ended: ended, Record: fleet.Record{
				ID: id, Number: number, Seq: 1, Service: "x", Address: address, Centre: "a", Slots: 2, State: fleet.Ready,
			}}
		}
		serveReplies(ctx, c, settings.Seeds[0], func() msgs.FetchReply {
			return msgs.FetchReply{
				Current: true, RunID: 1, Position: 1, Servers: []msgs.ServerStatus{status("i-1", 1, ended), status("i-2", 2, false)},
				Delta: msgs.EncodeDelta(routes.Diff(nil, &routes.Table{Version: 1, Services: []string{"x"}, Routes: []routes.Route{{
					Name: "r", Address: route, Timeout: 1000, Targets: []routes.Target{{Service: "x", Weight: 1}},
				}}})),
			}
		})
		_, stopped := startReady(ctx, c, settings, numberCodec{})
		conn, err := net.Dial("udp4", settings.Packets.String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		datagram := make([]byte, 1000)
		binary.BigEndian.PutUint32(datagram, 4000)
		binary.BigEndian.PutUint32(datagram[8:], uint32(tokens.Candidate("i-1", 0, 0)))
		// The client sends 100 kB a second, as much as the link carries.
		go func() {
			for seq := range uint32(100) {
				binary.BigEndian.PutUint32(datagram[4:], seq)
				_, _ = conn.Write(datagram)
				time.Sleep(10 * time.Millisecond)
			}
		}()
		buf, sent, own := make([]byte, 2000), 0, 0
		end := time.Now().Add(time.Second)
		c.Assert(server.SetReadDeadline(end), qt.IsNil)
		for {
			n, err := server.Read(buf)
			if err != nil {
				break
			}
			sent += n + 28
			if binary.BigEndian.Uint32(buf) == 1 {
				own++
			}
		}
		// The link carries 94 packets in that second.
		c.Check(own >= 70, qt.IsTrue, qt.Commentf("ended %t: %d packets to the flow's server, %d bytes sent", ended, own, sent))
		cancel()
		<-stopped
	}
}
