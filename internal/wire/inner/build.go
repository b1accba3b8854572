package inner

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const ttl = 64

var buildOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// BuildUDP returns an IP packet that holds one UDP datagram.
func BuildUDP(src, dst netip.AddrPort, payload []byte) []byte {
	udp := &layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(dst.Port())}
	ip, network := ipLayer(src.Addr(), dst.Addr(), layers.IPProtocolUDP)
	_ = udp.SetNetworkLayerForChecksum(network)
	return serialize(ip, udp, gopacket.Payload(payload))
}

// Segment holds the fields of a TCP segment to build, except its addresses and
// ports.
type Segment struct {
	Flags   uint8
	Seq     uint32
	Ack     uint32
	Payload []byte
}

// BuildTCP returns an IP packet that holds one TCP segment.
func BuildTCP(src, dst netip.AddrPort, s Segment) []byte {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(src.Port()), DstPort: layers.TCPPort(dst.Port()),
		Seq: s.Seq, Ack: s.Ack, Window: 65535,
		FIN: s.Flags&FIN != 0, SYN: s.Flags&SYN != 0, RST: s.Flags&RST != 0, ACK: s.Flags&ACK != 0,
	}
	ip, network := ipLayer(src.Addr(), dst.Addr(), layers.IPProtocolTCP)
	_ = tcp.SetNetworkLayerForChecksum(network)
	return serialize(ip, tcp, gopacket.Payload(s.Payload))
}

// BuildReset returns the TCP reset to send to the source of p, as RFC 9293
// section 3.10.7.1 specifies for a connection that does not exist.
func BuildReset(p *Packet) []byte {
	s := Segment{Flags: RST | ACK, Ack: p.Seq + segmentLength(p)}
	if p.Flags&ACK != 0 {
		s = Segment{Flags: RST, Seq: p.Ack}
	}
	return BuildTCP(p.Key.Dst(), p.Key.Src(), s)
}

// BuildResetToDst returns a TCP reset to the destination of p that ends its
// flow. It carries the sequence and acknowledgement numbers of p.
func BuildResetToDst(p *Packet) []byte {
	s := Segment{Flags: RST | ACK, Seq: p.Seq, Ack: p.Ack}
	return BuildTCP(p.Key.Src(), p.Key.Dst(), s)
}

// segmentLength returns the length of p in sequence number space, where SYN and
// FIN count one each.
func segmentLength(p *Packet) uint32 {
	length := uint32(len(p.Payload))
	if p.Flags&SYN != 0 {
		length++
	}
	if p.Flags&FIN != 0 {
		length++
	}
	return length
}

// maxQuote is the number of bytes of the offending packet that an ICMP error
// includes: the longest IPv4 header (60 bytes) and the first 8 bytes after it.
const maxQuote = 68

// BuildUnreachable returns the ICMP port unreachable error to send to the source
// of p.
func BuildUnreachable(p *Packet) []byte {
	quote := gopacket.Payload(p.Raw[:min(len(p.Raw), maxQuote)])
	src, dst := p.Key.Dst().Addr(), p.Key.Src().Addr()
	if src.Is4() {
		ip, _ := ipLayer(src, dst, layers.IPProtocolICMPv4)
		code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)
		return serialize(ip, &layers.ICMPv4{TypeCode: code}, quote)
	}
	ip, network := ipLayer(src, dst, layers.IPProtocolICMPv6)
	code := layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)
	icmp := &layers.ICMPv6{TypeCode: code}
	_ = icmp.SetNetworkLayerForChecksum(network)
	unused := gopacket.Payload(make([]byte, 4))
	return serialize(ip, icmp, unused, quote)
}

func ipLayer(src, dst netip.Addr, proto layers.IPProtocol) (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	if src.Is4() {
		ip := &layers.IPv4{Version: 4, TTL: ttl, Protocol: proto, SrcIP: src.AsSlice(), DstIP: dst.AsSlice()}
		return ip, ip
	}
	ip := &layers.IPv6{Version: 6, HopLimit: ttl, NextHeader: proto, SrcIP: src.AsSlice(), DstIP: dst.AsSlice()}
	return ip, ip
}

// serialize encodes packetLayers as one packet. It returns nil when gopacket cannot
// encode them, such as when the address families of source and destination differ.
func serialize(packetLayers ...gopacket.SerializableLayer) []byte {
	buf := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buf, buildOptions, packetLayers...); err != nil {
		return nil
	}
	return buf.Bytes()
}
