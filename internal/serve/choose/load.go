package choose

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// Load describes the requests and flows that one host, or a group of hosts, has
// on a server.
type Load struct {
	// InFlight is the mean number of requests in flight.
	InFlight float32
	// Flows is the number of active long flows.
	Flows float32
}

// Plus returns the sum of l and o.
func (l Load) Plus(o Load) Load { return Load{l.InFlight + o.InFlight, l.Flows + o.Flows} }

// Loads maps the token of a server to the load on it.
type Loads map[uint32]Load

// Add adds each entry of o to the entry with the same token.
func (l Loads) Add(o Loads) {
	for token, load := range o {
		l[token] = l[token].Plus(load)
	}
}

const (
	// encodedSize is the length of an encoded entry in bytes: a 32-bit token and
	// two 16-bit fixed-point counts.
	encodedSize = 8
	// inFlightScale and flowsScale are the fixed-point scales of the counts, in steps
	// per unit. Requests need the finer scale, since each of many hosts puts only
	// a small fraction of a request on a server.
	inFlightScale = 1024
	flowsScale    = 16
)

// ErrLoadSize is returned when the length of the encoded data is not a multiple
// of the entry size.
var ErrLoadSize = errors.New("encoded load: length is not a multiple of 8 bytes")

// EncodeMsgpack writes a compact binary form, because each host exchanges its
// load several times a second.
func (l Loads) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.EncodeBytes(l.Append(make([]byte, 0, len(l)*encodedSize)))
}

// Append appends the binary form of l to dst.
func (l Loads) Append(dst []byte) []byte {
	for token, load := range l {
		dst = binary.BigEndian.AppendUint32(dst, token)
		dst = binary.BigEndian.AppendUint16(dst, quantize(load.InFlight, inFlightScale))
		dst = binary.BigEndian.AppendUint16(dst, quantize(load.Flows, flowsScale))
	}
	return dst
}

// quantize converts v to fixed point. It rounds to the nearest step, so that the
// sum over many hosts has no bias, and saturates on overflow.
func quantize(v float32, scale float64) uint16 {
	return uint16(min(math.Round(float64(v)*scale), math.MaxUint16))
}

// DecodeMsgpack reads the form written by EncodeMsgpack.
func (l *Loads) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	*l = make(Loads, len(b)/encodedSize)
	return l.Parse(b)
}

// Parse adds the entries of the binary form b to l.
func (l Loads) Parse(b []byte) error {
	if len(b)%encodedSize != 0 {
		return ErrLoadSize
	}
	for ; len(b) > 0; b = b[encodedSize:] {
		l[binary.BigEndian.Uint32(b)] = Load{
			InFlight: float32(binary.BigEndian.Uint16(b[4:])) / inFlightScale,
			Flows:    float32(binary.BigEndian.Uint16(b[6:])) / flowsScale,
		}
	}
	return nil
}

// Minus returns the difference of l and o, without negative parts.
func (l Load) Minus(o Load) Load {
	return Load{max(l.InFlight-o.InFlight, 0), max(l.Flows-o.Flows, 0)}
}
