package msgs_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// TestLengthsBeyondTheInputAreErrors guards against a few bytes that make a host allocate
// gigabytes.
func TestLengthsBeyondTheInputAreErrors(t *testing.T) {
	for _, b := range []string{
		"", "\xdd\xa2\x23\x8b\x30\xc0", "\xdf\xff\xff\xff\xff", "\xc6\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff", "\xc9\xff\xff\xff\xff",
		"\x92\x01", "\x81\x01", "\xa3ab", "\xcf\x00", "\xdd\x00", "\x91\xdd\xff\xff\xff\xff\xc0",
	} {
		var v any
		qt.Check(t, msgs.Unmarshal([]byte(b), &v), qt.ErrorIs, msgs.ErrTruncated, qt.Commentf("%x", b))
	}
}

func TestLongValuesAreWhole(t *testing.T) {
	for _, length := range []int{0, 15, 16, 31, 32, 255, 256, 65_535, 65_536, 1 << 20} {
		for _, v := range []any{make([]byte, length), make([]int, length), strings.Repeat("x", length)} {
			b, err := msgpack.Marshal(v)
			qt.Assert(t, err, qt.IsNil)
			var out any
			qt.Check(t, msgs.Unmarshal(b, &out), qt.IsNil)
			qt.Check(t, msgs.Unmarshal(b[:len(b)-1], &out), qt.ErrorIs, msgs.ErrTruncated)
		}
	}
}

// FuzzUnmarshal guards against whole values that are taken for truncated ones.
func FuzzUnmarshal(f *testing.F) {
	f.Add(msgs.Encode(&msgs.Envelope{FetchReply: &msgs.FetchReply{
		Evacuations: []msgs.Evacuation{{Centre: "a", Active: true, Age: 1 << 40}}, Grants: []msgs.Grant{{Token: 1 << 31, Rate: 2.5, Term: -1}},
		Sharing: []uint64{1, 1 << 63}, Delta: make([]byte, 300),
	}}))
	for _, v := range []any{-200, int64(-1 << 40), 1.5, float32(1), nil, true, make([]int, 300), map[string]any{"x": []any{"y", make([]string, 20)}}} {
		b, err := msgpack.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		whole := msgpack.NewDecoder(bytes.NewReader(b)).Skip() == nil
		var v any
		if whole {
			qt.Check(t, msgs.Unmarshal(b, &v) == msgs.ErrTruncated, qt.IsFalse)
		}
	})
}
