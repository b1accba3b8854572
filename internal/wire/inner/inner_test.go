package inner_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// Source and destination of the test packets.
var (
	endpointsV4 = [2]netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:40000"), netip.MustParseAddrPort("198.51.100.1:443")}
	endpointsV6 = [2]netip.AddrPort{netip.MustParseAddrPort("[2001:db8::1]:40000"), netip.MustParseAddrPort("[2001:db8::2]:443")}
)

func TestParseReadsBuiltPackets(t *testing.T) {
	for _, endpoints := range [][2]netip.AddrPort{endpointsV4, endpointsV6} {
		c := qt.New(t)
		var ps inner.Parser
		var p inner.Packet
		packet := inner.BuildTCP(endpoints[0], endpoints[1], inner.Segment{Flags: inner.SYN, Seq: 7, Payload: []byte("x")})
		c.Assert(ps.Parse(packet, &p), qt.IsNil)
		c.Check(p.Key, qt.Equals, inner.NewKey(inner.TCP, endpoints[0], endpoints[1]))
		c.Check(p.Opens(), qt.IsTrue)
		c.Check(p.Seq, qt.Equals, uint32(7))
		key, err := inner.ParseKey(p.Key.Append(nil))
		c.Assert(err, qt.IsNil)
		c.Check(key, qt.Equals, p.Key)
		reset := inner.BuildReset(&p)
		c.Assert(ps.Parse(reset, &p), qt.IsNil)
		c.Check(p.Key.Src(), qt.Equals, endpoints[1])
		// Sequence number 7, plus one for SYN and one for the payload byte.
		c.Check(p.Ack, qt.Equals, uint32(9))
		udp := inner.BuildUDP(endpoints[0], endpoints[1], []byte("payload"))
		c.Assert(ps.Parse(udp, &p), qt.IsNil)
		c.Check(string(p.Payload), qt.Equals, "payload")
		c.Check(len(inner.BuildUnreachable(&p)) > 0, qt.IsTrue)
	}
}

func TestGeneveDatagramRoundTripKeepsRelayOption(t *testing.T) {
	c := qt.New(t)
	want := geneve.Relay{Hops: 2, Flags: geneve.FlagLookupMiss, Version: 9, ViewVersion: 77, Origin: endpointsV4[0]}
	packet := inner.BuildUDP(endpointsV4[0], endpointsV4[1], []byte("payload"))
	var dec geneve.Decoder
	var d geneve.Datagram
	c.Assert(dec.Decode(geneve.Append(nil, packet, &want), &d), qt.IsNil)
	c.Check(d.Relay, qt.Equals, want)
	c.Check(d.Inner, qt.DeepEquals, packet)
}

func FuzzDatagram(f *testing.F) {
	packet := inner.BuildTCP(endpointsV4[0], endpointsV4[1], inner.Segment{Flags: inner.SYN})
	f.Add(geneve.Append(nil, packet, nil))
	f.Add(geneve.Append(nil, packet, &geneve.Relay{Hops: 1, Origin: endpointsV6[0]}))
	f.Add(geneve.Append(nil, inner.BuildUDP(endpointsV6[0], endpointsV6[1], []byte("payload")), nil))
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
