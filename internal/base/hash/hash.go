// Package hash provides the hash functions that all hosts use, so that they
// compute the same values.
package hash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// String returns the 64-bit hash of s.
func String(s string) uint64 { return xxhash.Sum64String(s) }

// Bytes returns the 64-bit hash of b.
func Bytes(b []byte) uint64 { return xxhash.Sum64(b) }

// Mix combines two hashes into one. The order of arguments matters.
func Mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
