package stage

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	FlagRST     byte = 1
	FlagSYN     byte = 2
	FlagBounced byte = 4
	FlagFIN     byte = 8
	FlagACK     byte = 128
)

const (
	headerSize = 32
	// numberSize is the size of the server number in front of a packet to a server.
	numberSize = 8
	maxData    = 1200
	// sumKey keys the checksum of clients and servers. The system doesn't know it.
	sumKey = "stage of the second review"
)

// Packet is a packet of the platform's protocol.
type Packet struct {
	Seq, Ack uint32
	Dst, Src netip.AddrPort
	Flags    byte
	Echo     uint32
	Data     []byte
	// Sum is the checksum as received. Encode computes it anew.
	Sum uint32
}

// Has reports whether a flag is set.
func (p *Packet) Has(flag byte) bool { return p.Flags&flag != 0 }

// String describes the packet for the record.
func (p *Packet) String() string {
	names := ""
	for _, f := range []struct {
		bit  byte
		name string
	}{{FlagSYN, "S"}, {FlagACK, "A"}, {FlagFIN, "F"}, {FlagRST, "R"}} {
		if p.Has(f.bit) {
			names += f.name
		}
	}
	return fmt.Sprintf("%s>%s %s seq=%d ack=%d echo=%08x len=%d", p.Src, p.Dst, names, p.Seq, p.Ack, p.Echo, len(p.Data))
}

func (p *Packet) header() []byte {
	b := make([]byte, headerSize, headerSize+len(p.Data))
	binary.BigEndian.PutUint32(b[4:], p.Seq)
	binary.BigEndian.PutUint32(b[8:], p.Ack)
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.Data)))
	dst, src := p.Dst.Addr().As4(), p.Src.Addr().As4()
	copy(b[14:], dst[:])
	copy(b[18:], src[:])
	binary.BigEndian.PutUint16(b[22:], p.Src.Port())
	binary.BigEndian.PutUint16(b[24:], p.Dst.Port())
	b[26] = p.Flags
	return append(b, p.Data...)
}

// checksum covers all but the echo, the padding and the flag BOUNCED.
func (p *Packet) checksum() uint32 {
	b := p.header()
	b[26] &^= FlagBounced
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(b)
	return max(h.Sum32(), 1)
}

// Encode returns the packet with its checksum.
func (p *Packet) Encode() []byte {
	b := p.header()
	binary.BigEndian.PutUint32(b, p.checksum())
	binary.BigEndian.PutUint32(b[28:], p.Echo)
	return b
}

// ParsePacket decodes a packet. Intact reports whether its sender wrote it so.
func ParsePacket(b []byte) (p *Packet, intact bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[12:])) {
		return nil, false
	}
	addr := func(at int) netip.Addr { return netip.AddrFrom4([4]byte(b[at : at+4])) }
	p = &Packet{
		Sum: binary.BigEndian.Uint32(b), Seq: binary.BigEndian.Uint32(b[4:]), Ack: binary.BigEndian.Uint32(b[8:]),
		Dst:   netip.AddrPortFrom(addr(14), binary.BigEndian.Uint16(b[24:])),
		Src:   netip.AddrPortFrom(addr(18), binary.BigEndian.Uint16(b[22:])),
		Flags: b[26], Echo: binary.BigEndian.Uint32(b[28:]),
		Data: append([]byte(nil), b[headerSize:]...),
	}
	return p, p.Sum == p.checksum()
}
