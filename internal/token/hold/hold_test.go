package hold_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/hold"
)

func TestReturnsPacketsInOrder(t *testing.T) {
	var b hold.Buffer
	datagram := []byte{1}
	b.Add(10, 10, datagram)
	datagram[0] = 2
	b.Add(20, 20, datagram)
	packets := b.Take(30)
	qt.Assert(t, packets, qt.HasLen, 2)
	qt.Check(t, packets[0], qt.DeepEquals, hold.Packet{Datagram: []byte{1}, ArrivedAt: 10})
	qt.Check(t, packets[1].Datagram, qt.DeepEquals, []byte{2})
	qt.Check(t, b.Len(), qt.Equals, 0)
}

func TestDropsOldPackets(t *testing.T) {
	var b hold.Buffer
	b.Add(0, 0, []byte{1})
	b.Add(900, 900, []byte{2})
	packets := b.Take(1500)
	qt.Assert(t, packets, qt.HasLen, 1)
	// A packet that still can't be routed keeps its age.
	b.Add(1500, packets[0].ArrivedAt, packets[0].Datagram)
	qt.Check(t, b.Take(2000), qt.HasLen, 0)
	qt.Check(t, b.Dropped(), qt.Equals, uint64(2))
}

func TestBoundsTheNumberOfPackets(t *testing.T) {
	var b hold.Buffer
	for i := range 5000 {
		b.Add(clock.Millis(i/100), clock.Millis(i/100), []byte{1})
	}
	qt.Check(t, b.Len() < 1000, qt.IsTrue)
	qt.Check(t, uint64(b.Len())+b.Dropped(), qt.Equals, uint64(5000))
	qt.Check(t, b.Take(50)[0].ArrivedAt, qt.Equals, clock.Millis(0))
}
