package msgs

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrTruncated is returned for an encoded value that names more elements or bytes than it
// has.
var ErrTruncated = errors.New("encoded value is truncated")

// Unmarshal decodes a value from another host or from the log. The decoder allocates as
// many elements as an array names, so a few bytes could take all memory. Unmarshal returns
// ErrTruncated for them.
func Unmarshal(b []byte, v any) error {
	if !complete(b) {
		return ErrTruncated
	}
	return msgpack.Unmarshal(b, v)
}

// form is how a code of the encoding goes on: with a length of width bytes, and then with
// fixed bytes and, for each unit of the length, with values or, if that is 0, a byte.
type form struct {
	width  int
	fixed  uint64
	values uint64
}

// forms holds the forms of the codes from firstForm on.
var forms = [32]form{
	0x04: {width: 1}, 0x05: {width: 2}, 0x06: {width: 4}, // bytes
	0x07: {width: 1, fixed: 1}, 0x08: {width: 2, fixed: 1}, 0x09: {width: 4, fixed: 1}, // extensions
	0x0a: {fixed: 4}, 0x0b: {fixed: 8}, // floats
	0x0c: {fixed: 1}, 0x0d: {fixed: 2}, 0x0e: {fixed: 4}, 0x0f: {fixed: 8}, // unsigned integers
	0x10: {fixed: 1}, 0x11: {fixed: 2}, 0x12: {fixed: 4}, 0x13: {fixed: 8}, // integers
	0x14: {fixed: 2}, 0x15: {fixed: 3}, 0x16: {fixed: 5}, 0x17: {fixed: 9}, 0x18: {fixed: 17}, // extensions
	0x19: {width: 1}, 0x1a: {width: 2}, 0x1b: {width: 4}, // strings
	0x1c: {width: 2, values: 1}, 0x1d: {width: 4, values: 1}, // arrays
	0x1e: {width: 2, values: 2}, 0x1f: {width: 4, values: 2}, // maps
}

const firstForm = 0xc0

// complete reports whether b starts with a whole value.
func complete(b []byte) bool {
	for values := uint64(1); values > 0; {
		// Each value takes at least one byte.
		if values > uint64(len(b)) {
			return false
		}
		code := b[0]
		b = b[1:]
		values--
		skip := uint64(0)
		switch {
		case code < 0x80 || code >= 0xe0: // small integers
		case code < 0x90: // small maps
			values += 2 * uint64(code&0x0f)
		case code < 0xa0: // small arrays
			values += uint64(code & 0x0f)
		case code < firstForm: // short strings
			skip = uint64(code & 0x1f)
		default:
			f := forms[code-firstForm]
			if len(b) < f.width {
				return false
			}
			length := uint64(0)
			for _, digit := range b[:f.width] {
				length = length<<8 | uint64(digit)
			}
			b, skip = b[f.width:], f.fixed
			if f.values > 0 {
				values += f.values * length
			} else {
				skip += length
			}
		}
		if skip > uint64(len(b)) {
			return false
		}
		b = b[skip:]
	}
	return true
}
