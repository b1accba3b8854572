package daemon_test

import (
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// firstCodec takes all opening packets for first transmissions, and records the highest
// sequence number of those that are reset.
type firstCodec struct {
	plainCodec
	lastReset *atomic.Uint32
}

func (f firstCodec) Decode(b []byte, p *core.Packet) bool {
	ok := f.plainCodec.Decode(b, p)
	p.Ack = 0
	return ok
}

func (f firstCodec) Reset(dst []byte, p *core.Packet) []byte {
	f.lastReset.Store(max(f.lastReset.Load(), p.Seq))
	return dst
}

// TestRepliesWithoutQuorumConfirmNothing guards against resets for want of a server, by news of more than 1.5 s ago.
func TestRepliesWithoutQuorumConfirmNothing(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := &routes.Table{Version: 1, Services: []string{"x"}, Routes: []routes.Route{
		{Name: "r", Address: route, Timeout: 1000, Targets: []routes.Target{{Service: "x", Weight: 1}}},
	}}
	var isolated atomic.Bool
	settings := newSettings(c)
	serveReplies(ctx, c, settings.Seeds[0], func() msgs.FetchReply {
		return msgs.FetchReply{Current: !isolated.Load(), RunID: 1, Position: 1, Version: 1, Delta: msgs.EncodeDelta(routes.Diff(nil, table))}
	})
	var lastReset atomic.Uint32
	_, stopped := startReady(ctx, c, settings, firstCodec{lastReset: &lastReset})
	conn, err := net.Dial("udp4", settings.Packets.String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	seq := uint32(0)
	open := func() {
		seq++
		b := binary.BigEndian.AppendUint32(nil, 1000+seq)
		b = binary.BigEndian.AppendUint32(b, seq)
		_, err := conn.Write(append(b, 0, 0, 0, 0, 1))
		c.Check(err, qt.IsNil)
		time.Sleep(50 * time.Millisecond)
	}
	for n := 0; n < 100 && lastReset.Load() == 0; n++ {
		open()
	}
	c.Assert(lastReset.Load() > 0, qt.IsTrue)
	isolated.Store(true)
	time.Sleep(1600 * time.Millisecond)
	first := seq + 1
	for range 20 {
		open()
	}
	c.Check(lastReset.Load() < first, qt.IsTrue)
	cancel()
	c.Check(<-stopped, qt.IsNil)
}
