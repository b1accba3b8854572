// Package geneve encodes and decodes Geneve (RFC 8926) datagrams that carry one
// IP packet, and the option that entry hosts add to packets they relay.
package geneve

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// ErrMalformed is returned for a datagram that is not Geneve with an IP packet
// inside.
var ErrMalformed = errors.New("malformed geneve datagram")

const (
	// relayClass is the option class, from the range for experimental use.
	relayClass   = 0xff4d
	relayType    = 0x01
	relayLength  = 32 // bytes of option data
	headerLength = 8  // bytes of the fixed Geneve header
	// optionHeaderLength is the length in bytes of the header of an option.
	optionHeaderLength = 4
	// lengthUnit is the unit in bytes of the length fields of Geneve.
	lengthUnit = 4
)

// Flags of the relay option.
const (
	// FlagLookupMiss marks a packet that returns to the home of its key after a
	// lookup that found no record.
	FlagLookupMiss uint8 = 1 << iota
	// FlagLookup asks the receiver, a previous home of the key or its successor, to
	// look up the record of the packet's flow or request.
	FlagLookup
	// FlagReplicate asks the successor of a request's home to store a replica of
	// the request and to forward it to the server whose address is in Origin.
	FlagReplicate
)

// Relay is the option that an entry host adds to a packet when it relays it.
type Relay struct {
	// Hops is the number of times that the packet has been relayed.
	Hops uint8
	// Flags is a bit set of the Flag constants.
	Flags uint8
	// Version is the version of the configuration bundle on the sender.
	Version uint32
	// ViewVersion is the sender's own version number of its membership view. It is
	// not comparable with the numbers of other hosts.
	ViewVersion uint64
	// Origin is the tunnel endpoint of the fabric that delivered the packet to the
	// first entry host. For a request that the receiver is to replicate and forward,
	// it is the address of the server.
	Origin netip.AddrPort
}

// Datagram is a decoded Geneve datagram. Inner aliases the decoded bytes. Relay
// is only valid when Relayed is set.
type Datagram struct {
	Inner   []byte
	Relayed bool
	Relay   Relay
}

// Decoder decodes datagrams. It does not allocate for datagrams without options.
// It is not safe for concurrent use.
type Decoder struct {
	layer layers.Geneve
}

// Decode parses data into d. It returns ErrMalformed when data is not a Geneve
// datagram with an IP packet inside.
func (dec *Decoder) Decode(data []byte, d *Datagram) error {
	if err := dec.layer.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ErrMalformed
	}
	if dec.layer.Version != 0 || !carriesIP(dec.layer.Protocol) {
		return ErrMalformed
	}
	d.Inner = dec.layer.Payload
	d.Relayed = false
	for _, opt := range dec.layer.Options {
		if opt.Class != relayClass || opt.Type != relayType {
			continue
		}
		if len(opt.Data) != relayLength {
			return ErrMalformed
		}
		d.Relayed = true
		decodeRelay(opt.Data, &d.Relay)
	}
	return nil
}

func carriesIP(p layers.EthernetType) bool {
	return p == layers.EthernetTypeIPv4 || p == layers.EthernetTypeIPv6
}

// Append appends to dst a datagram that carries the IP packet inner, with the
// option relay unless it is nil. It writes the header itself because gopacket
// serializes by prepending, which would copy the packet.
func Append(dst, inner []byte, relay *Relay) []byte {
	var header [headerLength]byte
	binary.BigEndian.PutUint16(header[2:], uint16(innerType(inner)))
	if relay == nil {
		dst = append(dst, header[:]...)
		return append(dst, inner...)
	}
	header[0] = (optionHeaderLength + relayLength) / lengthUnit
	dst = append(dst, header[:]...)
	var opt [optionHeaderLength + relayLength]byte
	binary.BigEndian.PutUint16(opt[:], relayClass)
	opt[2] = relayType
	opt[3] = relayLength / lengthUnit
	encodeRelay(opt[optionHeaderLength:], relay)
	dst = append(dst, opt[:]...)
	return append(dst, inner...)
}

func innerType(inner []byte) layers.EthernetType {
	if len(inner) > 0 && inner[0]>>4 == 6 {
		return layers.EthernetTypeIPv6
	}
	return layers.EthernetTypeIPv4
}

func encodeRelay(b []byte, r *Relay) {
	b[0] = r.Hops
	b[1] = r.Flags
	binary.BigEndian.PutUint16(b[2:], r.Origin.Port())
	binary.BigEndian.PutUint32(b[4:], r.Version)
	binary.BigEndian.PutUint64(b[8:], r.ViewVersion)
	addr := r.Origin.Addr().As16()
	copy(b[16:], addr[:])
}

func decodeRelay(b []byte, r *Relay) {
	r.Hops = b[0]
	r.Flags = b[1]
	r.Version = binary.BigEndian.Uint32(b[4:])
	r.ViewVersion = binary.BigEndian.Uint64(b[8:])
	addr := netip.AddrFrom16([16]byte(b[16:32])).Unmap()
	r.Origin = netip.AddrPortFrom(addr, binary.BigEndian.Uint16(b[2:]))
}
