package shape_test

import (
	"net/netip"
	"testing"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/shape"
)

const linkRate = 5_100_000

var route = netip.MustParseAddrPort("198.18.0.1:443")

// benchmark makes the calls that the forwarder makes for each packet. Packet i, of 900
// bytes, comes at milli(i) and is of one of so many flows.
func benchmark(b *testing.B, flows int, milli func(i int) clock.Millis) {
	s := shape.New(shape.Options{LinkRate: linkRate})
	all := make([]shape.Flow, flows)
	for i := range all {
		all[i] = shape.Flow{Client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 4000), Route: route}
	}
	p := shape.Packet{Length: 900, To: route, Datagram: make([]byte, 920)}
	offer := func(i int) {
		p.Seq = uint32(i)
		s.Delayed(milli(i), &all[i%flows])
		s.Offer(milli(i), &all[i%flows], &p)
		for {
			if _, ok := s.Next(milli(i)); !ok {
				break
			}
		}
		s.DueIn()
	}
	// The buffers and the list of flows reach their final size.
	for i := range 20_000 {
		offer(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		offer(i + 20_000)
	}
}

// BenchmarkCalm is a host that sends a third of its link's rate, BenchmarkSmallFlows one
// that sends nine tenths in requests of a flow each, and BenchmarkQueued one that is
// offered one and a half times the rate in 40 flows that send much.
func BenchmarkCalm(b *testing.B) {
	benchmark(b, 500, func(i int) clock.Millis { return clock.Millis(i * 9 / 2) })
}

func BenchmarkSmallFlows(b *testing.B) {
	benchmark(b, 50_000, func(i int) clock.Millis { return clock.Millis(i * 5 / 3) })
}

func BenchmarkQueued(b *testing.B) {
	benchmark(b, 40, func(i int) clock.Millis { return clock.Millis(i) })
}
