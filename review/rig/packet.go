package rig

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
)

const headerSize = 32

// Flags of a packet.
const (
	flagReset = 1
	flagSyn   = 2
	flagFin   = 8
	flagAck   = 128
)

// packet is a packet between a client and a server.
type packet struct {
	sum, seq, ack, echo uint32
	src, dst            [4]byte
	sport, dport        uint16
	flags               byte
	data                []byte
}

// encode returns the packet as a datagram with a checksum. The system can't compute it:
// what it makes itself has the checksum 0.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	copy(b[14:], p.dst[:])
	copy(b[18:], p.src[:])
	binary.BigEndian.PutUint16(b[22:], p.sport)
	binary.BigEndian.PutUint16(b[24:], p.dport)
	b[26] = p.flags
	b = append(b, p.data...)
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the ends"))
	_, _ = h.Write(b)
	binary.BigEndian.PutUint32(b, h.Sum32()|1)
	binary.BigEndian.PutUint32(b[28:], p.echo)
	return b
}

func parsePacket(b []byte) (p packet, ok bool) {
	if len(b) < headerSize {
		return p, false
	}
	p = packet{
		sum: binary.BigEndian.Uint32(b), seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]), echo: binary.BigEndian.Uint32(b[28:]),
		sport: binary.BigEndian.Uint16(b[22:]), dport: binary.BigEndian.Uint16(b[24:]), flags: b[26], data: append([]byte(nil), b[headerSize:]...),
	}
	copy(p.dst[:], b[14:])
	copy(p.src[:], b[18:])
	return p, true
}

// reply returns a packet in the opposite direction, with the echo of this one.
func (p *packet) reply(flags byte, seq, ack uint32, data []byte) *packet {
	return &packet{seq: seq, ack: ack, echo: p.echo, src: p.dst, dst: p.src, sport: p.dport, dport: p.sport, flags: flags, data: data}
}

// key names the flow of a client's packet.
func (p *packet) key() string {
	return fmt.Sprintf("%d.%d.%d.%d:%d>%d", p.src[0], p.src[1], p.src[2], p.src[3], p.sport, p.dport)
}
