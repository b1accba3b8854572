// Package geneve reads and writes Geneve (RFC 8926) datagrams that carry one
// IP packet, with the option that entry hosts put on relayed packets.
package geneve

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// ErrMalformed is returned for a datagram that is not Geneve over IP.
var ErrMalformed = errors.New("malformed geneve datagram")

const (
	// relayClass lies in the range for experimental use.
	relayClass   = 0xff4d
	relayType    = 0x01
	relayLength  = 32
	headerLength = 8
)

// Flags of a relayed packet.
const (
	// FlagAsked marks a packet that the previous home has already looked up
	// without finding a record.
	FlagAsked uint8 = 1 << iota
	// FlagAskPrevious asks the receiver to look up its records as previous home.
	FlagAskPrevious
	// FlagNote asks the successor of a request's home to note the request and
	// to pass it on to the server, whose address stands in Origin.
	FlagNote
)

// Relay is the view that an entry host attaches to a packet which it relays.
type Relay struct {
	// Hops counts the entry hosts passed so far.
	Hops uint8
	// Flags is a set of Flag values.
	Flags uint8
	// Version is the bundle version of the sender.
	Version uint32
	// View is the digest of the sender's membership view.
	View uint64
	// Origin is the fabric endpoint that first delivered the packet.
	Origin netip.AddrPort
}

// Datagram is a decoded Geneve datagram. Inner aliases the decoded bytes.
type Datagram struct {
	Inner   []byte
	Relayed bool
	Relay   Relay
}

// Decoder decodes datagrams without allocating for packets that carry no
// option. It is not safe for concurrent use.
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

// Append appends to dst a datagram that carries inner, and relay when it is
// not nil. It writes the fixed header in place, because the serializer of the
// layer library prepends and would copy the packet.
func Append(dst, inner []byte, relay *Relay) []byte {
	var head [headerLength]byte
	binary.BigEndian.PutUint16(head[2:], uint16(innerType(inner)))
	if relay == nil {
		dst = append(dst, head[:]...)
		return append(dst, inner...)
	}
	head[0] = (4 + relayLength) / 4
	dst = append(dst, head[:]...)
	var opt [4 + relayLength]byte
	binary.BigEndian.PutUint16(opt[:], relayClass)
	opt[2] = relayType
	opt[3] = relayLength / 4
	encodeRelay(opt[4:], relay)
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
	binary.BigEndian.PutUint64(b[8:], r.View)
	addr := r.Origin.Addr().As16()
	copy(b[16:], addr[:])
}

func decodeRelay(b []byte, r *Relay) {
	r.Hops = b[0]
	r.Flags = b[1]
	r.Version = binary.BigEndian.Uint32(b[4:])
	r.View = binary.BigEndian.Uint64(b[8:])
	addr := netip.AddrFrom16([16]byte(b[16:32])).Unmap()
	r.Origin = netip.AddrPortFrom(addr, binary.BigEndian.Uint16(b[2:]))
}
