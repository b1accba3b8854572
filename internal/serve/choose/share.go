package choose

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// Share is the part of a server's load that one host, or several, bring.
type Share struct {
	// Busy is the mean count of requests in progress.
	Busy float32
	// Flows is the count of long flows in use.
	Flows float32
}

// Plus returns the sum of two shares.
func (s Share) Plus(o Share) Share { return Share{s.Busy + o.Busy, s.Flows + o.Flows} }

// Shares are shares by the token of their server.
type Shares map[uint32]Share

// Add adds the shares of o.
func (s Shares) Add(o Shares) {
	for token, share := range o {
		s[token] = s[token].Plus(share)
	}
}

const (
	// shareSize is the encoded length of a share in bytes: its token and two
	// counts.
	shareSize = 8
	// busyUnit and flowsUnit are the steps of the counts, as parts of one. Many
	// hosts each bring a small part of a server's requests.
	busyUnit  = 1024
	flowsUnit = 16
)

// ErrShares is returned for encoded shares of a wrong length.
var ErrShares = errors.New("encoded shares have a wrong length")

// EncodeMsgpack writes the shares in a compact form, since each host exchanges
// them several times a second.
func (s Shares) EncodeMsgpack(e *msgpack.Encoder) error {
	b := make([]byte, 0, len(s)*shareSize)
	for token, share := range s {
		b = binary.BigEndian.AppendUint32(b, token)
		b = binary.BigEndian.AppendUint16(b, quantize(share.Busy, busyUnit))
		b = binary.BigEndian.AppendUint16(b, quantize(share.Flows, flowsUnit))
	}
	return e.EncodeBytes(b)
}

// quantize rounds to the nearest step, so that the sum over many hosts has no
// bias, and caps what does not fit.
func quantize(v float32, unit float64) uint16 {
	return uint16(min(math.Round(float64(v)*unit), math.MaxUint16))
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (s *Shares) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	if len(b)%shareSize != 0 {
		return ErrShares
	}
	*s = make(Shares, len(b)/shareSize)
	for ; len(b) > 0; b = b[shareSize:] {
		(*s)[binary.BigEndian.Uint32(b)] = Share{
			Busy:  float32(binary.BigEndian.Uint16(b[4:])) / busyUnit,
			Flows: float32(binary.BigEndian.Uint16(b[6:])) / flowsUnit,
		}
	}
	return nil
}
