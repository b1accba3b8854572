// Package frame splits a TCP byte stream into signed, length-prefixed frames.
//
// A frame is a 4-byte big-endian length, a 16-byte message authentication code
// and the body. The code is HMAC-SHA-256, cut to 16 bytes, over the number of
// the frame on its connection and the body, under the key that all processes
// of the system share.
package frame

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
)

const (
	lengthSize = 4
	codeSize   = 16
	// MaxBody is the largest body in bytes.
	MaxBody = 16 << 20
)

// Errors of Decoder.
var (
	// ErrTooLarge is returned for a frame above MaxBody.
	ErrTooLarge = errors.New("frame too large")
	// ErrForged is returned for a frame whose code does not match its body.
	ErrForged = errors.New("frame code does not match")
	// ErrShort is returned while a frame is not yet whole.
	ErrShort = errors.New("frame incomplete")
)

// Key is the secret that signs frames.
type Key []byte

func (k Key) code(number uint64, body []byte) []byte {
	mac := hmac.New(sha256.New, k)
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], number)
	mac.Write(n[:])
	mac.Write(body)
	return mac.Sum(nil)[:codeSize]
}

// Encoder numbers and signs the frames sent on one connection.
type Encoder struct {
	key    Key
	number uint64
}

// NewEncoder returns the Encoder of a new connection.
func NewEncoder(key Key) *Encoder { return &Encoder{key: key} }

// Append appends the frame of body to dst.
func (e *Encoder) Append(dst, body []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)))
	dst = append(dst, e.key.code(e.number, body)...)
	e.number++
	return append(dst, body...)
}

// Decoder checks the frames received on one connection.
type Decoder struct {
	key    Key
	number uint64
}

// NewDecoder returns the Decoder of a new connection.
func NewDecoder(key Key) *Decoder { return &Decoder{key: key} }

// Next returns the body of the first frame in b and the bytes it used. It
// returns ErrShort when more bytes are needed, and ErrTooLarge or ErrForged
// when the connection must be closed.
func (d *Decoder) Next(b []byte) (body []byte, used int, err error) {
	if len(b) < lengthSize {
		return nil, 0, ErrShort
	}
	length := int(binary.BigEndian.Uint32(b))
	if length > MaxBody {
		return nil, 0, ErrTooLarge
	}
	used = lengthSize + codeSize + length
	if len(b) < used {
		return nil, 0, ErrShort
	}
	body = b[lengthSize+codeSize : used]
	if !hmac.Equal(b[lengthSize:lengthSize+codeSize], d.key.code(d.number, body)) {
		return nil, 0, ErrForged
	}
	d.number++
	return body, used, nil
}

// Read reads one whole frame from r and returns its body.
func (d *Decoder) Read(r io.Reader) ([]byte, error) {
	head := make([]byte, lengthSize)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(head))
	if length > MaxBody {
		return nil, ErrTooLarge
	}
	whole := make([]byte, lengthSize+codeSize+length)
	copy(whole, head)
	if _, err := io.ReadFull(r, whole[lengthSize:]); err != nil {
		return nil, err
	}
	body, _, err := d.Next(whole)
	return body, err
}
