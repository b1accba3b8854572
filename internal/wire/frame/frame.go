// Package frame splits a TCP byte stream into authenticated, length-prefixed
// frames.
//
// A frame is a 4-byte big-endian body length, a 16-byte message authentication
// code (MAC) and the body. The MAC is HMAC-SHA-256, truncated to 16 bytes, over
// the sequence number of the frame on its connection and the body. The key is
// shared by all processes.
//
// The sequence number is not transmitted. It starts at zero on each connection, in
// each direction, so that a frame that is replayed or reordered within one
// direction of a connection fails the check. A frame that was recorded on another
// connection or in the other direction passes at the same sequence number.
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
	macSize    = 16
	// MaxBody is the maximum length of a frame body in bytes.
	MaxBody = 16 << 20
)

// Errors returned by Decoder.
var (
	// ErrTooLarge is returned for a frame whose body is longer than MaxBody.
	ErrTooLarge = errors.New("frame body too large")
	// ErrBadMAC is returned for a frame whose MAC does not match: the key differs,
	// the body was altered, or the frame is out of sequence on its connection.
	ErrBadMAC = errors.New("frame MAC does not match")
	// ErrShort is returned when the buffer ends before the frame does.
	ErrShort = errors.New("frame incomplete")
)

// Key is the secret under which frames are authenticated.
type Key []byte

func (k Key) mac(seq uint64, body []byte) []byte {
	h := hmac.New(sha256.New, k)
	var seqBytes [8]byte
	binary.BigEndian.PutUint64(seqBytes[:], seq)
	h.Write(seqBytes[:])
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

// Encoder frames the bodies sent on one connection.
type Encoder struct {
	key Key
	seq uint64
}

// NewEncoder returns the Encoder for a new connection.
func NewEncoder(key Key) *Encoder { return &Encoder{key: key} }

// Append appends the frame that carries body to dst.
func (e *Encoder) Append(dst, body []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(body)))
	dst = append(dst, e.key.mac(e.seq, body)...)
	e.seq++
	return append(dst, body...)
}

// Decoder splits and authenticates the frames received on one connection.
type Decoder struct {
	key Key
	seq uint64
}

// NewDecoder returns the Decoder for a new connection.
func NewDecoder(key Key) *Decoder { return &Decoder{key: key} }

// Next returns the body of the first frame in b, which aliases b, and the length
// of that frame in bytes. It returns ErrShort when more bytes are needed. After
// any other error the connection must be closed.
func (d *Decoder) Next(b []byte) (body []byte, size int, err error) {
	if len(b) < lengthSize {
		return nil, 0, ErrShort
	}
	length := int(binary.BigEndian.Uint32(b))
	if length > MaxBody {
		return nil, 0, ErrTooLarge
	}
	size = lengthSize + macSize + length
	if len(b) < size {
		return nil, 0, ErrShort
	}
	body = b[lengthSize+macSize : size]
	if !hmac.Equal(b[lengthSize:lengthSize+macSize], d.key.mac(d.seq, body)) {
		return nil, 0, ErrBadMAC
	}
	d.seq++
	return body, size, nil
}

// Read reads one frame from r and returns its body.
func (d *Decoder) Read(r io.Reader) ([]byte, error) {
	header := make([]byte, lengthSize)
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, err
	}
	length := int(binary.BigEndian.Uint32(header))
	if length > MaxBody {
		return nil, ErrTooLarge
	}
	buf := make([]byte, lengthSize+macSize+length)
	copy(buf, header)
	if _, err := io.ReadFull(r, buf[lengthSize:]); err != nil {
		return nil, err
	}
	body, _, err := d.Next(buf)
	return body, err
}
