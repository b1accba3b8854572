// Package hold keeps packets that cannot be routed yet. It is designed for the first
// moments after a start, when clients send packets before the host knows the routing
// table and the servers: a client whose packet is dropped sends it again only after
// 200 ms, and each further time later.
package hold

import "monsooncleat.example/monsooncleat/internal/base/clock"

const (
	// maxAge is how long a packet is kept. It is below the time after which a client
	// gives up an opening packet, less the round trips that its request takes.
	maxAge = 1000 * clock.Millis(1)
	// maxPackets bounds the number of packets kept, and so their memory to about a
	// megabyte.
	maxPackets = 768
)

// Packet is a packet with the time when it arrived.
type Packet struct {
	Datagram  []byte
	ArrivedAt clock.Millis
}

// Buffer holds packets in the order of their arrival. It is not safe for concurrent
// use.
type Buffer struct {
	packets []Packet
	dropped uint64
}

// Add keeps a copy of a packet, unless it is too old or the buffer is full. The
// packets that came first are kept: their clients wait longest.
func (b *Buffer) Add(now, arrivedAt clock.Millis, datagram []byte) {
	if len(b.packets) >= maxPackets || now-arrivedAt > maxAge {
		b.dropped++
		return
	}
	b.packets = append(b.packets, Packet{append([]byte(nil), datagram...), arrivedAt})
}

// Take returns the packets and empties the buffer. Packets that are too old are
// dropped.
func (b *Buffer) Take(now clock.Millis) []Packet {
	packets := b.packets
	b.packets = nil
	for len(packets) > 0 && now-packets[0].ArrivedAt > maxAge {
		packets = packets[1:]
		b.dropped++
	}
	return packets
}

// Len returns the number of packets.
func (b *Buffer) Len() int { return len(b.packets) }

// Dropped returns the number of packets that were too old or did not fit.
func (b *Buffer) Dropped() uint64 { return b.dropped }
