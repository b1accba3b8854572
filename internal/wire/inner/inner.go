// Package inner parses and builds the IP packets carried inside the tunnel.
package inner

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// Errors returned by Parser.Parse and ParseKey.
var (
	// ErrMalformed is returned for bytes that cannot be parsed as an IP packet with
	// its transport header, and by ParseKey for an encoding of the wrong length.
	ErrMalformed = errors.New("malformed inner packet")
	// ErrUnsupported is returned for fragments and for protocols other than
	// TCP and UDP.
	ErrUnsupported = errors.New("inner packet is a fragment or neither TCP nor UDP")
)

// Proto is an IP protocol number.
type Proto uint8

// Protocols that services can use.
const (
	TCP Proto = 6
	UDP Proto = 17
)

// String returns "tcp", "udp" or "other".
func (p Proto) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	default:
		return "other"
	}
}

// TCP flags, as bits of the flags byte of the TCP header.
const (
	FIN uint8 = 0x01
	SYN uint8 = 0x02
	RST uint8 = 0x04
	ACK uint8 = 0x10
)

// tcpFlagsOffset is the offset in bytes of the flags byte in the TCP header.
const tcpFlagsOffset = 13

// Key is the five-tuple of a packet. A flow is identified by the key of its
// packets from client to service. Key holds no pointers, so that the garbage
// collector does not scan tables of keys.
type Key struct {
	src     [16]byte
	dst     [16]byte
	srcPort uint16
	dstPort uint16
	proto   Proto
}

// NewKey returns the key of the packets from src to dst.
func NewKey(proto Proto, src, dst netip.AddrPort) Key {
	return Key{
		src: src.Addr().As16(), dst: dst.Addr().As16(),
		srcPort: src.Port(), dstPort: dst.Port(), proto: proto,
	}
}

// Src returns the source address and port.
func (k *Key) Src() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.src).Unmap(), k.srcPort)
}

// Dst returns the destination address and port.
func (k *Key) Dst() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.dst).Unmap(), k.dstPort)
}

// Proto returns the transport protocol.
func (k *Key) Proto() Proto { return k.proto }

// Lengths in bytes of an encoded Key.
const (
	keyLengthV4 = 13
	keyLengthV6 = 37
)

// Append appends the encoding of k to b: 13 bytes for IPv4, 37 bytes for IPv6.
func (k *Key) Append(b []byte) []byte {
	src, dst := k.src[:], k.dst[:]
	if k.Src().Addr().Is4() {
		src, dst = k.src[12:], k.dst[12:]
	}
	b = append(b, src...)
	b = append(b, dst...)
	b = binary.BigEndian.AppendUint16(b, k.srcPort)
	b = binary.BigEndian.AppendUint16(b, k.dstPort)
	return append(b, byte(k.proto))
}

// ParseKey decodes a Key encoded by Append, or returns ErrMalformed.
func ParseKey(b []byte) (Key, error) {
	var k Key
	var ports []byte
	switch len(b) {
	case keyLengthV4:
		k.src, k.dst, ports = mapIPv4(b[:4]), mapIPv4(b[4:8]), b[8:]
	case keyLengthV6:
		k.src, k.dst, ports = [16]byte(b[:16]), [16]byte(b[16:32]), b[32:]
	default:
		return k, ErrMalformed
	}
	k.srcPort = binary.BigEndian.Uint16(ports)
	k.dstPort = binary.BigEndian.Uint16(ports[2:])
	k.proto = Proto(ports[4])
	return k, nil
}

// Hash returns the hash of k, which is the same on all hosts.
func (k *Key) Hash() uint64 {
	var b [keyLengthV6]byte
	return hash.Bytes(k.Append(b[:0]))
}

// Packet is a parsed IP packet. Flags, Seq and Ack are zero for UDP. Raw and
// Payload alias the parsed bytes.
type Packet struct {
	Key     Key
	Flags   uint8
	Seq     uint32
	Ack     uint32
	Raw     []byte
	Payload []byte
}

// Opens reports whether p opens a TCP connection: SYN without ACK or RST.
func (p *Packet) Opens() bool {
	return p.Flags&(SYN|ACK|RST) == SYN
}

// Parser parses packets without allocating. It is not safe for concurrent use.
type Parser struct {
	v4  layers.IPv4
	v6  layers.IPv6
	tcp layers.TCP
	udp layers.UDP
}

// Parse parses the IP packet raw into p.
func (ps *Parser) Parse(raw []byte, p *Packet) error {
	if len(raw) == 0 {
		return ErrMalformed
	}
	p.Raw = raw
	switch raw[0] >> 4 {
	case 4:
		return ps.parseV4(raw, p)
	case 6:
		return ps.parseV6(raw, p)
	default:
		return ErrMalformed
	}
}

func (ps *Parser) parseV4(raw []byte, p *Packet) error {
	if err := ps.v4.DecodeFromBytes(raw, gopacket.NilDecodeFeedback); err != nil {
		return ErrMalformed
	}
	if ps.v4.FragOffset != 0 || ps.v4.Flags&layers.IPv4MoreFragments != 0 {
		return ErrUnsupported
	}
	p.Key.src = mapIPv4(raw[12:16])
	p.Key.dst = mapIPv4(raw[16:20])
	return ps.parseTransport(Proto(ps.v4.Protocol), ps.v4.Payload, p)
}

func (ps *Parser) parseV6(raw []byte, p *Packet) error {
	if err := ps.v6.DecodeFromBytes(raw, gopacket.NilDecodeFeedback); err != nil {
		return ErrMalformed
	}
	if len(ps.v6.Payload) < int(ps.v6.Length) {
		return ErrMalformed
	}
	p.Key.src = [16]byte(raw[8:24])
	p.Key.dst = [16]byte(raw[24:40])
	return ps.parseTransport(Proto(ps.v6.NextHeader), ps.v6.Payload, p)
}

func (ps *Parser) parseTransport(proto Proto, data []byte, p *Packet) error {
	p.Key.proto = proto
	p.Flags, p.Seq, p.Ack = 0, 0, 0
	switch proto {
	case TCP:
		if err := ps.tcp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return ErrMalformed
		}
		p.Key.srcPort, p.Key.dstPort = uint16(ps.tcp.SrcPort), uint16(ps.tcp.DstPort)
		p.Flags, p.Seq, p.Ack = data[tcpFlagsOffset], ps.tcp.Seq, ps.tcp.Ack
		p.Payload = ps.tcp.Payload
		return nil
	case UDP:
		if err := ps.udp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return ErrMalformed
		}
		p.Key.srcPort, p.Key.dstPort = uint16(ps.udp.SrcPort), uint16(ps.udp.DstPort)
		p.Payload = ps.udp.Payload
		return nil
	default:
		return ErrUnsupported
	}
}

// mapIPv4 returns the IPv4-mapped IPv6 address of a four-byte IPv4 address.
func mapIPv4(v4 []byte) [16]byte {
	return [16]byte{10: 0xff, 11: 0xff, 12: v4[0], 13: v4[1], 14: v4[2], 15: v4[3]}
}
