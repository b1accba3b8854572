package frame_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/wire/frame"
)

var key = frame.Key("a key that both ends share")

func TestNext(t *testing.T) {
	c := qt.New(t)
	enc, dec := frame.NewEncoder(key), frame.NewDecoder(key)
	b := enc.Append(nil, []byte("first"))
	first := bytes.Clone(b)
	b = enc.Append(b, []byte("second"))
	body, used, err := dec.Next(b)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "first")
	_, _, err = dec.Next(b[used : len(b)-1])
	c.Check(err, qt.ErrorIs, frame.ErrShort)
	body, _, err = dec.Next(b[used:])
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "second")
	_, _, err = dec.Next(first)
	c.Check(err, qt.ErrorIs, frame.ErrForged, qt.Commentf("a frame sent again on the same connection is refused"))
	_, _, err = frame.NewDecoder(frame.Key("another key of sixteen")).Next(first)
	c.Check(err, qt.ErrorIs, frame.ErrForged)
	_, _, err = frame.NewDecoder(key).Next([]byte{0xff, 0xff, 0xff, 0xff, 0})
	c.Check(err, qt.ErrorIs, frame.ErrTooLarge)
}

func FuzzNext(f *testing.F) {
	f.Add(frame.NewEncoder(key).Append(nil, []byte("body")))
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, used, err := frame.NewDecoder(key).Next(b)
		if err == nil && used > len(b) {
			t.Fatal("used more than there is")
		}
	})
}
