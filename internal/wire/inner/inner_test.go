package inner_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

var (
	v4 = [2]netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:40000"), netip.MustParseAddrPort("198.51.100.1:443")}
	v6 = [2]netip.AddrPort{netip.MustParseAddrPort("[2001:db8::1]:40000"), netip.MustParseAddrPort("[2001:db8::2]:443")}
)

func TestParseBuilt(t *testing.T) {
	for _, ends := range [][2]netip.AddrPort{v4, v6} {
		c := qt.New(t)
		var ps inner.Parser
		var p inner.Packet
		raw := inner.BuildTCP(ends[0], ends[1], inner.Segment{Flags: inner.SYN, Seq: 7, Payload: []byte("x")})
		c.Assert(ps.Parse(raw, &p), qt.IsNil)
		c.Check(p.Key, qt.Equals, inner.NewKey(inner.TCP, ends[0], ends[1]))
		c.Check(p.Opens(), qt.IsTrue)
		c.Check(p.Seq, qt.Equals, uint32(7))
		key, err := inner.ParseKey(p.Key.Append(nil))
		c.Assert(err, qt.IsNil)
		c.Check(key, qt.Equals, p.Key)
		reset := inner.BuildReset(&p)
		c.Assert(ps.Parse(reset, &p), qt.IsNil)
		c.Check(p.Key.Src(), qt.Equals, ends[1])
		c.Check(p.Ack, qt.Equals, uint32(9))
		udp := inner.BuildUDP(ends[0], ends[1], []byte("question"))
		c.Assert(ps.Parse(udp, &p), qt.IsNil)
		c.Check(string(p.Payload), qt.Equals, "question")
		c.Check(len(inner.BuildUnreachable(&p)) > 0, qt.IsTrue)
	}
}

func TestGeneveRelay(t *testing.T) {
	c := qt.New(t)
	want := geneve.Relay{Hops: 2, Flags: geneve.FlagAsked, Version: 9, View: 77, Origin: v4[0]}
	raw := inner.BuildUDP(v4[0], v4[1], []byte("question"))
	var dec geneve.Decoder
	var d geneve.Datagram
	c.Assert(dec.Decode(geneve.Append(nil, raw, &want), &d), qt.IsNil)
	c.Check(d.Relay, qt.Equals, want)
	c.Check(d.Inner, qt.DeepEquals, raw)
}

func FuzzDatagram(f *testing.F) {
	raw := inner.BuildTCP(v4[0], v4[1], inner.Segment{Flags: inner.SYN})
	f.Add(geneve.Append(nil, raw, nil))
	f.Add(geneve.Append(nil, raw, &geneve.Relay{Hops: 1, Origin: v6[0]}))
	f.Add(geneve.Append(nil, inner.BuildUDP(v6[0], v6[1], []byte("q")), nil))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var dec geneve.Decoder
		var d geneve.Datagram
		var ps inner.Parser
		var p inner.Packet
		if dec.Decode(b, &d) == nil && ps.Parse(d.Inner, &p) == nil {
			_ = inner.BuildReset(&p)
			_ = inner.BuildUnreachable(&p)
		}
	})
}
