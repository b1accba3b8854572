package inner

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const ttl = 64

var buildOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// BuildUDP returns the IP packet of one UDP datagram.
func BuildUDP(src, dst netip.AddrPort, payload []byte) []byte {
	udp := &layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(dst.Port())}
	ip, network := ipLayer(src.Addr(), dst.Addr(), layers.IPProtocolUDP)
	_ = udp.SetNetworkLayerForChecksum(network)
	return serialize(ip, udp, gopacket.Payload(payload))
}

// Segment is what a TCP segment says besides its addresses.
type Segment struct {
	Flags   uint8
	Seq     uint32
	Ack     uint32
	Payload []byte
}

// BuildTCP returns the IP packet of one TCP segment.
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

// BuildReset returns the TCP reset that answers p towards its sender, as
// RFC 9293 section 3.10.7.1 asks.
func BuildReset(p *Packet) []byte {
	s := Segment{Flags: RST | ACK, Ack: p.Seq + segmentLength(p)}
	if p.Flags&ACK != 0 {
		s = Segment{Flags: RST, Seq: p.Ack}
	}
	return BuildTCP(p.Key.Dst(), p.Key.Src(), s)
}

// BuildResetOnward returns a reset that ends the flow of p towards the
// server, in sequence after p.
func BuildResetOnward(p *Packet) []byte {
	s := Segment{Flags: RST | ACK, Seq: p.Seq, Ack: p.Ack}
	return BuildTCP(p.Key.Src(), p.Key.Dst(), s)
}

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

// quoted is the number of bytes of the refused packet that an ICMP error
// quotes: the longest IP header and eight bytes more.
const quoted = 68

// BuildUnreachable returns the ICMP port-unreachable error that answers p.
func BuildUnreachable(p *Packet) []byte {
	quote := gopacket.Payload(p.Raw[:min(len(p.Raw), quoted)])
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

// serialize joins layers into one packet. It cannot fail for the layers that
// this package builds, whose lengths and families agree.
func serialize(parts ...gopacket.SerializableLayer) []byte {
	buf := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buf, buildOptions, parts...); err != nil {
		return nil
	}
	return buf.Bytes()
}
